"""
Failure detection from the silence of an upstream with outstanding calls.

An overdue answer tells more about an upstream than past answers. Silence is measured
in missed answers: the number that a healthy upstream would have given in that time.
Used by both cost estimates and by ``hedging``.
"""

from spindlenotch import ids
from spindlenotch.kernel import upstreams

#: Missed answers that add no cost.
MAX_TOLERATED_MISSED_ANSWERS = 3.0
#: Cost of each further missed answer, as a share of the typical latency.
COST_PER_MISSED_ANSWER = 0.3


def missed_answers(
    upstream: upstreams.Upstream, typical_s: float, now: ids.Instant
) -> float:
    """
    Return how many answers an upstream should have given since its last one.

    ``typical_s`` is the service's typical latency in seconds.
    """
    return upstream.silent_s(now) * max(1, upstream.outstanding) / typical_s


def may_have_crashed(
    upstream: upstreams.Upstream,
    sent_at: ids.Instant,
    p95_s: float,
    now: ids.Instant,
) -> bool:
    """
    Return whether an upstream may have crashed since an attempt was sent at
    ``sent_at``.

    It may have if nothing was heard of it for longer than ``p95_s``, the 95th
    percentile of the latency in seconds: an upstream whose host fails closes no
    connection.
    """
    return now - max(sent_at, upstream.liveness.heard_at) > p95_s


def overdue_cost(
    upstream: upstreams.Upstream, typical_s: float, now: ids.Instant
) -> float:
    """Return the cost of an upstream's silence, as a share of the typical latency."""
    if not upstream.sent_at_by_call and not upstream.liveness.has_unanswered_attempts:
        return 0.0
    missed = missed_answers(upstream, typical_s, now)
    return COST_PER_MISSED_ANSWER * max(0.0, missed - MAX_TOLERATED_MISSED_ANSWERS)
