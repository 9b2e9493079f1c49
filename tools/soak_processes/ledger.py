"""
What callers and upstreams saw in a play, and what was done to it from outside.

All instants are on the monotonic clock. The checks read this and nothing else: no
log, metric or state of a gateway.
"""

import dataclasses
import functools
import time
import typing

from features.support import limit_sum, platform_worker, worker_records

#: Subject of what concerns every process of the play.
ALL = "*"
STORE = "store"
#: Kind of the trouble of who gets too little of a busy machine.
STARVED = "starved"
#: Kind of a trouble in which gateways have lost their links to all upstreams.
CUT_OFF = "gateways-cut-off"
#: Statuses that promise that a request has not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route, as callers know it; ``services`` may run its requests."""

    name: str
    kind: str
    services: frozenset[str]
    timeout_s: float
    regions: frozenset[str] = frozenset()

    @property
    def runs_once(self) -> bool:
        """Tell whether its requests may run at most once."""
        return self.kind == "unsafe"


@dataclasses.dataclass(slots=True)
class Request:
    """
    One request and what its caller got; ``life`` counts its gateway's starts.

    ``status`` is None where there was no whole answer; ``error`` then says why.
    """

    id: str
    route: Route
    target: str
    node: str
    life: int
    sent_at: float
    deadline_at: float
    ended_at: float = 0.0
    status: int | None = None
    error: str = ""
    is_stamped: bool = False
    has_own_body: bool = False
    ended_life: int = 0
    #: The upstream whose answer named a limit, or said that it leaves, and its start.
    limited_by: str = ""
    left_by: str = ""
    left_by_start: int | None = None

    @property
    def is_served(self) -> bool:
        """Tell whether it got a success."""
        return self.status is not None and 200 <= self.status < 300

    def __str__(self) -> str:
        got = self.error or str(self.status)
        return f"request {self.id} through {self.node} at {self.sent_at:.3f}: {got}"


@dataclasses.dataclass(slots=True)
class Trouble:
    """
    Something done from outside to ``subjects``.

    ``excuses`` tells whether bounds in time are off for them meanwhile: it is so for
    faults, not for what operators and upstreams may do at any time.
    """

    kind: str
    subjects: frozenset[str]
    began_at: float
    excuses: bool
    ended_at: float = float("inf")


@dataclasses.dataclass(slots=True)
class Closed:
    """A time in which an upstream may get nothing new, but for the first seconds."""

    upstream: str
    why: str
    bound_s: float
    since: float
    until: float = float("inf")


@dataclasses.dataclass(slots=True)
class Order:
    """
    An order for a version, and what the operator read of it.

    ``upstreams`` are those that were started for it, beside the old ones.
    """

    service: str
    version: str
    is_bad: bool
    upstreams: frozenset[str]
    ordered_at: float
    due_at: float
    state: str = ""


class Arrival(typing.NamedTuple):
    """
    A request's arrival at an upstream.

    ``sender`` is the gateway that sent it, which may have it from another one.
    """

    at: float
    upstream: str
    request: Request
    sender: str


@dataclasses.dataclass
class Ledger:
    """Everything that is noted in a play."""

    request_by_id: dict[str, Request] = dataclasses.field(default_factory=dict)
    troubles: list[Trouble] = dataclasses.field(default_factory=list)
    closed: list[Closed] = dataclasses.field(default_factory=list)
    cold: list[Closed] = dataclasses.field(default_factory=list)
    orders: list[Order] = dataclasses.field(default_factory=list)
    #: What limits upstreams named, in order.
    namings_by_upstream: dict[str, list[limit_sum.Naming]] = dataclasses.field(
        default_factory=dict
    )
    #: Targets of requests that end the upstreams that run them.
    poisons: list[str] = dataclasses.field(default_factory=list)
    #: When the store took each version of the configuration.
    acknowledged_at: dict[int, float] = dataclasses.field(default_factory=dict)
    workers: list[platform_worker.PlatformWorker] = dataclasses.field(
        default_factory=list
    )
    service_by_upstream: dict[str, str] = dataclasses.field(default_factory=dict)
    #: Of gateways and upstreams.
    #: Gateways that connect from addresses of their own.
    node_by_ip: dict[str, str] = dataclasses.field(default_factory=dict)
    region_by_name: dict[str, str] = dataclasses.field(default_factory=dict)
    began_at: float = dataclasses.field(default_factory=time.monotonic)
    ended_at: float = 0.0
    #: When most requests were served again after the last fault; None: not in time.
    recovered_after_s: float | None = None

    def troubled(self, subjects: set[str], since: float, until: float) -> bool:
        """Tell whether a fault hit one of ``subjects`` between two instants."""
        subjects = subjects | {ALL}
        return any(
            trouble.excuses
            and trouble.began_at <= until
            and trouble.ended_at >= since
            and trouble.subjects & subjects
            for trouble in self.troubles
        )

    def runs_of(self, request_id: str) -> list[tuple[str, worker_records.Run]]:
        """Return a request's runs, with the upstream of each."""
        return self._runs_by_request.get(request_id, [])

    @functools.cached_property
    def _runs_by_request(self) -> dict[str, list[tuple[str, worker_records.Run]]]:
        found: dict[str, list[tuple[str, worker_records.Run]]] = {}
        for worker in self.workers:
            for run in worker.runs:
                found.setdefault(run.request_id, []).append((worker.id, run))
        return found

    @functools.cached_property
    def arrivals(self) -> list[Arrival]:
        """Return all arrivals of callers' requests in order of time."""
        found = [
            Arrival(
                head.at,
                worker.id,
                self.request_by_id[request_id],
                self.node_by_ip.get(head.ip, self.request_by_id[request_id].node),
            )
            for worker in self.workers
            for head in worker.heads
            if (request_id := head.fields.get("x-spindlenotch-request-id", ""))
            in self.request_by_id
        ]
        return sorted(found, key=lambda arrival: arrival.at)
