"""
Steps on upstreams that stand still and read later what was sent to them meanwhile.

Arrivals count when the upstream reads them; the sum is that of all gateways.
"""

import asyncio
import time
import typing
from collections import abc

import behave

from features.support import (
    platform_context,
    platform_fleet,
    platform_worker,
    repeat_sum,
    steady_callers,
)

#: Time of the route until a step says another, in seconds.
TIMEOUT_S = 1.0
#: Load jumps by this factor, for this part of the time for which workers stand still.
JUMP, JUMP_PART = 2.0, 0.6
#: When in the time for which workers stand still all gateways are killed, as a part.
KILL_PART = 0.5

run = platform_context.run
fleet_of = platform_context.fleet_of


class Play(steady_callers.SteadyCallers):
    """Callers' requests at a steady rate, and workers that stand still meanwhile."""

    def __init__(
        self,
        fleet: platform_fleet.PlatformFleet,
        window_s: float,
        share: float,
        reserve: float,
    ) -> None:
        super().__init__(fleet)
        self.window_s = window_s
        self.share = share
        self.reserve = reserve
        self.stood_still: set[str] = set()
        self.went_on_at = 0.0

    async def stand_still(
        self, workers: abc.Collection[platform_worker.PlatformWorker], seconds: float
    ) -> None:
        """Let workers stand still, and then go on."""
        for worker in workers:
            self.stood_still.add(worker.id)
            worker.stall()
        await asyncio.sleep(seconds)
        for worker in workers:
            worker.go_on()
        self.went_on_at = time.monotonic()

    def halves(self) -> tuple[list[platform_worker.PlatformWorker], ...]:
        """Return the two halves of the workers."""
        workers = list(self.fleet.worker_by_id.values())
        return workers[::2], workers[1::2]

    def worst(self) -> repeat_sum.Worst:
        """Return the window with the most arrivals again beyond the share."""
        arrivals = sorted(
            (head.at, head.fields.get("x-spindlenotch-request-id", ""))
            for worker in self.fleet.worker_by_id.values()
            for head in worker.heads
        )
        seen: set[str] = set()
        again_at: list[float] = []
        for at, request_id in arrivals:
            if request_id in seen:
                again_at.append(at)
            seen.add(request_id)
        sent_at = [request.sent_at for request in self.request_by_id.values()]
        return repeat_sum.worst(
            sent_at, again_at, share=self.share, window_s=self.window_s
        )


def play_of(context: typing.Any) -> Play:
    """Return the scenario's play."""
    return typing.cast(Play, context.play)


@behave.given(
    "{workers:d} workers and {gateways:d} gateways with a window of {window_s:g} s, "
    "a share of {share:g} and a reserve of {reserve:g}"
)
def started(
    context: typing.Any,
    workers: int,
    gateways: int,
    window_s: float,
    share: float,
    reserve: float,
) -> None:
    fleet = fleet_of(context)
    fleet.more_bounds = (
        f"budgetWindowS={window_s}",
        f"retryBudgetRatio={share}",
        f"retrySlack={reserve}",
    )
    context.play = Play(fleet, window_s, share, reserve)

    run(context, steady_callers.start(fleet, workers, gateways, TIMEOUT_S))


@behave.given("requests that have {timeout_s:g} s come at {rate:g} a second")
def requests_come(context: typing.Any, timeout_s: float, rate: float) -> None:
    route = platform_fleet.route(
        "read", "/read/", timeoutS=timeout_s, targetLatencyS=timeout_s / 2
    )
    config = platform_fleet.configuration(5, [route], ("core",))
    fleet_of(context).store.put("op/config", config)
    play_of(context).rate = rate


@behave.when("half of the workers stand still for {seconds:g} s")
def half_stands_still(context: typing.Any, seconds: float) -> None:
    play = play_of(context)
    half, _ = play.halves()
    run(context, play.play(play.stand_still(half, seconds)))


@behave.when("the halves of the workers stand still for {seconds:g} s each, twice")
def in_turn(context: typing.Any, seconds: float) -> None:
    play = play_of(context)

    async def stand_still() -> None:
        for half in play.halves() * 2:
            await play.stand_still(half, seconds)

    run(context, play.play(stand_still()))


@behave.when(
    "half of the workers stand still for {seconds:g} s while load doubles for a time"
)
def load_jumps(context: typing.Any, seconds: float) -> None:
    play = play_of(context)
    half, _ = play.halves()

    async def jump() -> None:
        before = play.rate
        play.rate = JUMP * before
        await asyncio.sleep(JUMP_PART * seconds)
        play.rate = before

    run(
        context,
        play.play(steady_callers.beside(play.stand_still(half, seconds), jump())),
    )


@behave.when(
    "half of the workers stand still for {seconds:g} s while all gateways are killed"
)
def gateways_killed(context: typing.Any, seconds: float) -> None:
    play = play_of(context)
    half, _ = play.halves()

    async def kill() -> None:
        await asyncio.sleep(KILL_PART * seconds)
        await play.kill(list(play.fleet.process_by_node))

    run(
        context,
        play.play(steady_callers.beside(play.stand_still(half, seconds), kill())),
    )


@behave.then("in no window more arrived again than may be")
def within_budget(context: typing.Any) -> None:
    play = play_of(context)
    worst = play.worst()
    assert worst.beyond <= play.reserve, worst


@behave.then(
    "of the requests of the last {seconds:g} s before they went on 1 in {count:d} at "
    "most was sent to them"
)
def found_out(context: typing.Any, seconds: float, count: int) -> None:
    play = play_of(context)
    request_by_id = {
        request_id: request
        for request_id, request in play.request_by_id.items()
        if play.went_on_at - seconds < request.sent_at < play.went_on_at
    }
    sent = {
        head.fields.get("x-spindlenotch-request-id", "")
        for worker in play.fleet.worker_by_id.values()
        if worker.id in play.stood_still
        for head in worker.heads
    }
    found = sent & request_by_id.keys()
    assert request_by_id, "nothing was sent"
    assert len(found) * count <= len(request_by_id), (len(found), len(request_by_id))


@behave.then(
    "of the callers of the last {seconds:g} s before they went on all but 1 in "
    "{count:d} were served"
)
def served(context: typing.Any, seconds: float, count: int) -> None:
    play = play_of(context)
    until = play.went_on_at - steady_callers.CALLER_WAITS_S / 2
    asked = [
        request
        for request in play.request_by_id.values()
        if until - seconds < request.sent_at < until
    ]
    missed = [request for request in asked if request.status != steady_callers.OK]
    assert asked, "nothing was sent"
    assert len(missed) * count <= len(asked), (len(missed), len(asked))
