"""Steps that send many requests, also while entries stop or are replaced."""

import asyncio
import signal
import typing

import behave

from features.support import callers
from spindlenotch import client
from spindlenotch.kernel import outcomes


@behave.when("{count:d} requests are sent over {seconds:d} seconds")
def many(context: typing.Any, count: int, seconds: int) -> None:
    _send_many(context, count, seconds, None)


@behave.when(
    "{count:d} requests are sent over {seconds:d} seconds"
    ' while entry "{host}" is stopped as planned'
)
def many_with_stop(context: typing.Any, count: int, seconds: int, host: str) -> None:
    async def stop() -> None:
        context.fleet.entry_by_host[host].process.send(signal.SIGTERM)

    _send_many(context, count, seconds, stop)


@behave.when(
    "{count:d} requests are sent over {seconds:d} seconds"
    ' while entry "{host}" is killed'
)
def many_with_kill(context: typing.Any, count: int, seconds: int, host: str) -> None:
    async def kill() -> None:
        await context.fleet.entry_by_host[host].process.kill()

    _send_many(context, count, seconds, kill)


@behave.when(
    "{count:d} requests are sent over {seconds:d} seconds"
    ' while entry "{one}" and "{other}" are killed'
)
def two_killed(
    context: typing.Any, count: int, seconds: int, one: str, other: str
) -> None:
    async def kill() -> None:
        for host in (one, other):
            await context.fleet.entry_by_host[host].process.kill()

    _send_many(context, count, seconds, kill)


@behave.when(
    "{count:d} requests are sent over {seconds:d} seconds"
    " while all entries are replaced"
)
def replaced(context: typing.Any, count: int, seconds: int) -> None:
    replacing: list[asyncio.Task[None]] = []

    async def begin() -> None:
        replacing.append(asyncio.ensure_future(_replace_all(context.fleet)))

    async def run() -> list[typing.Any]:
        results = await callers.send_many(context.fleet, count, seconds, begin)
        await replacing[0]
        return results

    context.results = context.runner.run(run())


async def _replace_all(fleet: typing.Any) -> None:
    for host in list(fleet.entry_by_host):
        old = fleet.entry_by_host[host]
        await fleet.start_entries(1)
        old.process.send(signal.SIGTERM)
        assert await old.process.ended() == 0, old.process.log[-2000:]


def _send_many(
    context: typing.Any, count: int, seconds: int, event: callers.Event | None
) -> None:
    sending = callers.send_many(context.fleet, count, seconds, event)
    context.results = context.runner.run(sending)


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
