"""
Callers that send requests at a steady rate to the gateways that the directory names.

What each got is kept by the request's id. Relies on a ``platform_fleet``.
"""

import asyncio
import contextlib
import dataclasses
import random
import time
import typing
from collections import abc

import aiohttp

from features.support import own_stalls, platform_fleet

#: What a caller gives its request, in seconds: the route's time is shorter.
CALLER_WAITS_S = 2.0
#: Seconds until gateways know each other, before and after what is played.
SETTLE_S, AFTER_S = 2.0, 2.0
ASK_EVERY_S = 1.0
SERVICE = "core"
#: Work of a request, in seconds, and slots of a worker.
WORK_S, SLOTS = 0.08, 6
SEED = 5
OK, NOT_RUN = 200, 503
#: Longest time that a refusal may take which is sent at once, in seconds.
AT_ONCE_S = 0.1
#: Seconds after which whoever is refused may come back at the latest.
MOST_RETRY_AFTER_S = 4.0
#: How a gateway fails that is killed or starts.
UNANSWERED = (aiohttp.ClientError, OSError, TimeoutError)

Trouble = abc.Coroutine[typing.Any, typing.Any, None]


@dataclasses.dataclass(slots=True)
class Request:
    """
    One request of a caller, and what came of it; status 0 where nothing did.

    ``life`` counts the starts of its ``node`` when it was sent.
    """

    sent_at: float
    node: str = ""
    life: int = 0
    status: int = 0
    ended_at: float = 0.0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


class SteadyCallers:
    """Callers' requests at a steady rate, and trouble meanwhile."""

    def __init__(self, fleet: platform_fleet.PlatformFleet) -> None:
        self.fleet = fleet
        self.rate = 0.0
        self.trouble_at = 0.0
        self.request_by_id: dict[str, Request] = {}
        self.life_by_node: dict[str, int] = {}
        self.own_stalls = own_stalls.OwnStalls()
        self._rng = random.Random(SEED)
        self._nodes: list[str] = []
        self._sending: set[asyncio.Task[None]] = set()

    async def play(self, trouble: Trouble) -> None:
        """Send requests until ``trouble`` is over, and somewhat longer."""
        async with self.own_stalls.watched():
            await self._play(trouble)

    async def _play(self, trouble: Trouble) -> None:
        asking = asyncio.ensure_future(self._ask())
        await asyncio.sleep(SETTLE_S)
        sending = asyncio.ensure_future(self._send_all())
        try:
            await asyncio.sleep(SETTLE_S)
            self.trouble_at = time.monotonic()
            await trouble
            await asyncio.sleep(AFTER_S)
        finally:
            for task in (sending, asking):
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
        await asyncio.gather(*self._sending)

    async def kill(self, nodes: abc.Collection[str]) -> None:
        """Kill gateways and start them again."""
        processes = [self.fleet.process_by_node[node] for node in nodes]
        for process in processes:
            process.kill()
        for process in processes:
            await process.wait()
        for node in nodes:
            self.life_by_node[node] = self.life_by_node.get(node, 0) + 1
            await self.fleet.start_gateway(int(node.removeprefix("node-")))

    def read_by(self, worker_id: str) -> list[tuple[float, Request]]:
        """Return the requests that a worker read, each with the instant, in order."""
        heads = self.fleet.worker_by_id[worker_id].heads
        found = [
            (head.at, self.request_by_id[head.fields["x-spindlenotch-request-id"]])
            for head in heads
        ]
        return sorted(found, key=lambda pair: pair[0])

    def waited_s(self, request: Request) -> float:
        """Return how long a caller waited while its own process ran."""
        own_s = self.own_stalls.within_s(request.sent_at, request.ended_at)
        return request.ended_at - request.sent_at - own_s

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

    def _method_and_target(self, request_id: str) -> tuple[str, str]:
        return "GET", f"/read/{request_id}"

    def _body(self, request_id: str) -> platform_fleet.Body:
        return None

    def _choose_node(self) -> str:
        return self._rng.choice(self._nodes)

    async def _send(self, request_id: str) -> None:
        node = self._choose_node()
        life = self.life_by_node.get(node, 0)
        request = Request(time.monotonic(), node, life)
        self.request_by_id[request_id] = request
        deadline_ms = int(1000 * CALLER_WAITS_S)
        # A gateway that is killed answers nothing.
        with contextlib.suppress(*UNANSWERED):
            method, target = self._method_and_target(request_id)
            answer = await self.fleet.send(
                node,
                target,
                request_id,
                method,
                self._body(request_id),
                deadline_ms=deadline_ms,
            )
            request.status = answer.status
            request.headers = answer.headers
        request.ended_at = time.monotonic()


async def start(
    fleet: platform_fleet.PlatformFleet, workers: int, gateways: int, timeout_s: float
) -> None:
    """Start workers and gateways with one route, and wait until these are ready."""
    route = platform_fleet.route(
        "read", "/read/", timeoutS=timeout_s, targetLatencyS=timeout_s / 2
    )
    fleet.store.put("op/config", platform_fleet.configuration(4, [route], (SERVICE,)))
    for number in range(workers):
        zone = platform_fleet.ZONES[number % len(platform_fleet.ZONES)]
        worker = await fleet.add_worker(f"i-{number}", zone=zone)
        worker.work_s, worker.slots = WORK_S, SLOTS
        fleet.list_worker(worker, zone=zone)
    for number in range(gateways):
        await fleet.start_gateway(number + 1)
    for node in fleet.process_by_node:
        await fleet.until_ready(node)


def assert_refused_at_once(
    play: SteadyCallers, counts: abc.Callable[[Request], bool]
) -> None:
    """
    Check that who is refused is told that nothing has run, and when to come back.

    Nearly all of those that count, as they can have no room, are told so at once. Time
    in which the callers' own process stood still is not the gateway's.
    """
    ran = {
        run.request_id
        for worker in play.fleet.worker_by_id.values()
        for run in worker.runs
    }
    refused = {
        name: one
        for name, one in play.request_by_id.items()
        if one.status not in (0, OK)
    }
    assert refused, "none was refused"
    for name, one in refused.items():
        assert one.status == NOT_RUN and name not in ran, (name, one)
        assert 0.0 < float(one.headers["Retry-After"]) < MOST_RETRY_AFTER_S, (name, one)
    counted = [one for one in refused.values() if counts(one)]
    late = [one for one in counted if play.waited_s(one) > AT_ONCE_S]
    assert counted, "none counts"
    assert len(late) <= 0.01 * len(counted), (len(late), len(counted), late[0])


async def beside(*troubles: Trouble) -> None:
    """Let several things happen at the same time."""
    await asyncio.gather(*troubles)
