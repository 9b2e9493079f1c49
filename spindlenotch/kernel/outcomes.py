"""
What became of a request, as every answer states it.

The client library, both daemons and the tests use these values. ``NOT_RUN`` may
only be built from positive knowledge: the request was never dispatched, the
connection was never made, or the upstream reported that it has not run.
"""

import enum

import msgspec

from spindlenotch import ids

#: Upstreams' answers from this status up are failures: RFC 9110, section 15.6,
#: gives 5xx to servers that failed to do a valid request.
FIRST_FAILED_STATUS = 500


class Outcome(enum.Enum):
    """What is known of a request when its answer is given."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Why a request was refused or its outcome is what it is."""

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
    #: The request ends the upstreams that run it.
    QUARANTINED = "quarantined"
    #: An upstream ended under the request, and another call still tries it.
    ON_TRIAL = "on-trial"


class RefusalRule(enum.Enum):
    """Which rule says that a request will get no room; named in the log."""

    DEADLINE = "deadline-hopeless"
    QUEUE_TOO_LONG = "queue-too-long"
    WAIT_OVER = "queue-wait-over"


class Refusal(msgspec.Struct, frozen=True):
    """
    A value returned in place of an answer. It is final when it is made.

    ``retry_at`` is the instant from which asking again makes sense, or None
    where the same request would be refused again. ``rule`` is the one that
    decided, where several lead to one reason.
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
    """Build a refusal of a request that positively did not run."""
    return Refusal(Outcome.NOT_RUN, reason, retry_at, detail, rule)


def unknown(
    reason: Reason, retry_at: ids.Instant | None = None, detail: str = ""
) -> Refusal:
    """Build a refusal of a request that may have run."""
    return Refusal(Outcome.UNKNOWN, reason, retry_at, detail)
