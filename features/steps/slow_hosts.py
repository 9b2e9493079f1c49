"""Steps on gateways whose hosts give them too little processor time."""

import asyncio
import time
import typing

import behave

from features.support import (
    platform_context,
    platform_fleet,
    processor_time,
    slow_hosts,
    steady_callers,
)

#: Timeout of the route, in seconds.
TIMEOUT_S = 2.0
#: Requests a second, and for how many seconds processor time is measured.
RATE, MEASURED_S = 300.0, 4.0
#: Seconds of overload before requests count, and while they do.
SETTLE_S, COUNTED_S = 4.0, 8.0
#: Seconds after the return of all gateways from which requests count.
RECOVERY_S = 15.0
#: Share of the requests that gateways have processor time for, and that must be served.
A_THIRD, SERVED_SHARE = 1 / 3, 0.25
#: Share of the requests that may fail although gateways can serve them.
FAILED_SHARE_ALLOWED = 0.02
OK, NOT_RUN = steady_callers.OK, steady_callers.NOT_RUN

run = platform_context.run
fleet_of = platform_context.fleet_of


class Play(steady_callers.SteadyCallers):
    """Callers of gateways whose hosts are slow."""

    def __init__(self, fleet: platform_fleet.PlatformFleet) -> None:
        super().__init__(fleet)
        #: Processor time of all gateways in a second, without and with all callers.
        self.idle_share = self.loaded_share = 0.0
        self.count_from = 0.0

    async def measure(self) -> None:
        """Measure the processor time without callers, then that with all of them."""
        self.idle_share = await self._measure_share()
        self.rate = RATE
        await self.play(self._measure_load())
        self.request_by_id.clear()

    async def _measure_load(self) -> None:
        self.loaded_share = await self._measure_share()

    async def _measure_share(self) -> float:
        before_s = self._processor_s()
        await asyncio.sleep(MEASURED_S)
        return (self._processor_s() - before_s) / MEASURED_S

    async def slow(self, served_share: float) -> None:
        """Let gateways be able to serve a share of what callers send."""
        async with self._slowed(served_share):
            await asyncio.sleep(SETTLE_S)
            self.count_from = time.monotonic()
            await asyncio.sleep(COUNTED_S)

    async def kill_and_slow(self, served_share: float) -> None:
        """Kill all gateways; those that return can serve a share of all requests."""
        await self.kill(list(self.fleet.process_by_node))
        self.count_from = time.monotonic() + RECOVERY_S
        async with self._slowed(served_share):
            await asyncio.sleep(RECOVERY_S + COUNTED_S)

    def counted(self) -> list[steady_callers.Request]:
        """Return the requests that count, in the order in which they were sent."""
        return [
            request
            for request in self.request_by_id.values()
            if self.count_from <= request.sent_at < self.count_from + COUNTED_S
        ]

    def _slowed(self, served_share: float) -> typing.Any:
        pids = [process.pid for process in self.fleet.process_by_node.values()]
        needed = served_share * (self.loaded_share - self.idle_share)
        return slow_hosts.slowed(pids, (self.idle_share + needed) / len(pids))

    def _processor_s(self) -> float:
        processes = self.fleet.process_by_node.values()
        return sum(processor_time.used_s(process.pid) for process in processes)


def play_of(context: typing.Any) -> Play:
    """Return the scenario's play."""
    return typing.cast(Play, context.play)


@behave.given(
    "{workers:d} workers and {gateways:d} gateways whose processor time is known"
)
def start_fleet(context: typing.Any, workers: int, gateways: int) -> None:
    fleet = fleet_of(context)
    run(context, steady_callers.start(fleet, workers, gateways, TIMEOUT_S))
    context.play = Play(fleet)
    run(context, play_of(context).measure())


@behave.when(
    "hosts become so slow that gateways can serve a third of what callers send"
)
def slow_to_a_third(context: typing.Any) -> None:
    _play(context, play_of(context).slow(A_THIRD))


@behave.when(
    "all gateways are killed, and hosts can then serve a third of what callers send"
)
def kill_and_slow(context: typing.Any) -> None:
    _play(context, play_of(context).kill_and_slow(A_THIRD))


@behave.when(
    "hosts become so slow that gateways can serve four times what callers send"
)
def slow_to_four_times(context: typing.Any) -> None:
    _play(context, play_of(context).slow(4.0))


def _play(context: typing.Any, trouble: steady_callers.Trouble) -> None:
    run(context, play_of(context).play(trouble))


@behave.then("a quarter of the requests is served in each second")
def served_in_each_second(context: typing.Any) -> None:
    play = play_of(context)
    counted = play.counted()
    for second in range(int(COUNTED_S)):
        since = play.count_from + second
        sent = [one for one in counted if since <= one.sent_at < since + 1]
        _assert_served(sent, SERVED_SHARE)


@behave.then("a quarter of the requests sent 15 s after the return or later is served")
def served_after_return(context: typing.Any) -> None:
    _assert_served(play_of(context).counted(), SERVED_SHARE)


@behave.then("nearly all requests are served")
def nearly_all_served(context: typing.Any) -> None:
    _assert_served(play_of(context).counted(), 1 - FAILED_SHARE_ALLOWED)


@behave.then("most of the other requests are refused, not left until their deadline")
def refused(context: typing.Any) -> None:
    others = [one for one in play_of(context).counted() if one.status != OK]
    count = sum(one.status == NOT_RUN for one in others)
    assert count >= 0.5 * len(others), (count, len(others))


def _assert_served(requests: list[steady_callers.Request], share: float) -> None:
    served = sum(one.status == OK for one in requests)
    assert requests and served >= share * len(requests), (served, len(requests))
