"""
When a call is hedged: a second copy is sent although the first has not failed.

The rules for one call: when to check it, whether its answer is overdue, and
whether it may be hedged at all. ``Balancer`` adds the budget of the service and
the choice of another upstream. Relies on ``silence`` and ``overload``.
"""

from spindlenotch import ids
from spindlenotch.decisions import overload, silence
from spindlenotch.kernel import upstream_pool, upstreams, wait_queue

#: Missed answers above which an upstream counts as hung: if answers came at random, a
#: healthy one would miss that many with probability exp(-4), about 2 in 100.
MAX_MISSED_ANSWERS = 4.0
#: A call at a slowed upstream is hedged after this share of its typical latency.
SLOWED_AGE_SHARE = 0.6
#: Interval of the checks where upstreams report slowdowns, as a share of the typical
#: latency.
SLOWDOWN_CHECK_SHARE = 0.5
#: Shortest interval of the checks, in seconds.
MIN_CHECK_INTERVAL_S = 0.001


def check_interval_s(
    pool: upstream_pool.Pool, upstream: upstreams.Upstream, latency_key: str
) -> float:
    """
    Return after how many seconds an outstanding call is checked again.

    A reported slowdown can make a call overdue before its typical latency has
    passed, so checks are more frequent for upstreams that report slowdowns.
    """
    interval_s = pool.latencies.typical_s(latency_key)
    if upstream.reports_slowdown:
        interval_s *= SLOWDOWN_CHECK_SHARE
    return max(MIN_CHECK_INTERVAL_S, interval_s)


def is_overdue(
    pool: upstream_pool.Pool,
    upstream: upstreams.Upstream,
    latency_key: str,
    sent_at: ids.Instant,
    now: ids.Instant,
) -> bool:
    """
    Return whether the answer to a call sent at ``sent_at`` is overdue.

    It is if the call is older than the 95th percentile of the latency, if its upstream
    is slowed and the call older than a share of its typical latency, or if the upstream
    as a whole has been silent for longer than chance explains.
    """
    age_s = now - sent_at
    if age_s > pool.latencies.p95_s(latency_key):
        return True
    slowed = upstream.slowdown(now) > upstreams.SLOWED_FACTOR
    if slowed and age_s > SLOWED_AGE_SHARE * pool.latencies.typical_s(latency_key):
        return True
    missed = silence.missed_answers(upstream, pool.latencies.overall.value, now)
    return missed > MAX_MISSED_ANSWERS


def is_allowed(
    pool: upstream_pool.Pool, call: wait_queue.Call, attempts: int, queued: int
) -> bool:
    """
    Return whether a call that was sent to ``attempts`` upstreams may be hedged.

    A call has one hedge at most. While calls are ``queued`` or many fail, a hedge
    would only take the slot of a call that has not been sent at all.
    """
    if not call.repeatable or attempts != 1 or attempts >= call.max_attempts:
        return False
    return not queued and not overload.is_failing(pool)
