"""
Requests while some gateways are cut off from all workers.

Relies on a ``platform_fleet`` whose gateways connect from addresses of their own.
"""

import asyncio
import collections
import enum
import time

import msgspec

from features.support import (
    platform_fleet,
    platform_worker,
    steady_callers,
    upstream_cuts,
)
from spindlenotch.gateway.serving import request_body

#: Seconds that a cut lasts, and after which its effects must have been contained.
CUT_S, CONTAIN_S = 8.0, 3.0
#: Requests and share of all of them that may fail at the gateways cut off.
FAILED_ALLOWED, FAILED_SHARE_ALLOWED = 10, 0.02
#: Smallest ratio of the shares served at the gateways cut off and at the others.
MIN_SERVED_RATIO = 2 / 3
#: Part of the callers that keep an answer of the directory for longer than it is valid.
STALE_DIRECTORY_SHARE = 1 / 3
OWN_ADDRESS_PROGRAM = "features/support/own_address.py"


class Kind(enum.Enum):
    """
    The kinds of requests, by the route that they are sent on.

    Uploads may run only once, as bookings; a gateway does not hold long ones in memory.
    """

    READ = "read"
    BOOKING = "book"
    UPLOAD = "push"
    LONG_UPLOAD = "haul"
    #: As a booking, at another service.
    SIDE_BOOKING = "order"


#: The kind of each of so many requests in turn.
EVERY_SECOND_A_BOOKING = (Kind.BOOKING, Kind.READ)
#: A third may run once only; the others keep connections to all upstreams busy.
ALL_KINDS = (
    *(Kind.READ, Kind.READ, Kind.BOOKING),
    *(Kind.READ, Kind.READ, Kind.UPLOAD),
    *(Kind.READ, Kind.READ, Kind.BOOKING),
    *(Kind.READ, Kind.READ, Kind.UPLOAD),
    *(Kind.READ, Kind.READ, Kind.BOOKING),
    *(Kind.READ, Kind.READ, Kind.LONG_UPLOAD),
)
TWO_SERVICES = (
    *(Kind.READ, Kind.BOOKING, Kind.SIDE_BOOKING),
    *(Kind.READ, Kind.UPLOAD, Kind.SIDE_BOOKING),
    *(Kind.READ, Kind.BOOKING, Kind.SIDE_BOOKING),
    *(Kind.READ, Kind.UPLOAD, Kind.SIDE_BOOKING),
    *(Kind.READ, Kind.BOOKING, Kind.SIDE_BOOKING),
    *(Kind.READ, Kind.LONG_UPLOAD, Kind.SIDE_BOOKING),
)
SIDE_SERVICE = "side"
UPLOAD_BYTES = 20_000
#: Above what a gateway holds in memory.
LONG_UPLOAD_BYTES = request_body.MAX_BUFFERED_BODY_BYTES + 100_000


class Served(msgspec.Struct, frozen=True):
    """How many of a number of requests were served."""

    served: int
    sent: int

    @property
    def share(self) -> float:
        """Return the share that was served, 1 if there were no requests."""
        return self.served / self.sent if self.sent else 1.0

    @property
    def failed(self) -> int:
        """Return how many were not served."""
        return self.sent - self.served


