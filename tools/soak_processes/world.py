"""
The processes and stand-ins of one play, and how single ones are acted upon.

Owns the fleet, a path from each gateway to the store and one to each upstream, and
the ledger. Every process is ended by its own id; ``close`` ends all of them.
"""

import asyncio
import contextlib
import shutil
import signal
import time
import typing
from collections import abc

import loguru

from features.support import (
    isolation_play,
    link,
    platform_fleet,
    platform_worker,
    upstream_cuts,
    worker_records,
)
from tools.soak_processes import ledger as ledgers, plan as plans

SERVICES = ("core", "side")
#: Every third upstream belongs to the second service.
SIDE_EVERY = 3
ZONES = platform_fleet.ZONES
REGIONS = {"z1": "r1", "z2": "r1", "z3": "r2"}
#: Time of one request's work, in seconds: bursts use most of the slots.
WORK_S = 0.04
#: Requests that an upstream takes at once before it turns further ones away.
MOST_AT_ONCE = 7
#: Requests a second that a cold upstream bears, and how long it is cold.
COLD_PER_S, COLD_S = 2.0, 3.0
#: Time after which an upstream that crashed under a request starts again, in seconds.
BACK_AFTER_S = 2.0
#: Starts a gateway whose host can be suspended.
SUSPENDABLE = "tools/soak_processes/suspendable.py"
#: Bounds in the settings of the gateways. The reserve of retries is small, so that
#: the sum over all gateways can break its bound.
BOUNDS = {
    "drainS": 2.5,
    "touchS": 3.0,
    "configApplyS": 2.5,
    "evacuateS": 5.0,
    "exposureShare": 0.1,
    "exposureSlack": 50.0,
    "rollbackS": 5.0,
    "retrySlack": 60.0,
    "probesPerS": 10.0,
    "coldOvershoot": 1.5,
    "coldSlack": 8.0,
}
RETRY_SHARE, RETRY_WINDOW_S, GRACE_S = 0.2, 10.0, 6.0
FIRST_VERSION = 3


class TakenError(Exception):
    """Raised where another step already acts on a subject in the same way."""


def routes_of(settings: plans.Settings) -> dict[str, ledgers.Route]:
    """Return the routes that stay in force throughout, by name."""
    core, side = frozenset({"core"}), frozenset({"side"})
    regions = frozenset({"r1"}) if settings.regions else frozenset()
    return {
        "read": ledgers.Route("read", "safe", core, 2.0),
        "book": ledgers.Route("book", "unsafe", core, 3.0),
        "files": ledgers.Route("files", "download", core | side, 2.5),
        "ledger": ledgers.Route("ledger", "unsafe", side, 2.0, regions),
    }


