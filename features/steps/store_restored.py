"""Steps on a store that is restored from a backup while workers drain."""

import asyncio
import contextlib
import time
import typing

import behave

from features.support import platform_context, steady_callers, store_restore

#: Timeout of each request, in seconds.
TIMEOUT_S = 1.0
#: Gateways that do not read the store: the first gateway of their zone does.
NON_READER_NODES = ["node-6", "node-5"]

#: Gateways that read the store while they run: the first gateway of each zone.
READER_NODES = ["node-1", "node-2", "node-3"]

run = platform_context.run
fleet_of = platform_context.fleet_of


def play_of(context: typing.Any) -> store_restore.StoreRestorePlay:
    """Return the scenario's play."""
    return typing.cast(store_restore.StoreRestorePlay, context.play)


def first_workers(context: typing.Any, count: int) -> list[str]:
    """Return the ids of the first workers."""
    return list(fleet_of(context).worker_by_id)[:count]


def run_play(context: typing.Any, trouble: steady_callers.Trouble) -> None:
    """Run ``trouble`` while requests are sent and the unrelated key is written."""
    play = play_of(context)

    async def play_while_writing() -> None:
        writing = asyncio.ensure_future(play.keep_writing_unrelated_key())
        try:
            await play.play(trouble)
        finally:
            writing.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await writing

    run(context, play_while_writing())


@behave.given(
    "{workers:d} workers, {gateways:d} gateways and {rate:g} requests a second spread "
    "over all of them"
)
def start_fleet(context: typing.Any, workers: int, gateways: int, rate: float) -> None:
    context.play = store_restore.StoreRestorePlay(fleet_of(context))
    play_of(context).rate = rate
    run(context, steady_callers.start(fleet_of(context), workers, gateways, TIMEOUT_S))


@behave.given("an unrelated key that is written {rate:g} times a second")
def set_unrelated_write_rate(context: typing.Any, rate: float) -> None:
    play_of(context).unrelated_writes_per_s = rate


@behave.when(
    "the store is restored from a backup {age_s:g} s old, then {count:d} workers drain"
)
def drain_after_restore(context: typing.Any, age_s: float, count: int) -> None:
    play = play_of(context)

    async def trouble() -> None:
        await play.restore_store(age_s)
        await play.drain_workers(first_workers(context, count))
        await asyncio.sleep(store_restore.OBSERVATION_S)

    run_play(context, trouble())


@behave.when(
    "the store is restored from a backup {age_s:g} s old, and {count:d} workers drain "
    "before gateways reach it at a higher revision than before"
)
def drain_before_reconnect(context: typing.Any, age_s: float, count: int) -> None:
    play = play_of(context)

    async def trouble() -> None:
        backup = await play.make_backup(age_s)
        store = play.fleet.store
        previous_revision = store.revision
        # No await until the revision is higher: gateways see no state in between.
        store.rewrite(store.restore(backup))
        for name in first_workers(context, count):
            play.drain_worker(name, time.monotonic())
        assert store.revision < previous_revision
        while store.revision <= previous_revision:
            play.write_unrelated_key()
        await asyncio.sleep(store_restore.OBSERVATION_S)

    run_play(context, trouble())


@behave.when(
    "the store is restored from a backup {age_s:g} s old while gateways are frozen in "
    "turn, then {count:d} workers drain"
)
def drain_while_gateways_freeze(context: typing.Any, age_s: float, count: int) -> None:
    play = play_of(context)

    async def trouble() -> None:
        freezing = asyncio.ensure_future(play.freeze_gateways(NON_READER_NODES))
        await play.restore_store(age_s)
        await play.drain_workers(first_workers(context, count))
        await freezing
        await asyncio.sleep(store_restore.OBSERVATION_S)

    run_play(context, trouble())


@behave.when(
    "{count:d} workers drain, then the store is restored from a backup {age_s:g} s old "
    "and the lost values are written again {delay_s:g} s later"
)
def restore_after_drain(
    context: typing.Any, count: int, age_s: float, delay_s: float
) -> None:
    play = play_of(context)

    async def trouble() -> None:
        backup = await play.make_backup(age_s)
        for name in first_workers(context, count):
            play.drain_worker(name, time.monotonic())
        # Lets all gateways read the draining entries before the restore.
        await asyncio.sleep(store_restore.DRAIN_INTERVAL_S)
        await play.restore_backup(backup, delay_s)
        await asyncio.sleep(store_restore.OBSERVATION_S)

    run_play(context, trouble())


@behave.when(
    "the entries of {count:d} workers are removed, then the store is restored from a "
    "backup {age_s:g} s old and the restored entries expire {delay_s:g} s later"
)
def restore_after_removal(
    context: typing.Any, count: int, age_s: float, delay_s: float
) -> None:
    play = play_of(context)
    names = first_workers(context, count)

    async def trouble() -> None:
        backup = await play.make_backup(age_s)
        play.remove_entries(names)
        await asyncio.sleep(store_restore.DRAIN_INTERVAL_S)
        await play.restore_backup(backup, delay_s)
        play.remove_entries(names)
        await asyncio.sleep(store_restore.OBSERVATION_S)

    run_play(context, trouble())


@behave.when(
    "{count:d} workers drain and readers are killed while the store is restored from a "
    "backup {age_s:g} s old, then {later_count:d} more workers drain"
)
def drain_before_and_after_reader_kill(
    context: typing.Any, count: int, age_s: float, later_count: int
) -> None:
    play = play_of(context)
    names = first_workers(context, count + later_count)

    async def trouble() -> None:
        backup = await play.make_backup(age_s)
        for name in names[:count]:
            play.drain_worker(name, time.monotonic())
        await asyncio.sleep(store_restore.DRAIN_INTERVAL_S)
        restoring = asyncio.ensure_future(
            play.restore_backup(backup, store_restore.REWRITE_DELAY_S)
        )
        await play.kill_gateways(READER_NODES)
        await restoring
        await play.drain_workers(names[count:])
        await asyncio.sleep(store_restore.OBSERVATION_S)

    run_play(context, trouble())


@behave.then(
    "no request reaches a draining worker more than {seconds:g} s after the store "
    "acknowledged its draining"
)
def assert_no_late_requests(context: typing.Any, seconds: float) -> None:
    late = play_of(context).late_requests(seconds)
    nodes = sorted({node for _, node, _ in late})
    assert not late, (len(late), nodes, max(after for _, _, after in late))
