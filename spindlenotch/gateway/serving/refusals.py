"""
What a caller is told where it gets no answer of an upstream.

One function each for the status of a failure and for when a retry makes sense,
and the responses of the gateway itself. A refusal (503) promises that the
request has not run; a failure (502, 504) promises nothing. Holds no state.
"""

from aiohttp import web_response

from spindlenotch import ids
from spindlenotch.decisions import queueing
from spindlenotch.kernel import outcomes

#: Whether the request ran is unknown: it was sent, and no whole answer came.
UNKNOWN_STATUS = 502
#: The request has not run.
NOT_RUN_STATUS = 503
#: The deadline has passed; whether the request ran is unknown.
DEADLINE_PASSED_STATUS = 504
NO_ROUTE_STATUS = 404
#: Seconds after which a request of a refused route may come back. Only an operator can
#: mend the route, so it is as long as callers keep an answer of the directory: sooner
#: is in vain, later keeps them waiting once it is mended.
ROUTE_REFUSED_RETRY_S = 5.0
#: Seconds after which a request may come back that was refused for its region: by
#: then its caller has asked the directory again and may reach another one.
REGION_REFUSED_RETRY_S = 1.0
BODY_TOO_LONG_STATUS = 413


def retry_after_s(refusal: outcomes.Refusal, now: ids.Instant) -> float:
    """Return in how many seconds a retry makes sense: at ``retry_at``, not at once."""
    if refusal.retry_at is None:
        return queueing.MIN_RETRY_AFTER_S
    return max(queueing.MIN_RETRY_AFTER_S, refusal.retry_at - now)


def failure_status(reason: outcomes.Reason) -> int:
    """Return the status of a request whose outcome is unknown."""
    if reason is outcomes.Reason.DEADLINE_PASSED:
        return DEADLINE_PASSED_STATUS
    return UNKNOWN_STATUS


def not_run(reason: outcomes.Reason, wait_s: float) -> web_response.Response:
    """Return the response to a request that has not run; retry in ``wait_s``."""
    return web_response.Response(
        status=NOT_RUN_STATUS,
        headers={"Retry-After": f"{wait_s:.3f}"},
        text=f"{reason.value}\n",
    )


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
    """Return the response to a request that no route of the configuration fits."""
    return web_response.Response(status=NO_ROUTE_STATUS, text="no route\n")


def body_too_long() -> web_response.Response:
    """Return the response to a request whose declared body is beyond the limit."""
    return web_response.Response(status=BODY_TOO_LONG_STATUS, text="body too long\n")
