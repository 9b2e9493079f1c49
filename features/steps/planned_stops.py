"""Steps of planned stops with various limits."""

import asyncio
import itertools
import signal
import time
import typing

import aiohttp
import behave

from features.steps import kernel
from features.support import platform_context, platform_fleet
from spindlenotch import ids
from spindlenotch.gateway import lifecycle

fleet_of = platform_context.fleet_of
run = platform_context.run
#: Values within the ranges of the settings, in seconds.
STOP_LIMITS_S = (1.0, 1.5, 2.0, 3.0, 4.0, 6.0, 8.0, 10.0, 15.0, 30.0, 60.0, 3600.0)
HAND_OUTS_S = (0.1, 0.5, 1.0, 2.0, 5.0, 15.0, 60.0)
TIMEOUTS_S = (0.0, 0.25, 1.0, 2.5, 5.0, 8.0, 30.0, 900.0)
#: Requests sent up to here after the signal may be aborted at the end of a stop, and
#: the share of the stop that its end must not precede.
MAY_BE_ABORTED_S = 3.0
EARLIEST_END_SHARE = 5 / 6
#: Time between the signal and its handling, in seconds.
SIGNAL_DELAY_S = 0.15
STEPS = 40
PERIOD_S = 0.25
WORK_S = 5.0
DEADLINE_MS = 30_000


def schedules() -> typing.Iterator[tuple[float, lifecycle.StopSchedule]]:
    """Return each limit with the schedules for all validities of responses."""
    for limit_s, hand_out_s in itertools.product(STOP_LIMITS_S, HAND_OUTS_S):
        started_at = ids.Instant(SIGNAL_DELAY_S)
        yield limit_s, lifecycle.stop_schedule(started_at, hand_out_s, limit_s)


@kernel.PROPERTIES.register("a planned stop aborts only requests from its first 3 s")
def aborts_only_early() -> None:
    for limit_s, schedule in schedules():
        for step, timeout_s in itertools.product(range(STEPS), TIMEOUTS_S):
            sent_at = ids.Instant(SIGNAL_DELAY_S + step * limit_s / STEPS)
            deadline = ids.later(sent_at, timeout_s)
            is_accepted = sent_at < schedule.listen_until and schedule.accepts(
                sent_at, deadline
            )
            if is_accepted and sent_at > MAY_BE_ABORTED_S:
                assert deadline < schedule.end, (limit_s, sent_at, timeout_s)


@kernel.PROPERTIES.register("a planned stop aborts nothing before its last sixth")
def aborts_nothing_early() -> None:
    for limit_s, schedule in schedules():
        ends_s = schedule.end - SIGNAL_DELAY_S
        assert EARLIEST_END_SHARE * limit_s < ends_s < limit_s, limit_s
        assert schedule.accept_any_until <= schedule.listen_until <= schedule.end


@kernel.PROPERTIES.register(
    "a planned stop accepts requests that are over before its end"
)
def accepts_short() -> None:
    for limit_s, schedule in schedules():
        for step in range(STEPS):
            sent_at = ids.Instant(SIGNAL_DELAY_S + step * limit_s / STEPS)
            deadline = ids.Instant(schedule.end - 2 * lifecycle.RESPONSE_S)
            if sent_at <= deadline:
                assert schedule.accepts(sent_at, deadline)


async def book(
    fleet: platform_fleet.PlatformFleet, number: int
) -> platform_fleet.Answer:
    """Send a request that may run once; status 0: the connection was closed."""
    try:
        return await fleet.send(
            "node-1",
            f"/book/{number}",
            f"b{number}",
            method="POST",
            body=b"x",
            deadline_ms=DEADLINE_MS,
        )
    except (OSError, aiohttp.ClientError):
        return platform_fleet.Answer(0, {}, b"")