class IsolationPlay(steady_callers.SteadyCallers):
    """
    Callers of all gateways while some are cut off from all workers.

    A part of the callers keeps to the gateways that were named before the cut.
    """

    def __init__(self, fleet: platform_fleet.PlatformFleet) -> None:
        super().__init__(fleet)
        self.cut_nodes: list[str] = []
        self.cut_at = 0.0
        self.healed_at = 0.0
        self.empty_directories = 0
        self.kinds: tuple[Kind, ...] = EVERY_SECOND_A_BOOKING
        #: Workers of ``SIDE_SERVICE``.
        self.side_workers: list[str] = []
        self._nodes_before_cut: list[str] = []

    async def cut(self, nodes: list[str], how: upstream_cuts.How) -> None:
        """Cut gateways off for ``CUT_S`` seconds."""
        self._begin_cut(nodes)
        self.fleet.cut_from_upstreams(nodes, how)
        await self._heal_later()

    async def cut_and_restart(self, nodes: list[str], how: upstream_cuts.How) -> None:
        """Cut gateways off and start them again; the cut counts from then on."""
        self._begin_cut(nodes)
        self.fleet.cut_from_upstreams(nodes, how)
        await self.kill(nodes)
        for node in nodes:
            await self.fleet.until_ready(node)
        self.cut_at = time.monotonic()
        await self._heal_later()

    async def cut_from_core(self, nodes: list[str]) -> None:
        """Let gateways open no new connection to one service for ``CUT_S`` seconds."""
        self._begin_cut(nodes)
        self.fleet.refuse_new_connections(nodes, self._core_workers())
        await self._heal_later()

    async def end_core(self) -> None:
        """Let the workers of a service end, and start again ``CUT_S`` seconds later."""
        self._begin_cut([])
        workers = self._core_workers()
        for worker in workers:
            await worker.close()
        await asyncio.sleep(CUT_S)
        for worker in workers:
            await worker.start(int(worker.address.rpartition(":")[2]))
        self.healed_at = time.monotonic()

    def _core_workers(self) -> list[platform_worker.PlatformWorker]:
        workers = self.fleet.worker_by_id.values()
        return [worker for worker in workers if worker.id not in self.side_workers]

    def _begin_cut(self, nodes: list[str]) -> None:
        self.cut_nodes = nodes
        self._nodes_before_cut = list(self._nodes)
        self.cut_at = time.monotonic()

    async def _heal_later(self) -> None:
        await asyncio.sleep(CUT_S)
        self.fleet.heal_upstream_cuts()
        self.healed_at = time.monotonic()

    async def ask_directory(self) -> None:
        """Wait until the directory names a gateway of each zone."""
        await self.fleet.until(self._names_each_zone)

    async def _names_each_zone(self) -> bool:
        first = next(iter(self.fleet.ip_by_node))
        self._nodes = await self._resolve(first, platform_fleet.ZONES[0])
        return len(self._nodes) == len(platform_fleet.ZONES)

    def serving(self) -> list[str]:
        """Return the gateways that the directory named last."""
        return list(self._nodes)

    def served(
        self, from_s: float, to_s: float, *, cut: bool, kind: Kind | None = None
    ) -> Served:
        """
        Return what was served of the requests sent in a span after the cut began.

        ``cut``: at the gateways cut off, else at the others. ``kind`` None: of all
        kinds.
        """
        counted = [
            one
            for name, one in self.request_by_id.items()
            if from_s <= one.sent_at - self.cut_at < to_s
            and (one.node in self.cut_nodes) is cut
            and (kind is None or self.kind_of(name) is kind)
        ]
        ok = sum(one.status == steady_callers.OK for one in counted)
        return Served(ok, len(counted))

    def repeated_bookings(self) -> list[str]:
        """Return the bookings that ran more often than once."""
        return [one for one, count in self._run_counts().items() if count > 1]

    def false_refusals(self) -> list[str]:
        """Return the bookings that ran although they were refused as not run."""
        return [
            one
            for one in self._run_counts()
            if self.request_by_id[one].status == steady_callers.NOT_RUN
        ]

    def _run_counts(self) -> collections.Counter[str]:
        """Return how often each booking ran."""
        return collections.Counter(
            run.request_id
            for worker in self.fleet.worker_by_id.values()
            for run in worker.runs
            if self.kind_of(run.request_id) is not Kind.READ
        )

    def kind_of(self, request_id: str) -> Kind:
        """Return the kind of a request by its id, which ends in its number."""
        return self.kinds[int(request_id.rpartition("-")[2]) % len(self.kinds)]

    def _method_and_target(self, request_id: str) -> tuple[str, str]:
        kind = self.kind_of(request_id)
        method = "GET" if kind is Kind.READ else "POST"
        return method, f"/{kind.value}/{request_id}"

    def _body(self, request_id: str) -> platform_fleet.Body:
        match self.kind_of(request_id):
            case Kind.UPLOAD:
                return bytes(UPLOAD_BYTES)
            case Kind.LONG_UPLOAD:
                return bytes(LONG_UPLOAD_BYTES)
        return None

    async def _resolve(self, node: str, zone: str) -> list[str]:
        nodes = await super()._resolve(node, zone)
        self.empty_directories += not nodes
        return nodes

    def _choose_node(self) -> str:
        if self._nodes_before_cut and self._rng.random() < STALE_DIRECTORY_SHARE:
            return self._rng.choice(self._nodes_before_cut)
        return super()._choose_node()
