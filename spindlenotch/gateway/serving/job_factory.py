"""
Turns a caller's request and its route into a job for the data path.

Owns the rules for how long a request may take and what crossing to another zone
costs it; all instants are those of the gateway's clock. Numbers the calls of this
process. Relies on the route (operator's configuration), on the dialect's header
names, on ``caller_age`` and on ``decisions.start_limit``.
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

#: Seconds until the deadline of a request that states none.
DEFAULT_TIMEOUT_S = 60.0
#: Longest time in seconds that a caller can give its request, a day; a longer one
#: counts as none stated. Keeps instants within what the event loop can wait for.
LONGEST_TIMEOUT_S = 86_400.0
#: Seconds of expected latency that an upstream in another zone counts more than
#: one in this: the round trip, and load estimates that are less certain there.
CROSS_ZONE_S = 0.008
#: The same as a share of the typical latency, where that is more: what differs by
#: less than the estimates err is not worth bytes between zones.
CROSS_ZONE_SHARE = 0.12
#: The most seconds by that share: an overloaded service, whose latency is high,
#: needs the upstreams of all zones.
MOST_CROSS_ZONE_S = 0.03
#: Seconds that each byte of the request's body adds to that.
CROSS_ZONE_S_PER_BYTE = 2.5e-6
#: Milliseconds of the shortest time left that an upstream is told.
LEAST_TIME_LEFT_MS = 1


class JobFactory:
    """
    Builds the jobs of one gateway.

    Invariant: no two calls of this process have the same id.
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
        self._dropped = gateway_dialect.replaced | {"content-length"}
        self._numbers = itertools.count()
        self._ages = caller_age.CallerAges()
        self._table: routing.RouteTable | None = None

    def create(
        self,
        request: web_request.BaseRequest,
        route: routing.Route,
        body: request_body.Body,
        held_s: float = 0.0,
    ) -> jobs.Job:
        """
        Build the job of a request; advances the route's round robin.

        ``held_s`` is how long this gateway has held it before, in seconds.
        """
        self._follow_configuration()
        service = self.state.round_robin.next(route)
        chosen = self.state.balancer_by_service[service]
        return jobs.Job(
            balancer=chosen,
            call=self._call(request, route, body, chosen, held_s),
            method=request.method,
            target=request.raw_path,
            headers=self._passed_headers(request),
            body=body.content,
            needs_new_connection=needs_new_connection(route, body),
            caller=request.remote or "",
            streamed_bytes=_streamed_bytes(body),
        )

    def _call(
        self,
        request: web_request.BaseRequest,
        route: routing.Route,
        body: request_body.Body,
        chosen: balancer.Balancer,
        held_s: float,
    ) -> wait_queue.Call:
        now = ids.later(self.state.clock.now(), -held_s)
        timeout_s = read_timeout_s(request.headers.get(self.dialect.deadline_ms))
        typical_s = chosen.pool.latencies.typical_s(route.name)
        limit = start_limit.for_request(
            now,
            target_s=route.target_s,
            age_s=self._ages.age_s(route.name, timeout_s),
            typical_s=typical_s,
        )
        size = body.known_bytes + self.traffic.expected_bytes(route)
        cross_region_s = overflow.cross_region_cost_s(size)
        return wait_queue.Call(
            id=ids.CallId(f"{next(self._numbers):x}"),
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

    def _follow_configuration(self) -> None:
        """Forget routes that are gone, once for each configuration in force."""
        table = self.state.table
        if table is not None and table is not self._table:
            self._table = table
            self._ages.forget_missing(table.configuration.routes)
            self.traffic.forget_missing(table.configuration.routes)

    def _passed_headers(
        self, request: web_request.BaseRequest
    ) -> list[tuple[str, str]]:
        """Return the caller's headers that every try carries, its id among them."""
        pairs = [(k, v) for k, v in request.headers.items()]
        passed = headers.end_to_end(pairs, self._dropped)
        request_id = request.headers.get(self.dialect.request_id)
        if request_id is not None:
            passed.append((self.dialect.request_id, request_id))
        return passed


def _streamed_bytes(body: request_body.Body) -> int:
    return body.known_bytes if isinstance(body, request_body.StreamedBody) else 0


def read_timeout_s(text: str | None) -> float:
    """
    Read the seconds that a caller gives its request, from milliseconds as text.

    An absent, unreadable or endless header counts as ``DEFAULT_TIMEOUT_S``, so
    that the request is served rather than rejected; a negative one as zero.
    """
    if not text:
        return DEFAULT_TIMEOUT_S
    try:
        timeout_s = float(text) / 1000
    except ValueError:
        return DEFAULT_TIMEOUT_S
    # Not true of NaN either, which no instant can be reckoned with.
    if not timeout_s <= LONGEST_TIMEOUT_S:
        return DEFAULT_TIMEOUT_S
    return max(0.0, timeout_s)


def deadline(now: ids.Instant, timeout_s: float, route: routing.Route) -> ids.Instant:
    """Return when a request must be answered: its caller's limit or the route's."""
    if route.timeout_s is not None:
        timeout_s = min(timeout_s, route.timeout_s)
    return ids.later(now, timeout_s)


def cross_zone_s(body: request_body.Body, typical_s: float) -> float:
    """
    Return what an upstream in another zone costs a request, in seconds.

    ``typical_s`` is the typical latency of its kind. A streamed body without a
    declared length counts as empty.
    """
    share_s = min(MOST_CROSS_ZONE_S, CROSS_ZONE_SHARE * typical_s)
    crossing_s = max(CROSS_ZONE_S, share_s)
    return crossing_s + CROSS_ZONE_S_PER_BYTE * body.known_bytes


def allowed_regions(route: routing.Route) -> frozenset[ids.RegionName] | None:
    """Return the regions in which a route's requests may run; None: anywhere."""
    if route.allowed_regions is None:
        return None
    return frozenset(route.allowed_regions)


def needs_new_connection(route: routing.Route, body: request_body.Body) -> bool:
    """
    Tell whether a request must not go over a kept connection.

    On a kept connection it can't be known whether a request ran that broke off,
    and an answer that comes before the body was read spoils the next exchange.
    """
    return not route.repeatable or body.content is not None


def labels(
    gateway_dialect: dialect.Dialect,
) -> abc.Callable[[jobs.Job, verdicts.Grant, float], jobs.AttemptHeaders]:
    """Return the function that sets the headers of each try in that dialect."""

    def label(
        job: jobs.Job, grant: verdicts.Grant, left_s: float
    ) -> jobs.AttemptHeaders:
        request_id = dict(job.headers).get(gateway_dialect.request_id, "")
        left_ms = max(LEAST_TIME_LEFT_MS, int(left_s * 1000))
        extra = [(gateway_dialect.deadline_ms, str(left_ms))]
        if gateway_dialect.expect_upstream is not None:
            extra.append((gateway_dialect.expect_upstream, grant.upstream.spec.id))
        return jobs.AttemptHeaders(request_id, extra)

    return label