async def start_stopping_gateway(
    context: typing.Any, *, grace_s: float, work_s: float, slots: int
) -> None:
    """Start a gateway and its upstreams; requests take ``work_s`` seconds."""
    fleet = context.platform = platform_fleet.PlatformFleet()
    # Callers keep an address for up to 15 s, longer than the stop takes.
    fleet.more_bounds = ("ttl_max_s=5",)
    await fleet.store.start()
    book = platform_fleet.route(
        "book", "/book/", "unsafe", timeoutS=30.0, targetLatencyS=20.0
    )
    fleet.store.put("op/config", platform_fleet.configuration(3, [book], ("core",)))
    for number in range(4):
        worker = await fleet.add_worker(f"i-{number}")
        worker.work_s = work_s
        worker.slots = slots
        fleet.list_worker(worker)
    await fleet.until_ready(await fleet.start_gateway(1, grace_s=grace_s))


@behave.given(
    "a gateway that may take 10 seconds to stop and requests that take 5 seconds"
)
def stops_within_10_s(context: typing.Any) -> None:
    run(context, start_stopping_gateway(context, grace_s=10.0, work_s=WORK_S, slots=9))


@behave.when(
    "it gets SIGTERM and requests that may run once go on coming for 7 seconds"
)
def requests_during_stop(context: typing.Any) -> None:
    fleet = fleet_of(context)
    process = fleet.process_by_node["node-1"]

    async def send(number: int, after_s: float) -> tuple[float, int]:
        await asyncio.sleep(after_s)
        return after_s, (await book(fleet, number)).status

    async def play() -> list[tuple[float, int]]:
        process.send_signal(signal.SIGTERM)
        numbers = range(int(7 / PERIOD_S))
        found = await asyncio.gather(*(send(n, n * PERIOD_S) for n in numbers))
        assert await process.wait() == 0
        return found

    context.found = run(context, play())


@behave.then("each request is answered, or refused without a run")
def answered_or_refused(context: typing.Any) -> None:
    fleet = fleet_of(context)
    for number, (after_s, status) in enumerate(context.found):
        if fleet.runs_of(f"b{number}"):
            assert status == 200, (after_s, status)
        else:
            # 0: the port is closed, nothing was read.
            assert status in (503, 0), (after_s, status)


@behave.then("each request sent 2 seconds after the signal or earlier is answered")
def early_answered(context: typing.Any) -> None:
    statuses = [status for after_s, status in context.found if after_s <= 2.0]
    assert statuses == [200] * len(statuses), context.found


@behave.given("a gateway that may take 4 seconds to stop and an upstream without room")
def stops_without_room(context: typing.Any) -> None:
    run(context, start_stopping_gateway(context, grace_s=4.0, work_s=30.0, slots=1))


@behave.when("it gets SIGTERM while a request waits that may wait 20 seconds")
def waits_at_stop(context: typing.Any) -> None:
    fleet = fleet_of(context)

    async def send(number: int) -> tuple[int, float, dict[str, str]]:
        answer = await book(fleet, number)
        return answer.status, time.monotonic(), answer.headers

    async def play() -> list[tuple[int, float, dict[str, str]]]:
        sending = []
        for number in range(6):
            sending.append(asyncio.ensure_future(send(number)))
            await asyncio.sleep(0.1)
        process = fleet.process_by_node["node-1"]
        process.send_signal(signal.SIGTERM)
        context.signalled_at = time.monotonic()
        await process.wait()
        return await asyncio.gather(*sending)

    context.found = run(context, play())


@behave.then(
    "the waiting request is refused with a time to come back before the stop ends"
)
def waiting_refused(context: typing.Any) -> None:
    fleet = fleet_of(context)
    waiting = [
        found for n, found in enumerate(context.found) if not fleet.runs_of(f"b{n}")
    ]
    assert waiting, context.found
    for status, ended_at, fields in waiting:
        assert status == 503, context.found
        assert "Retry-After" in fields
        assert ended_at < context.signalled_at + 4.0
