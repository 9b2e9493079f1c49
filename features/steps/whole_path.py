"""Steps of the whole path: requests, planned stops, kills."""

import asyncio
import signal
import typing
from collections import abc

import aiohttp
import behave

from spindlenotch import client
from spindlenotch.kernel import outcomes

TIMEOUT_S = 8.0


@behave.given("a platform with {count:d} upstreams")
def platform(context: typing.Any, count: int) -> None:
    context.runner.run(context.fleet.start_platform(count))


@behave.given("bundle version {version:d} is published")
@behave.when("bundle version {version:d} is published")
def published(context: typing.Any, version: int) -> None:
    result = context.runner.run(context.fleet.publish(version))
    assert result.verdict.value == "accepted", result


@behave.given("{count:d} entries in three zones")
def entries(context: typing.Any, count: int) -> None:
    context.runner.run(context.fleet.start_entries(count))


@behave.when('a caller reads "{path}" as "{work}"')
def reads(context: typing.Any, path: str, work: str) -> None:
    request = client.Request(
        "resv", "GET", path, TIMEOUT_S, headers=(("X-Work", work),)
    )
    context.work = work
    context.answer = context.runner.run(context.fleet.client().call(request))


@behave.when('a caller books as "{work}"')
def books(context: typing.Any, work: str) -> None:
    context.work = work
    context.answer = context.runner.run(context.fleet.client().call(booking(work)))


def booking(work: str, **options: typing.Any) -> client.Request:
    """Return a booking with a ticket, or with ``chosen_id``."""
    return client.Request(
        "resv",
        "POST",
        "/bookings",
        TIMEOUT_S,
        b"one night",
        (("X-Work", work),),
        repeatable=False,
        **options,
    )


@behave.then('the answer is status {status:d} with outcome "{outcome}"')
def answered(context: typing.Any, status: int, outcome: str) -> None:
    answer = context.answer
    assert isinstance(answer, client.Answer), answer
    assert (answer.status, answer.outcome.value) == (status, outcome), answer


@behave.then("the answer is whole and its own")
def whole(context: typing.Any) -> None:
    head, _, rest = context.answer.body.partition(b"\n")
    assert f"ran {context.work} ".encode() in head, head
    assert len(rest) == 100_000, len(rest)


@behave.then('"{work}" ran exactly {times:d} time')
@behave.then('"{work}" ran exactly {times:d} times')
def ran_exactly(context: typing.Any, work: str, times: int) -> None:
    runs = context.runner.run(context.fleet.runs_of(work))
    assert runs == times, runs


@behave.when("{count:d} requests are sent over {seconds:d} seconds")
def many(context: typing.Any, count: int, seconds: int) -> None:
    context.results = context.runner.run(send_many(context.fleet, count, seconds, None))


@behave.when(
    "{count:d} requests are sent over {seconds:d} seconds"
    ' while entry "{host}" is stopped as planned'
)
def many_with_stop(context: typing.Any, count: int, seconds: int, host: str) -> None:
    async def stop() -> None:
        context.fleet.entry_by_host[host].process.send(signal.SIGTERM)

    context.results = context.runner.run(send_many(context.fleet, count, seconds, stop))


@behave.when(
    "{count:d} requests are sent over {seconds:d} seconds"
    ' while entry "{host}" is killed'
)
def many_with_kill(context: typing.Any, count: int, seconds: int, host: str) -> None:
    async def kill() -> None:
        await context.fleet.entry_by_host[host].process.kill()

    context.results = context.runner.run(send_many(context.fleet, count, seconds, kill))


async def send_many(
    fleet: typing.Any,
    count: int,
    seconds: float,
    event: abc.Callable[[], abc.Awaitable[None]] | None,
) -> list[tuple[str, client.Answer | client.NoAnswer]]:
    lib = fleet.client()

    async def one(number: int) -> tuple[str, client.Answer | client.NoAnswer]:
        work = f"many-{number}"
        request = client.Request(
            "resv", "GET", "/rates?ms=10", TIMEOUT_S, headers=(("X-Work", work),)
        )
        return work, await lib.call(request)

    tasks = []
    for number in range(count):
        if number == count // 4 and event is not None:
            await event()
        tasks.append(asyncio.ensure_future(one(number)))
        await asyncio.sleep(seconds / count)
    return list(await asyncio.gather(*tasks))


@behave.then("every request got its own whole answer")
def all_own(context: typing.Any) -> None:
    bad = [pair for pair in context.results if not _is_own(*pair)]
    assert not bad, f"{len(bad)} of {len(context.results)}: {bad[:3]}"


def _is_own(work: str, answer: client.Answer | client.NoAnswer) -> bool:
    return (
        isinstance(answer, client.Answer)
        and answer.status == 200
        and answer.outcome is outcomes.Outcome.RAN
        and f"ran {work} ".encode() in answer.body
    )


@behave.then('entry "{host}" ended with code {code:d}')
def entry_ended(context: typing.Any, host: str, code: int) -> None:
    process = context.fleet.entry_by_host[host].process
    found = context.runner.run(process.ended())
    assert found == code, (found, process.log[-2000:])


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
