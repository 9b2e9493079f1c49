"""
Outcomes of requests and reasons for refusals, as every answer states them.

The client library, both daemons and the tests use these values. ``NOT_RUN`` must be
based on positive knowledge: the request was never dispatched, the connection was
never made, or the upstream reported that the request has not run.
"""

import enum

import msgspec

from spindlenotch import ids

#: Lowest HTTP status that counts as a failure of the upstream: RFC 9110, section 15.6,
#: reserves 5xx for servers that failed to fulfil a valid request.
MIN_FAILED_STATUS = 500


class Outcome(enum.Enum):
    """Whether a request ran, as far as is known when it is answered."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """The reason for a refusal or an outcome."""

    SERVED = "served"
    KEPT_ANSWER = "kept-answer"
    ANSWER_NOT_KEPT = "answer-not-kept"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_OPERATION = "unknown-operation"
    MISSING_DEADLINE = "missing-deadline"
    BAD_DEADLINE = "bad-deadline"
    BAD_ID = "bad-id"
    BAD_HEADER = "bad-header"
    TWO_IDS = "two-ids"
    UNAUTHENTICATED = "unauthenticated"
    CLASS_NOT_GRANTED = "class-not-granted"
    ID_EXPIRED = "id-expired"
    ID_TABLE_FULL = "id-table-full"
    ATTEMPT_CLOSED = "attempt-closed"
    HOME_GONE = "home-gone"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    CLAIM_OVER_BUDGET = "claim-over-budget"
    NOT_READY = "not-ready"
    RESYNCHRONISING = "resynchronising"
    NO_UPSTREAM = "no-upstream"
    QUEUE_FULL = "queue-full"
    DEADLINE_HOPELESS = "deadline-hopeless"
    DEADLINE_PASSED = "deadline-passed"
    UPSTREAM_SHED = "upstream-shed"
    CONNECT_FAILED = "connect-failed"
    CONNECTION_LOST = "connection-lost"
    FOREIGN_ANSWER = "foreign-answer"
    CALLER_GONE = "caller-gone"
    ROUTE_REFUSED = "route-refused"
    REGION_NOT_ALLOWED = "region-not-allowed"
    #: The gateway lacks processor time.
    OVERLOADED = "overloaded"
    #: Upstreams crash when they run the request.
    QUARANTINED = "quarantined"
    #: An upstream crashed on the request, and another call of it is on trial.
    ON_TRIAL = "on-trial"


class RefusalRule(enum.Enum):
    """The queueing rule by which a request is refused; its value is logged."""

    DEADLINE = "deadline-hopeless"
    QUEUE_TOO_LONG = "queue-too-long"
    WAIT_OVER = "queue-wait-over"


class Refusal(msgspec.Struct, frozen=True):
    """
    A final refusal, returned in place of an answer.

    ``retry_at`` is the instant from which a retry makes sense, or None if the same
    request would be refused again. ``rule`` tells which rule decided, for reasons that
    several rules lead to.
    """

    outcome: Outcome
    reason: Reason
    retry_at: ids.Instant | None = None
    detail: str = ""
    rule: RefusalRule | None = None


def not_run(
    reason: Reason,
    retry_at: ids.Instant | None = None,
    detail: str = "",
    rule: RefusalRule | None = None,
) -> Refusal:
    """Return a refusal of a request that is known not to have run."""
    return Refusal(Outcome.NOT_RUN, reason, retry_at, detail, rule)


def unknown(
    reason: Reason, retry_at: ids.Instant | None = None, detail: str = ""
) -> Refusal:
    """Return a refusal of a request that may have run."""
    return Refusal(Outcome.UNKNOWN, reason, retry_at, detail)
