"""
When a call is queued, for how long, and when a refused caller should retry.

Performs no I/O and reads no clock. Relies on ``upstream_pool`` for typical latencies
and the completion rate, and on ``wait_queue`` for the order of the queue. ``Balancer``
applies the rules when a call is offered, when a slot becomes free and at each queue
check.
"""

from spindlenotch import ids
from spindlenotch.kernel import outcomes, upstream_pool, wait_queue

#: Shortest delay in seconds that a refused caller is given before it retries.
MIN_RETRY_AFTER_S = 0.05
#: Lowest completion rate, per second, that the estimate of a wait divides by, so that
#: the estimate stays finite when nothing completes.
MIN_COMPLETIONS_PER_S = 1.0
#: Seconds by which a new call must be scheduled before its limit: calls are sent
#: somewhat later than scheduled, and a call once queued should not be refused later.
DISPATCH_RESERVE_S = 0.02


def expected_wait_s(pool: upstream_pool.Pool, ahead: int, now: ids.Instant) -> float:
    """
    Estimate the wait in seconds behind ``ahead`` calls.

    Calls are sent as calls of this process complete, or, where all upstreams
    advertise rate limits, at the rate that these allow. Zero until that rate is known.
    """
    schedule = pool.dispatch_schedule(now)
    if schedule is not None:
        return max(0.0, schedule.at(ahead) - now)
    per_s = pool.completions.per_s(now)
    if per_s is None:
        return 0.0
    return ahead / max(MIN_COMPLETIONS_PER_S, per_s)


def refusal_rule(
    pool: upstream_pool.Pool,
    call: wait_queue.Call,
    ahead: int,
    now: ids.Instant,
    reserve_s: float = 0.0,
) -> outcomes.RefusalRule | None:
    """
    Return why a call behind ``ahead`` others is refused at once, or None.

    It is refused if it would miss its deadline, or wait for longer than it may, with
    ``reserve_s`` seconds to spare. Refusing it early leaves the caller time to try
    elsewhere, and no slot is spent on an answer that comes too late.
    """
    wait_s = expected_wait_s(pool, ahead, now) + reserve_s
    typical_s = pool.latencies.typical_s(call.latency_key)
    if call.deadline - now < wait_s + typical_s:
        return outcomes.RefusalRule.DEADLINE
    if call.wait_until - now < wait_s:
        return outcomes.RefusalRule.QUEUE_TOO_LONG
    return None


def refusal_rule_for_new(
    pool: upstream_pool.Pool, call: wait_queue.Call, ahead: int, now: ids.Instant
) -> outcomes.RefusalRule | None:
    """Return why a new call behind ``ahead`` others is refused at once, or None."""
    reserve_s = DISPATCH_RESERVE_S if pool.dispatch_schedule(now) is not None else 0.0
    return refusal_rule(pool, call, ahead, now, reserve_s)


def refusal_rule_for_waiting(
    pool: upstream_pool.Pool, call: wait_queue.Call, ahead: int, now: ids.Instant
) -> outcomes.RefusalRule | None:
    """
    Return why a waiting call behind ``ahead`` others is refused now, or None.

    It is refused if it has waited as long as it may (``wait_until``), or if it will
    not be sent in time.
    """
    if now >= call.wait_until:
        return outcomes.RefusalRule.WAIT_OVER
    return refusal_rule(pool, call, ahead, now)


def retry_at(pool: upstream_pool.Pool, queued: int, now: ids.Instant) -> ids.Instant:
    """
    Return when a refused caller should retry.

    That is when ``queued`` calls and one more are expected to have been served.
    """
    wait_s = expected_wait_s(pool, queued + 1, now)
    return ids.later(now, max(MIN_RETRY_AFTER_S, wait_s))


def displaced_by(
    queue: wait_queue.WaitQueue, call: wait_queue.Call
) -> wait_queue.Call | None:
    """
    Return the waiting call that ``call`` displaces from a full queue.

    It is the newest of the least urgent calls. None if no waiting call is less urgent
    than ``call``, which is then refused itself.
    """
    candidate = queue.least_urgent()
    if candidate is None or candidate.rank <= call.rank:
        return None
    return candidate