class World:
    """One play's processes; ``route_by_name`` has those that are always in force."""

    def __init__(self, settings: plans.Settings) -> None:
        self.settings = settings
        self.fleet = platform_fleet.PlatformFleet()
        self.ledger = ledgers.Ledger()
        self.link_by_node: dict[str, link.Link] = {}
        self.link_by_upstream: dict[str, link.Link] = {}
        self.zone_by_upstream: dict[str, str] = {}
        self.life_by_node: dict[str, int] = {}
        self.route_by_name = routes_of(settings)
        self.version = FIRST_VERSION
        #: Lets a caller send a request with this target once more; set by the callers.
        self.send_again: abc.Callable[[ledgers.Route, str], None] = _send_nothing
        self._tasks: set[asyncio.Task[None]] = set()
        #: By how much more callers send just now.
        self.load_factor = 1.0
        self._taken: set[str] = set()
        bounds = {**BOUNDS, "budgetWindowS": RETRY_WINDOW_S}
        self.fleet.more_bounds = tuple(f"{k}={v}" for k, v in bounds.items())
        if settings.regions:
            self.fleet.region_by_zone = dict(REGIONS)

    @property
    def nodes(self) -> list[str]:
        """Return the names of all gateways."""
        return [f"node-{n + 1}" for n in range(self.settings.gateways)]

    @property
    def suspendable(self) -> list[str]:
        """Return the gateways whose hosts can be suspended: the last two."""
        return self.nodes[-2:]

    @property
    def with_own_addresses(self) -> list[str]:
        """Return the gateways that can be cut off from upstreams: all but the last."""
        return self.nodes[:-2]

    @property
    def upstreams(self) -> list[str]:
        """Return the ids of the upstreams that are there from the start."""
        return [f"i-{n}" for n in range(self.settings.upstreams)]

    async def start(self) -> None:
        """Start everything and wait until all gateways are ready."""
        await self.fleet.store.start()
        self.write_configuration()
        for number, upstream in enumerate(self.upstreams):
            service = SERVICES[number % SIDE_EVERY == SIDE_EVERY - 1]
            await self.add_upstream(upstream, service, ZONES[number % len(ZONES)])
        for number, node in enumerate(self.nodes):
            self.ledger.region_by_name[node] = REGIONS[ZONES[number % len(ZONES)]]
            path = link.Link(self.fleet.store.address, f"127.0.1.{number + 1}")
            await path.start()
            self.link_by_node[node] = path
            self.fleet.store_by_node[node] = path.address
        for node in self.nodes:
            self.fleet.program_by_node[node] = isolation_play.OWN_ADDRESS_PROGRAM
        for number, node in enumerate(self.with_own_addresses):
            self.ledger.node_by_ip[f"127.0.1.{number + 1}"] = node
        for node in self.suspendable:
            self.fleet.program_by_node[node] = SUSPENDABLE
        await asyncio.gather(*(self.start_gateway(node) for node in self.nodes))
        # Later a fault may keep one from being ready; one that never was plays nothing.
        for node in self.nodes:
            await self.fleet.until_ready(node)

    async def close(self) -> None:
        """End everything that was started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.fleet.close()
        for path in [*self.link_by_node.values(), *self.link_by_upstream.values()]:
            await path.close()

    def keep_logs(self, folder: typing.Any) -> None:
        """Copy what the gateways wrote."""
        for path in self.fleet.logs.values():
            shutil.copy(path, folder)

    @contextlib.contextmanager
    def trouble(
        self, kind: str, *subjects: str, of: str, excuses: bool = True
    ) -> abc.Iterator[ledgers.Trouble]:
        """
        Note what is done to ``subjects`` while the context lasts.

        Raise ``TakenError`` where another step has taken that part ``of`` one.
        """
        keys = {f"{of} of {subject}" for subject in subjects}
        if keys & self._taken:
            raise TakenError(f"{kind}: {', '.join(sorted(keys & self._taken))}")
        self._taken |= keys
        trouble = ledgers.Trouble(kind, frozenset(subjects), time.monotonic(), excuses)
        self.ledger.troubles.append(trouble)
        log = loguru.logger.bind(fault=kind, subjects=sorted(subjects))
        log.info("begins")
        try:
            yield trouble
        finally:
            self._taken -= keys
            trouble.ended_at = time.monotonic()
            log.info("ended")

    async def until_free(self, *subjects: str, of: str, limit_s: float) -> None:
        """Wait, for ``limit_s`` at most, until no step has that part ``of`` them."""
        until = time.monotonic() + limit_s
        keys = {f"{of} of {subject}" for subject in subjects}
        while keys & self._taken and time.monotonic() < until:
            await asyncio.sleep(0.05)

    def is_in_hand(self, upstream: str) -> bool:
        """Tell whether a step has the life of an upstream in hand."""
        return f"life of {upstream}" in self._taken

    # Gateways.

    async def start_gateway(self, node: str) -> None:
        """Start a gateway, and wait until it is ready."""
        self.life_by_node[node] = self.life_by_node.get(node, 0) + 1
        await self.fleet.start_gateway(int(node.removeprefix("node-")), GRACE_S)
        with contextlib.suppress(TimeoutError):
            await self.fleet.until_ready(node)

    def signal_gateway(self, node: str, number: signal.Signals) -> None:
        """Send a signal to a gateway that runs."""
        process = self.fleet.process_by_node[node]
        if process.returncode is None:
            process.send_signal(number)

    async def stop_gateway(self, node: str) -> None:
        """Stop a gateway as the platform does: SIGKILL after the time of grace."""
        self.signal_gateway(node, signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await self.fleet.process_by_node[node].wait()
        except TimeoutError:
            await self.kill_gateway(node)

    async def kill_gateway(self, node: str) -> None:
        """Kill a gateway."""
        self.signal_gateway(node, signal.SIGKILL)
        await self.fleet.process_by_node[node].wait()

    def cut_from_upstreams(self, nodes: list[str], how: upstream_cuts.How) -> None:
        """Cut gateways off from all upstreams."""
        self.fleet.cut_from_upstreams(nodes, how)
        for path in self.link_by_upstream.values():
            path.reset_cut_connections()

    # Upstreams.

    async def add_upstream(
        self, upstream: str, service: str, zone: str, version: str = "v1"
    ) -> platform_worker.PlatformWorker:
        """Start an upstream on a path of its own, and list it."""
        worker = platform_worker.PlatformWorker(
            upstream, WORK_S, version, self.fleet.fault_by_version, self.fleet.poisons
        )
        worker.on_crash = lambda: self._come_back(upstream)
        worker.most_at_once = MOST_AT_ONCE
        self.fleet.worker_by_id[upstream] = worker
        self.ledger.workers.append(worker)
        self.ledger.service_by_upstream[upstream] = service
        self.ledger.region_by_name[upstream] = REGIONS[zone]
        self.zone_by_upstream[upstream] = zone
        await worker.start()
        worker.born = _unix_ms()
        path = self.link_by_upstream[upstream] = link.Link(
            worker.address, cuts=self.fleet.upstream_cuts
        )
        await path.start()
        worker.listed_address = path.address
        self.list_upstream(upstream)
        return worker

    def list_upstream(self, upstream: str, state: str = "ready") -> None:
        """Write an upstream's entry."""
        self.fleet.list_worker(
            self.fleet.worker_by_id[upstream],
            self.ledger.service_by_upstream[upstream],
            self.zone_by_upstream[upstream],
            state,
        )

    def upstreams_of(self, service: str) -> list[str]:
        """Return the upstreams of a service that are there from the start."""
        service_of = self.ledger.service_by_upstream
        return [u for u in self.upstreams if service_of[u] == service]

    async def restart_upstream(self, upstream: str, *, is_cold: bool) -> None:
        """Start an upstream again under its id, and list it."""
        worker = self.fleet.worker_by_id[upstream]
        await worker.start()
        worker.born = _unix_ms()
        self.link_by_upstream[upstream].target = worker.address
        if is_cold:
            self.turn_cold(worker)
        self.list_upstream(upstream)

    def _come_back(self, upstream: str) -> None:
        """Let an upstream that has crashed under a request start again, later."""
        task = asyncio.ensure_future(self._start_crashed(upstream))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start_crashed(self, upstream: str) -> None:
        while True:
            try:
                with self.trouble("upstream-crashed", upstream, of="life"):
                    await asyncio.sleep(BACK_AFTER_S)
                    await self.restart_upstream(upstream, is_cold=True)
                return
            except TakenError:
                # Another step has it in hand; it may leave it as it is.
                await asyncio.sleep(BACK_AFTER_S)

    def turn_cold(self, worker: platform_worker.PlatformWorker) -> None:
        """Let an upstream be cold from now on, and note it."""
        until = time.monotonic() + COLD_S
        worker.coldness = worker_records.Coldness(until, float("inf"))
        now = time.monotonic()
        self.ledger.cold.append(ledgers.Closed(worker.id, "cold", 0.0, now, until))

    @contextlib.contextmanager
    def closed(self, upstream: str, why: str, bound: str) -> abc.Iterator[None]:
        """Note that an upstream may get nothing new, but within a bound."""
        closed = ledgers.Closed(upstream, why, BOUNDS[bound], time.monotonic())
        self.ledger.closed.append(closed)
        try:
            yield
        finally:
            closed.until = time.monotonic()

    # The operator.

    def write_configuration(self) -> None:
        """Write a configuration; each has one route more, which tells it apart."""
        routes = [self._wire(route) for route in self.route_by_name.values()]
        for version in range(FIRST_VERSION, self.version + 1):
            routes.append(
                platform_fleet.route(f"since-{version}", f"/since-{version}/")
            )
        config = platform_fleet.configuration(
            self.version, routes, SERVICES, coldPerS=COLD_PER_S, coldStartS=COLD_S
        )
        self.fleet.store.put("op/config", config)
        self.ledger.acknowledged_at[self.version] = time.monotonic()

    def _wire(self, route: ledgers.Route) -> dict[str, typing.Any]:
        options: dict[str, typing.Any] = {"timeoutS": route.timeout_s}
        if route.regions:
            options["allowedRegions"] = sorted(route.regions)
        if len(route.services) > 1:
            options["backends"] = [
                {"service": service, "weight": 50} for service in sorted(route.services)
            ]
        else:
            options["service"] = min(route.services)
        return platform_fleet.route(
            route.name, f"/{route.name}/", route.kind, **options
        )


def _send_nothing(route: ledgers.Route, target: str) -> None:
    """Stand in for callers before there are any."""


def _unix_ms() -> int:
    return int(time.time() * 1000)
