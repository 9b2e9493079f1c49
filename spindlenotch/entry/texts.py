"""
The text and the HTTP status of every reason that a caller can be given.

``responses`` reads these tables. Texts and statuses are part of the protocol
with callers.
"""

from spindlenotch.kernel import outcomes

_R = outcomes.Reason

TEXT_BY_REASON: dict[outcomes.Reason, str] = {
    _R.SERVED: "the request ran and this is its answer",
    _R.KEPT_ANSWER: "the request ran earlier and this is its kept answer",
    _R.ANSWER_NOT_KEPT: "the request ran; its answer is no longer kept",
    _R.UNKNOWN_SERVICE: "the bundle in force names no such service",
    _R.UNKNOWN_OPERATION: "no operation of the service matches method and path",
    _R.MISSING_DEADLINE: "header Spindlenotch-Timeout-Ms is missing",
    _R.BAD_DEADLINE: "header Spindlenotch-Timeout-Ms is not a whole number in range",
    _R.BAD_ID: "the request id is malformed",
    _R.BAD_HEADER: "a header is malformed or too large",
    _R.TWO_IDS: "give either a ticket or an Idempotency-Key, not both",
    _R.UNAUTHENTICATED: "the caller is unknown or its key does not match",
    _R.CLASS_NOT_GRANTED: "the bundle does not grant this class to the caller",
    _R.ID_EXPIRED: "the request id is too old to be run",
    _R.ID_TABLE_FULL: "too many request ids are being remembered",
    _R.ATTEMPT_CLOSED: "this attempt was refused before; raise the attempt number",
    _R.HOME_GONE: "the process that alone may run this id does not answer",
    _R.CLAIM_UNAVAILABLE: "the id could not be claimed: the store does not answer",
    _R.CLAIM_OVER_BUDGET: "the id could not be claimed: the claim budget is used up",
    _R.NOT_READY: "no trustworthy bundle is in force here yet",
    _R.RESYNCHRONISING: "this process was paused and is checking its bundle",
    _R.NO_UPSTREAM: "no upstream of the service may take new work",
    _R.QUEUE_FULL: "the queue of the service is full",
    _R.DEADLINE_HOPELESS: "the request cannot be answered before its deadline",
    _R.DEADLINE_PASSED: "the deadline passed",
    _R.UPSTREAM_SHED: "the upstream refused the request without running it",
    _R.CONNECT_FAILED: "no connection to the upstream could be made",
    _R.CONNECTION_LOST: "the connection to the upstream broke",
    _R.FOREIGN_ANSWER: "the upstream's answer belonged to another request",
    _R.CALLER_GONE: "the caller closed its connection",
}

STATUS_BY_REASON: dict[outcomes.Reason, int] = {
    _R.ANSWER_NOT_KEPT: 410,
    _R.UNKNOWN_SERVICE: 404,
    _R.UNKNOWN_OPERATION: 404,
    _R.MISSING_DEADLINE: 400,
    _R.BAD_DEADLINE: 400,
    _R.BAD_ID: 400,
    _R.BAD_HEADER: 431,
    _R.TWO_IDS: 400,
    _R.UNAUTHENTICATED: 401,
    _R.CLASS_NOT_GRANTED: 403,
    _R.ID_EXPIRED: 410,
    _R.ATTEMPT_CLOSED: 409,
    _R.DEADLINE_PASSED: 504,
    _R.CONNECTION_LOST: 502,
    _R.FOREIGN_ANSWER: 502,
    _R.HOME_GONE: 502,
}

#: Reasons that are not listed above mean that the request cannot be served now:
#: 503, RFC 9110, section 15.6.4.
DEFAULT_STATUS = 503


def status_of(reason: outcomes.Reason) -> int:
    """Return the HTTP status that goes with ``reason``."""
    return STATUS_BY_REASON.get(reason, DEFAULT_STATUS)
