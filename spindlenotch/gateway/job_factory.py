"""
Turns a caller's request and its route into a job for the data path.

Owns the rules for how long a request may take, how long it may wait for a free
upstream and what crossing to another zone costs it; all instants are those of
the gateway's clock. Numbers the calls of this process. Relies on the route
(operator's configuration) and on the dialect's header names.
"""

import itertools
from collections import abc

from aiohttp import web_request

from spindlenotch import headers, ids
from spindlenotch.decisions import verdicts
from spindlenotch.forwarding import jobs
from spindlenotch.gateway import dialect, request_body, routing, state
from spindlenotch.kernel import waiting

#: Share of the route's target latency that a request may wait in the queue.
#: Compared with 0.4 in trials of three days (message of commit 83438aa): 0.4 was
#: worse on two of them.
QUEUE_WAIT_SHARE = 0.2
#: Seconds a request may wait where its route has no target latency. Chosen, not
#: measured.
QUEUE_WAIT_WITHOUT_TARGET_S = 0.1
#: Seconds until the deadline of a request that states none. Chosen, not measured.
DEFAULT_TIMEOUT_S = 60.0
#: Longest time in seconds that a caller can give its request, a day; a longer one
#: counts as none stated. Keeps instants within what the event loop can wait for.
LONGEST_TIMEOUT_S = 86_400.0
#: Seconds of expected latency that an upstream in another zone counts more than
#: one in this: the round trip, and load estimates that are less certain there.
#: Raised from 0.002 after trials that also tried 0.012 (message of commit 83438aa).
CROSS_ZONE_S = 0.008
#: Seconds that each byte of the request's body adds to that. Chosen, not measured.
CROSS_ZONE_S_PER_BYTE = 2.5e-6
#: Milliseconds of the shortest time left that an upstream is told. Chosen, not
#: measured.
LEAST_TIME_LEFT_MS = 1


class JobFactory:
    """
    Builds the jobs of one gateway.

    Invariant: no two calls of this process have the same id.
    """

    def __init__(
        self, gateway_state: state.GatewayState, gateway_dialect: dialect.Dialect
    ) -> None:
        self.state = gateway_state
        self.dialect = gateway_dialect
        self._dropped = gateway_dialect.replaced | {"content-length"}
        self._numbers = itertools.count()

    def create(
        self,
        request: web_request.BaseRequest,
        route: routing.Route,
        body: request_body.Body,
    ) -> jobs.Job:
        """Build the job of a request; advances the route's round robin."""
        service = self.state.round_robin.next(route)
        return jobs.Job(
            balancer=self.state.balancer_by_service[service],
            call=self._call(request, route, body),
            method=request.method,
            target=request.raw_path,
            headers=self._passed_headers(request),
            body=body.content,
            needs_new_connection=needs_new_connection(route, body),
        )

    def _call(
        self,
        request: web_request.BaseRequest,
        route: routing.Route,
        body: request_body.Body,
    ) -> waiting.Call:
        now = self.state.clock.now()
        timeout_s = read_timeout_s(request.headers.get(self.dialect.deadline_ms))
        return waiting.Call(
            id=ids.CallId(f"{next(self._numbers):x}"),
            priority=route.rank,
            repeatable=route.repeatable,
            deadline=deadline(now, timeout_s, route),
            latency_key=route.name,
            arrived_at=now,
            most_tries=route.most_tries,
            wait_until=ids.later(now, queue_wait_s(route)),
            cross_zone_s=cross_zone_s(body),
        )

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


def queue_wait_s(route: routing.Route) -> float:
    """Return how many seconds a request may wait until an upstream has room."""
    if route.target_s is None:
        return QUEUE_WAIT_WITHOUT_TARGET_S
    return QUEUE_WAIT_SHARE * route.target_s


def cross_zone_s(body: request_body.Body) -> float:
    """
    Return what an upstream in another zone costs a request, in seconds.

    A streamed body without a declared length counts as empty.
    """
    return CROSS_ZONE_S + CROSS_ZONE_S_PER_BYTE * body.known_bytes


def needs_new_connection(route: routing.Route, body: request_body.Body) -> bool:
    """
    Tell whether a request must not go over a kept connection.

    On a kept connection it can't be known whether a request ran that broke off,
    and an answer that comes before the body was read spoils the next exchange.
    """
    return not route.repeatable or body.content is not None


def labels(
    gateway_dialect: dialect.Dialect,
) -> abc.Callable[[jobs.Job, verdicts.Grant, float], jobs.Labels]:
    """Return the function that sets the headers of each try in that dialect."""

    def label(job: jobs.Job, grant: verdicts.Grant, left_s: float) -> jobs.Labels:
        request_id = dict(job.headers).get(gateway_dialect.request_id, "")
        left_ms = max(LEAST_TIME_LEFT_MS, int(left_s * 1000))
        extra = [(gateway_dialect.deadline_ms, str(left_ms))]
        if gateway_dialect.expect_upstream is not None:
            extra.append((gateway_dialect.expect_upstream, grant.upstream.spec.id))
        return jobs.Labels(request_id, extra)

    return label
