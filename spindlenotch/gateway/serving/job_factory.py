"""
Builds the job for the data path from a caller's request and its route.

Owns the rules for the deadline of a request and for its cross-zone cost, and assigns
the call ids of this process. All instants are those of the gateway's clock. Relies
on the route (operator's configuration), on the dialect's header names, on
``caller_age`` and on ``decisions.start_limit``.
"""

import itertools
from collections import abc

from aiohttp import web_request

from spindlenotch import headers, ids
from spindlenotch.decisions import balancer, overflow, start_limit, verdicts
from spindlenotch.forwarding import jobs
from spindlenotch.gateway import dialect, state
from spindlenotch.gateway.serving import body_traffic, caller_age, request_body
from spindlenotch.gateway.source import routing
from spindlenotch.kernel import wait_queue

#: Header between gateways: how often they have handed the request to each other.
HANDOVERS = "Spindlenotch-Handovers"
#: Timeout in seconds of a request that states none.
DEFAULT_TIMEOUT_S = 60.0
#: Longest timeout in seconds that a caller can state, one day; a longer one is
#: ignored. Keeps instants within the range that the event loop can wait for.
MAX_TIMEOUT_S = 86_400.0
#: Minimum cross-zone cost: seconds added to the expected latency of an upstream in
#: another zone, for the round trip and for the less certain load estimates.
MIN_CROSS_ZONE_S = 0.008
#: Cross-zone cost as a share of the typical latency, if that is more than the
#: minimum: a gain within the error of the estimates does not justify cross-zone
#: traffic.
CROSS_ZONE_SHARE = 0.12
#: Maximum of that share in seconds: an overloaded service, whose latency is high,
#: needs the upstreams of all zones.
MAX_CROSS_ZONE_S = 0.03
#: Seconds added to the cross-zone cost per byte of the request body.
CROSS_ZONE_S_PER_BYTE = 2.5e-6
#: Times that a request may be handed to another gateway: the one that gets it may turn
#: out to be isolated too.
MAX_HANDOVERS = 2
#: Minimum remaining time in milliseconds that is sent to an upstream.
MIN_REMAINING_MS = 1


class JobFactory:
    """
    Creates the jobs of one gateway.

    Invariant: the call ids of this process are unique.
    """

    def __init__(
        self,
        gateway_state: state.GatewayState,
        gateway_dialect: dialect.Dialect,
        traffic: body_traffic.BodyTraffic,
    ) -> None:
        self.state = gateway_state
        self.traffic = traffic
        self.dialect = gateway_dialect
        self._removed_headers = gateway_dialect.replaced | {
            "content-length",
            HANDOVERS.lower(),
        }
        self._call_numbers = itertools.count()
        self._request_ages = caller_age.RequestAges()
        self._table: routing.RouteTable | None = None

    def create(
        self,
        request: web_request.BaseRequest,
        route: routing.Route,
        body: request_body.Body,
        startup_wait_s: float = 0.0,
    ) -> jobs.Job:
        """
        Create the job of a request; advances the round robin of the route.

        ``startup_wait_s`` is how many seconds the request has waited for this gateway
        to become ready.
        """
        self._drop_removed_routes()
        service = self.state.round_robin.next(route)
        service_balancer = self.state.balancer_by_service[service]
        return jobs.Job(
            balancer=service_balancer,
            call=self._call(request, route, body, service_balancer, startup_wait_s),
            method=request.method,
            target=request.raw_path,
            headers=self._end_to_end_headers(request),
            body=body.content,
            needs_new_connection=needs_new_connection(route, body),
            caller=request.remote or "",
            streamed_bytes=_streamed_bytes(body),
            handovers=handover_count(request.headers),
        )

    def _call(
        self,
        request: web_request.BaseRequest,
        route: routing.Route,
        body: request_body.Body,
        service_balancer: balancer.Balancer,
        startup_wait_s: float,
    ) -> wait_queue.Call:
        now = ids.later(self.state.clock.now(), -startup_wait_s)
        timeout_s = read_timeout_s(request.headers.get(self.dialect.deadline_ms))
        typical_s = service_balancer.pool.latencies.typical_s(route.name)
        limit = start_limit.for_request(
            now,
            target_s=route.target_s,
            age_s=self._request_ages.age_s(route.name, timeout_s),
            typical_s=typical_s,
        )
        body_bytes = body.known_bytes + self.traffic.expected_response_bytes(route)
        cross_region_s = overflow.cross_region_cost_s(body_bytes)
        return wait_queue.Call(
            id=ids.CallId(f"{next(self._call_numbers):x}"),
            priority=route.rank,
            repeatable=route.repeatable,
            deadline=deadline(now, timeout_s, route),
            latency_key=route.name,
            arrived_at=now,
            max_attempts=route.most_tries,
            wait_until=limit.wait_until,
            late=limit.late,
            cross_zone_s=cross_zone_s(body, typical_s),
            cross_region_s=cross_region_s,
            cross_region_from=overflow.leave_region_at(
                now, limit.wait_until, cross_region_s
            ),
            allowed_regions=allowed_regions(route),
        )

    def _drop_removed_routes(self) -> None:
        """Drop the statistics of removed routes, once per configuration."""
        table = self.state.table
        if table is not None and table is not self._table:
            self._table = table
            self._request_ages.forget_missing(table.configuration.routes)
            self.traffic.forget_missing(table.configuration.routes)

    def _end_to_end_headers(
        self, request: web_request.BaseRequest
    ) -> list[tuple[str, str]]:
        """Return the caller's headers sent with every attempt, with its request id."""
        pairs = [(name, value) for name, value in request.headers.items()]
        forwarded = headers.end_to_end(pairs, self._removed_headers)
        request_id = request.headers.get(self.dialect.request_id)
        if request_id is not None:
            forwarded.append((self.dialect.request_id, request_id))
        return forwarded


