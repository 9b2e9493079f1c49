"""
What the silence of an upstream with outstanding calls says of it.

An answer that is overdue says more than those that came. The unit is the
number of answers that a healthy upstream would have given in the time of the
silence. Used by both cost estimates and by ``hedging``.
"""

from spindlenotch import ids
from spindlenotch.kernel import upstreams

#: Missed answers that cost nothing yet.
FREE_MISSED_ANSWERS = 3.0
#: What each further one costs, as a share of the typical latency.
COST_PER_MISSED_ANSWER = 0.3


def missed_answers(
    upstream: upstreams.Upstream, typical_s: float, now: ids.Instant
) -> float:
    """
    Return how many answers it should have given since its last one.

    ``typical_s`` is the service's typical latency in seconds.
    """
    return upstream.silent_s(now) * max(1, upstream.outstanding) / typical_s


def seems_ended(
    upstream: upstreams.Upstream,
    sent_at: ids.Instant,
    p95_s: float,
    now: ids.Instant,
) -> bool:
    """
    Tell whether an upstream may have ended under a try that was sent at ``sent_at``.

    So it may where nothing was heard of it for longer than 95 in 100 answers take: one
    that loses its host closes no connection.
    """
    return now - max(sent_at, upstream.liveness.heard_at) > p95_s


def overdue_cost(
    upstream: upstreams.Upstream, typical_s: float, now: ids.Instant
) -> float:
    """Return what its silence costs, as a share of the typical latency."""
    if not upstream.sent_at_by_call and not upstream.liveness.has_unanswered_attempts:
        return 0.0
    missed = missed_answers(upstream, typical_s, now)
    return COST_PER_MISSED_ANSWER * max(0.0, missed - FREE_MISSED_ANSWERS)
