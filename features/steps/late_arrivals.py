"""
Steps on upstreams that stand still and read later what was sent to them meanwhile.

Arrivals count when the upstream reads them; the sum is that of all gateways.
"""

import asyncio
import contextlib
import dataclasses
import random
import time
import typing
from collections import abc

import aiohttp
import behave

from features.support import (
    platform_context,
    platform_fleet,
    platform_worker,
    repeat_sum,
)

WORK_S, SLOTS = 0.08, 6
#: What a caller gives its request, in seconds: the route's time is shorter.
CALLER_WAITS_S = 2.0
#: Seconds until gateways know each other, before and after what is played.
SETTLE_S, AFTER_S = 2.0, 2.0
#: Load jumps by this factor, for this part of the time for which workers stand still.
JUMP, JUMP_PART = 2.0, 0.6
#: When in the time for which workers stand still all gateways are killed, as a part.
KILL_PART = 0.5
ASK_EVERY_S = 1.0
SEED = 5
OK = 200
#: How a gateway fails that is killed or starts.
UNANSWERED = (aiohttp.ClientError, OSError, TimeoutError)

run = platform_context.run
fleet_of = platform_context.fleet_of


@dataclasses.dataclass(slots=True)
class Request:
    """One request of a caller, and what came of it; 0 where nothing did."""

    sent_at: float
    status: int = 0


class Play:
    """Callers' requests at a steady rate, and workers that stand still meanwhile."""

    def __init__(
        self,
        fleet: platform_fleet.PlatformFleet,
        window_s: float,
        share: float,
        reserve: float,
    ) -> None:
        self.fleet = fleet
        self.window_s = window_s
        self.share = share
        self.reserve = reserve
        self.rate = 0.0
        self.request_by_id: dict[str, Request] = {}
        self.stood_still: set[str] = set()
        self.went_on_at = 0.0
        self._rng = random.Random(SEED)
        self._nodes: list[str] = []
        self._sending: set[asyncio.Task[None]] = set()

    async def play(self, trouble: abc.Coroutine[typing.Any, typing.Any, None]) -> None:
        """Send requests until ``trouble`` is over, and somewhat longer."""
        asking = asyncio.ensure_future(self._ask())
        await asyncio.sleep(SETTLE_S)
        sending = asyncio.ensure_future(self._send_all())
        try:
            await asyncio.sleep(SETTLE_S)
            await trouble
            await asyncio.sleep(AFTER_S)
        finally:
            for task in (sending, asking):
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
        await asyncio.gather(*self._sending)

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

    async def kill_all(self) -> None:
        """Kill all gateways and start them again."""
        processes = self.fleet.process_by_node
        for process in processes.values():
            process.kill()
        for process in processes.values():
            await process.wait()
        for node in list(processes):
            await self.fleet.start_gateway(int(node.removeprefix("node-")))

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

    async def _ask(self) -> None:
        """Ask again and again where requests may be sent."""
        while True:
            for zone in platform_fleet.ZONES:
                node = self._rng.choice(list(self.fleet.ip_by_node))
                # One that starts has no addresses to tell.
                with contextlib.suppress(*UNANSWERED, ValueError, KeyError):
                    self._nodes = await self._resolve(node, zone)
            await asyncio.sleep(ASK_EVERY_S)

    async def _resolve(self, node: str, zone: str) -> list[str]:
        query = f"/resolve?name={platform_fleet.HOST}&region=r&zone={zone}"
        url = self.fleet.url(node, "directory", query)
        limit = aiohttp.ClientTimeout(total=ASK_EVERY_S)
        async with self.fleet.session.get(url, timeout=limit) as page:
            addresses = (await page.json(content_type=None))["addresses"]
        node_by_ip = {ip: node for node, ip in self.fleet.ip_by_node.items()}
        return [node_by_ip[address.rpartition(":")[0]] for address in addresses]

    async def _send_all(self) -> None:
        due = time.monotonic()
        while True:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            due += 1 / self.rate
            task = asyncio.ensure_future(self._send(f"q-{len(self.request_by_id)}"))
            self._sending.add(task)
            task.add_done_callback(self._sending.discard)

    async def _send(self, request_id: str) -> None:
        request = self.request_by_id[request_id] = Request(time.monotonic())
        node = self._rng.choice(self._nodes)
        deadline_ms = int(1000 * CALLER_WAITS_S)
        # A gateway that is killed answers nothing.
        with contextlib.suppress(*UNANSWERED):
            answer = await self.fleet.send(
                node, f"/read/{request_id}", request_id, deadline_ms=deadline_ms
            )
            request.status = answer.status


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

    async def start() -> None:
        for number in range(workers):
            zone = platform_fleet.ZONES[number % len(platform_fleet.ZONES)]
            worker = await fleet.add_worker(f"i-{number}", zone=zone)
            worker.work_s, worker.slots = WORK_S, SLOTS
            fleet.list_worker(worker, zone=zone)
        for number in range(gateways):
            await fleet.start_gateway(number + 1)
        for node in fleet.process_by_node:
            await fleet.until_ready(node)

    run(context, start())


@behave.given("requests that have {timeout_s:g} s come at {rate:g} a second")
def requests_come(context: typing.Any, timeout_s: float, rate: float) -> None:
    route = platform_fleet.route(
        "read", "/read/", timeoutS=timeout_s, targetLatencyS=timeout_s / 2
    )
    config = platform_fleet.configuration(4, [route], ("core",))
    fleet_of(context).store.put("op/config", config)
    play_of(context).rate = rate


async def beside(*troubles: abc.Coroutine[typing.Any, typing.Any, None]) -> None:
    """Let several things happen at the same time."""
    await asyncio.gather(*troubles)


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

    run(context, play.play(beside(play.stand_still(half, seconds), jump())))


@behave.when(
    "half of the workers stand still for {seconds:g} s while all gateways are killed"
)
def gateways_killed(context: typing.Any, seconds: float) -> None:
    play = play_of(context)
    half, _ = play.halves()

    async def kill() -> None:
        await asyncio.sleep(KILL_PART * seconds)
        await play.kill_all()

    run(context, play.play(beside(play.stand_still(half, seconds), kill())))


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
    until = play.went_on_at - CALLER_WAITS_S / 2
    asked = [
        request
        for request in play.request_by_id.values()
        if until - seconds < request.sent_at < until
    ]
    missed = [request for request in asked if request.status != OK]
    assert asked, "nothing was sent"
    assert len(missed) * count <= len(asked), (len(missed), len(asked))
