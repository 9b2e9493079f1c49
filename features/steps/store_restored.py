"""Steps on a store that comes back from a copy, and on workers that leave."""

import asyncio
import contextlib
import time
import typing

import behave

from features.support import platform_context, steady_callers, store_restore

#: Seconds that each request has.
TIMEOUT_S = 1.0
#: The last gateways, which do not read the store while the first of their zone do.
LAST_NODES = ["node-6", "node-5"]

run = platform_context.run
fleet_of = platform_context.fleet_of


def play_of(context: typing.Any) -> store_restore.Restore:
    """Return the scenario's play."""
    return typing.cast(store_restore.Restore, context.play)


def leavers(context: typing.Any, count: int) -> list[str]:
    """Return the first workers."""
    return list(fleet_of(context).worker_by_id)[:count]


def play(context: typing.Any, trouble: steady_callers.Trouble) -> None:
    """Let there be trouble while requests are sent and another key is written."""
    found = play_of(context)

    async def beside() -> None:
        writing = asyncio.ensure_future(found.write_other_key())
        try:
            await found.play(trouble)
        finally:
            writing.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await writing

    run(context, beside())


@behave.given(
    "{workers:d} workers, {gateways:d} gateways and {rate:g} requests a second spread "
    "over all of them"
)
def started(context: typing.Any, workers: int, gateways: int, rate: float) -> None:
    context.play = store_restore.Restore(fleet_of(context))
    play_of(context).rate = rate
    run(context, steady_callers.start(fleet_of(context), workers, gateways, TIMEOUT_S))


@behave.given("another key that is written {rate:g} times a second")
def other_key(context: typing.Any, rate: float) -> None:
    play_of(context).writes_per_s = rate


@behave.when(
    "the store is restored from a copy {age_s:g} s old, then {count:d} workers leave"
)
def leave_after(context: typing.Any, age_s: float, count: int) -> None:
    found = play_of(context)

    async def trouble() -> None:
        await found.restore(age_s)
        await found.leave(leavers(context, count))
        await asyncio.sleep(store_restore.LATE_S)

    play(context, trouble())


@behave.when(
    "the store is restored from a copy {age_s:g} s old, and {count:d} workers leave "
    "before gateways reach it at a higher revision than before"
)
def leave_unread(context: typing.Any, age_s: float, count: int) -> None:
    found = play_of(context)

    async def trouble() -> None:
        copy = await found.aged_copy(age_s)
        before = found.fleet.store.revision
        # All in one turn of the loop: no call of a gateway falls in between.
        found.fleet.store.write_again(found.fleet.store.restore(copy))
        for name in leavers(context, count):
            found.leave_now(name, time.monotonic())
        assert found.fleet.store.revision < before
        while found.fleet.store.revision <= before:
            found.write_other_once()
        await asyncio.sleep(store_restore.LATE_S)

    play(context, trouble())


@behave.when(
    "the store is restored from a copy {age_s:g} s old while gateways are frozen in "
    "turn, then {count:d} workers leave"
)
def leave_beside_frozen(context: typing.Any, age_s: float, count: int) -> None:
    found = play_of(context)

    async def trouble() -> None:
        freezing = asyncio.ensure_future(found.freeze(LAST_NODES))
        await found.restore(age_s)
        await found.leave(leavers(context, count))
        await freezing
        await asyncio.sleep(store_restore.LATE_S)

    play(context, trouble())


@behave.then("no request reaches one of them {seconds:g} s after its leaving was known")
def none_late(context: typing.Any, seconds: float) -> None:
    found = play_of(context)
    late = found.late(seconds)
    nodes = sorted({node for _, node, _ in late})
    assert not late, (len(late), nodes, max(after for _, _, after in late))
