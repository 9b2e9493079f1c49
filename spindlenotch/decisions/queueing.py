"""
When a call waits in the entry, for how long, and what a refusal says.

Rules on values: pool, queue, call and instant in, verdict out. They rely on
``upstream_pool`` for typical latencies and the rate at which calls end, and on
``waiting`` for the order of the queue. ``Balancer`` applies them when a call is
offered, when a slot becomes free and at each queue check.
"""

from spindlenotch import ids
from spindlenotch.kernel import outcomes, upstream_pool, waiting

#: Least wait in seconds that a refused caller is asked to keep before it tries again.
LEAST_RETRY_AFTER_S = 0.05
#: Fewest ends a second that the estimate of a wait divides by, so that it stays finite
#: where nothing ends.
LEAST_PER_S = 1.0
#: Seconds by which a new call must have its turn sooner than it has to: turns are taken
#: somewhat late, and a call that was let wait should not be refused after all.
TURN_RESERVE_S = 0.02


def expected_wait_s(pool: upstream_pool.Pool, ahead: int, now: ids.Instant) -> float:
    """
    Estimate the wait in seconds behind ``ahead`` calls.

    They get their turn as calls of this process end, or as often as the upstreams take
    any where all of them name limits. Zero until that rate is known.
    """
    turns = pool.dispatch_schedule(now)
    if turns is not None:
        return max(0.0, turns.at(ahead) - now)
    per_s = pool.completions.per_s(now)
    if per_s is None:
        return 0.0
    return ahead / max(LEAST_PER_S, per_s)


def rule_against(
    pool: upstream_pool.Pool,
    call: waiting.Call,
    ahead: int,
    now: ids.Instant,
    reserve_s: float = 0.0,
) -> outcomes.RefusalRule | None:
    """
    Return why a call behind ``ahead`` others is refused at once, or None.

    It would miss its deadline, or wait for longer than it may, with ``reserve_s``
    seconds to spare. Refusing it leaves the caller time to try elsewhere, and no slot
    is spent on an answer that comes too late.
    """
    wait_s = expected_wait_s(pool, ahead, now) + reserve_s
    typical_s = pool.latencies.typical_s(call.latency_key)
    if call.deadline - now < wait_s + typical_s:
        return outcomes.RefusalRule.DEADLINE
    if call.wait_until - now < wait_s:
        return outcomes.RefusalRule.QUEUE_TOO_LONG
    return None


def rule_against_new(
    pool: upstream_pool.Pool, call: waiting.Call, ahead: int, now: ids.Instant
) -> outcomes.RefusalRule | None:
    """Return why a new call behind ``ahead`` others is refused at once, or None."""
    reserve_s = TURN_RESERVE_S if pool.dispatch_schedule(now) is not None else 0.0
    return rule_against(pool, call, ahead, now, reserve_s)


def rule_to_give_up(
    pool: upstream_pool.Pool, call: waiting.Call, ahead: int, now: ids.Instant
) -> outcomes.RefusalRule | None:
    """
    Return why a waiting call behind ``ahead`` others is refused now, or None.

    Either it has waited as long as it may (``wait_until``), or it will not get
    its turn in time.
    """
    if now >= call.wait_until:
        return outcomes.RefusalRule.WAIT_OVER
    return rule_against(pool, call, ahead, now)


def retry_at(pool: upstream_pool.Pool, queued: int, now: ids.Instant) -> ids.Instant:
    """
    Return when a refused caller should try again.

    That is when the ``queued`` calls and one more will have been served.
    """
    wait_s = expected_wait_s(pool, queued + 1, now)
    return ids.later(now, max(LEAST_RETRY_AFTER_S, wait_s))


def displaced_by(queue: waiting.WaitQueue, call: waiting.Call) -> waiting.Call | None:
    """
    Return the waiting call that gives up its place in a full queue.

    It is the newest of the least urgent. None where nothing that waits is less
    urgent than ``call``, which is then refused itself.
    """
    candidate = queue.least_urgent()
    if candidate is None or candidate.rank <= call.rank:
        return None
    return candidate