def _streamed_bytes(body: request_body.Body) -> int:
    return body.known_bytes if isinstance(body, request_body.StreamedBody) else 0


def handover_count(fields: abc.Mapping[str, str]) -> int:
    """Return how often a request was handed over before; 0 if that can't be read."""
    text = fields.get(HANDOVERS, "")
    is_number = text.isascii() and text.isdecimal()
    return min(MAX_HANDOVERS, int(text[:2])) if is_number else 0


def read_timeout_s(text: str | None) -> float:
    """
    Parse the caller's timeout in milliseconds; return it in seconds.

    Returns ``DEFAULT_TIMEOUT_S`` if the header is absent, malformed, NaN or above
    ``MAX_TIMEOUT_S``, so that the request is served rather than rejected, and zero
    if it is negative.
    """
    if not text:
        return DEFAULT_TIMEOUT_S
    try:
        timeout_s = float(text) / 1000
    except ValueError:
        return DEFAULT_TIMEOUT_S
    # Written as a negation to reject NaN too, which is invalid in an instant.
    if not timeout_s <= MAX_TIMEOUT_S:
        return DEFAULT_TIMEOUT_S
    return max(0.0, timeout_s)


def deadline(now: ids.Instant, timeout_s: float, route: routing.Route) -> ids.Instant:
    """Return the deadline by the shorter of the caller's and the route's timeout."""
    if route.timeout_s is not None:
        timeout_s = min(timeout_s, route.timeout_s)
    return ids.later(now, timeout_s)


def cross_zone_s(body: request_body.Body, typical_s: float) -> float:
    """
    Return the cross-zone cost of a request in seconds.

    ``typical_s`` is the typical latency of the route in seconds. A streamed body
    without a Content-Length counts as empty.
    """
    proportional_s = min(MAX_CROSS_ZONE_S, CROSS_ZONE_SHARE * typical_s)
    crossing_s = max(MIN_CROSS_ZONE_S, proportional_s)
    return crossing_s + CROSS_ZONE_S_PER_BYTE * body.known_bytes


def allowed_regions(route: routing.Route) -> frozenset[ids.RegionName] | None:
    """Return the regions in which a route's requests may run; None means any."""
    if route.allowed_regions is None:
        return None
    return frozenset(route.allowed_regions)


def needs_new_connection(route: routing.Route, body: request_body.Body) -> bool:
    """
    Return whether a request must not be sent on a reused connection.

    If a reused connection is lost, it is unknown whether the request was executed.
    A response sent before the upstream has read the body corrupts the next exchange
    on the connection.
    """
    return not route.repeatable or body.content is not None


def labels(
    gateway_dialect: dialect.Dialect,
) -> abc.Callable[[jobs.Job, verdicts.Grant, float], jobs.AttemptHeaders]:
    """Return the function that sets the headers of each attempt in a dialect."""

    def label(
        job: jobs.Job, grant: verdicts.Grant, remaining_s: float
    ) -> jobs.AttemptHeaders:
        request_id = dict(job.headers).get(gateway_dialect.request_id, "")
        remaining_ms = max(MIN_REMAINING_MS, int(remaining_s * 1000))
        extra = [(gateway_dialect.deadline_ms, str(remaining_ms))]
        if gateway_dialect.expect_upstream is not None:
            extra.append((gateway_dialect.expect_upstream, grant.upstream.spec.id))
        return jobs.AttemptHeaders(request_id, extra)

    return label
