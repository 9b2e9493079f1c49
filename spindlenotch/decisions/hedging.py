"""
When a second copy of a call goes out although the first has not failed.

The rules on one call: when to look at it, whether its answer is overdue, and
whether it may be hedged at all. ``Balancer`` adds the budget of the service and
the choice of another upstream. Relies on ``silence`` and ``overload``.
"""

from spindlenotch import ids
from spindlenotch.decisions import overload, silence
from spindlenotch.kernel import upstream_pool, upstreams, wait_queue

#: Answers that an upstream must have missed to count as stuck: if answers came at
#: random, a healthy one would miss that many with probability exp(-4), about 2 in 100.
MISSED_ANSWERS = 4.0
#: A call at a slowed upstream is hedged after this share of its typical latency.
SLOWED_AGE_SHARE = 0.6
#: Interval of the checks where upstreams report slowdowns, as a share of the typical
#: latency.
SLOWDOWN_CHECK_SHARE = 0.5
#: Shortest interval of the checks, in seconds.
LEAST_CHECK_S = 0.001


def check_interval_s(
    pool: upstream_pool.Pool, upstream: upstreams.Upstream, latency_key: str
) -> float:
    """
    Return after how many seconds an outstanding call is looked at again.

    A reported slowdown can make a call overdue before its typical latency has
    passed, so the checks are closer together where upstreams report any.
    """
    interval_s = pool.latencies.typical_s(latency_key)
    if upstream.reports_slowdown:
        interval_s *= SLOWDOWN_CHECK_SHARE
    return max(LEAST_CHECK_S, interval_s)


def is_overdue(
    pool: upstream_pool.Pool,
    upstream: upstreams.Upstream,
    latency_key: str,
    sent_at: ids.Instant,
    now: ids.Instant,
) -> bool:
    """
    Tell whether the answer to a call sent at ``sent_at`` is overdue.

    It is where the call is slower than 95 in 100, where its upstream is slowed
    and the call already old, or where the upstream as a whole has been silent
    for longer than chance explains.
    """
    age_s = now - sent_at
    if age_s > pool.latencies.p95_s(latency_key):
        return True
    slowed = upstream.slowdown(now) > upstreams.SLOWED_FACTOR
    if slowed and age_s > SLOWED_AGE_SHARE * pool.latencies.typical_s(latency_key):
        return True
    missed = silence.missed_answers(upstream, pool.latencies.overall.value, now)
    return missed > MISSED_ANSWERS


def is_allowed(
    pool: upstream_pool.Pool, call: wait_queue.Call, tries: int, queued: int
) -> bool:
    """
    Tell whether a call that was sent to ``tries`` upstreams may be hedged.

    A call has one hedge at most. While ``queued`` calls wait or much fails, a
    hedge would only take the slot of a call that has not been sent at all.
    """
    if not call.repeatable or tries != 1 or tries >= call.most_tries:
        return False
    return not queued and not overload.is_failing(pool)
