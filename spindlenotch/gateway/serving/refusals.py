"""
The gateway's own responses, for requests that get none from an upstream.

Also determines the status of a failure and the time after which to retry. A refusal
(503) guarantees that the request was not executed; after a failure (502, 504) that
is unknown. Holds no state.
"""

from aiohttp import web_response

from spindlenotch import ids
from spindlenotch.decisions import queueing
from spindlenotch.kernel import outcomes

#: The request was sent and no complete response received; it may have run.
UNKNOWN_STATUS = 502
#: The request was not executed.
NOT_RUN_STATUS = 503
#: The deadline has passed; the request may have run.
DEADLINE_PASSED_STATUS = 504
NO_ROUTE_STATUS = 404
#: Seconds after which to retry a request of a refused route. Only an operator can
#: correct the route, so this is as long as callers cache a directory response: an
#: earlier retry would fail again, a later one delay recovery after the correction.
ROUTE_REFUSED_RETRY_S = 5.0
#: Seconds after which to retry a request refused for its region: by then the caller
#: has queried the directory again and may reach another region.
REGION_REFUSED_RETRY_S = 1.0
BODY_TOO_LONG_STATUS = 413


def retry_after_s(refusal: outcomes.Refusal, now: ids.Instant) -> float:
    """Return the seconds until ``retry_at``, at least ``MIN_RETRY_AFTER_S``."""
    if refusal.retry_at is None:
        return queueing.MIN_RETRY_AFTER_S
    return max(queueing.MIN_RETRY_AFTER_S, refusal.retry_at - now)


def failure_status(reason: outcomes.Reason) -> int:
    """Return the status of a request whose outcome is unknown."""
    if reason is outcomes.Reason.DEADLINE_PASSED:
        return DEADLINE_PASSED_STATUS
    return UNKNOWN_STATUS


def not_run(reason: outcomes.Reason, wait_s: float) -> web_response.Response:
    """Return a 503 response with ``Retry-After`` of ``wait_s`` seconds."""
    return web_response.Response(
        status=NOT_RUN_STATUS,
        headers={"Retry-After": f"{wait_s:.3f}"},
        text=f"{reason.value}\n",
    )


def render_not_run(reason: outcomes.Reason, wait_s: float) -> bytes:
    """Return the response of ``not_run`` as it is sent before the connection closes."""
    body = f"{reason.value}\n"
    return (
        f"HTTP/1.1 {NOT_RUN_STATUS} Service Unavailable\r\n"
        f"Retry-After: {wait_s:.3f}\r\n"
        "Content-Type: text/plain; charset=utf-8\r\n"
        f"Content-Length: {len(body)}\r\n"
        "Connection: close\r\n"
        f"\r\n{body}"
    ).encode()


def not_ready() -> web_response.Response:
    """Return the response before the first configuration and late in a stop."""
    return not_run(outcomes.Reason.NOT_READY, queueing.MIN_RETRY_AFTER_S)


def route_refused() -> web_response.Response:
    """Return the response to a request whose route can't be served as configured."""
    return not_run(outcomes.Reason.ROUTE_REFUSED, ROUTE_REFUSED_RETRY_S)


def region_refused() -> web_response.Response:
    """Return the response to a request that may not be served in this region."""
    return not_run(outcomes.Reason.REGION_NOT_ALLOWED, REGION_REFUSED_RETRY_S)


def failed(reason: outcomes.Reason) -> web_response.Response:
    """Return the response to a request whose outcome is unknown."""
    return web_response.Response(
        status=failure_status(reason), text=f"{reason.value}\n"
    )


def no_route() -> web_response.Response:
    """Return the response to a request that matches no configured route."""
    return web_response.Response(status=NO_ROUTE_STATUS, text="no route\n")


def body_too_long() -> web_response.Response:
    """Return the response to a request whose Content-Length exceeds the limit."""
    return web_response.Response(status=BODY_TOO_LONG_STATUS, text="body too long\n")
