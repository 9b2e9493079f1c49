"""Steps that send one request."""

import asyncio
import signal
import typing
from collections import abc

import aiohttp
import behave

from features.support import callers
from spindlenotch import client
from spindlenotch.kernel import outcomes


@behave.when('a caller reads "{path}" as "{work}"')
def reads(context: typing.Any, path: str, work: str) -> None:
    request = client.Request(
        "resv", "GET", path, callers.TIMEOUT_S, headers=(("X-Work", work),)
    )
    context.work = work
    context.answer = context.runner.run(context.fleet.client().call(request))


@behave.when('a caller books as "{work}"')
def books(context: typing.Any, work: str) -> None:
    context.work = work
    context.answer = context.runner.run(
        context.fleet.client().call(callers.booking(work))
    )


@behave.when(
    "a slow upload of {seconds:d} seconds is sent through"
    ' entry "{host}" which is stopped as planned'
)
def slow_upload(context: typing.Any, seconds: int, host: str) -> None:
    context.answer = context.runner.run(_slow_upload(context.fleet, seconds, host))


async def _slow_upload(fleet: typing.Any, seconds: int, host: str) -> client.Answer:
    entry = fleet.entry_by_host[host]
    pieces = 30

    async def body() -> abc.AsyncIterator[bytes]:
        for number in range(pieces):
            if number == 3:
                entry.process.send(signal.SIGTERM)
            yield b"p" * 20_000
            await asyncio.sleep(seconds / pieces)

    async with (
        aiohttp.ClientSession() as session,
        session.put(
            f"http://{entry.address}/s/resv/uploads/box-1",
            data=body(),
            headers={"Spindlenotch-Timeout-Ms": "20000", "X-Work": "box-1"},
        ) as response,
    ):
        text = await response.read()
        assert f"{pieces * 20_000} bytes".encode() in text, text
        return client.Answer(
            response.status,
            (),
            text,
            outcomes.Outcome(response.headers["Spindlenotch-Outcome"]),
            "",
            "",
            "",
            entry.address,
            None,
        )
