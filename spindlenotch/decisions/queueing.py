"""
When a call waits in the entry, for how long, and what a refusal says.

Rules on values: pool, queue, call and instant in, verdict out. They rely on
``upstream_pool`` for typical latencies and own slots and on ``waiting`` for the order
of the queue. ``Balancer`` applies them when a call is offered, when a slot
becomes free and at each queue check.
"""

from spindlenotch import ids
from spindlenotch.kernel import upstream_pool, waiting

#: Least wait in seconds that a refused caller is asked to keep before it tries
#: again. Chosen, not measured.
LEAST_RETRY_AFTER_S = 0.05
#: Least number of own slots that the estimate of a wait divides by, so that an
#: entry without own slots still has a finite estimate. Chosen, not measured.
LEAST_SLOTS = 1.0


def expected_wait_s(pool: upstream_pool.Pool, ahead: int) -> float:
    """
    Estimate the wait in seconds behind ``ahead`` calls.

    Own slots are taken to free up at the rate of one per typical latency each.
    """
    return ahead * pool.latencies.overall.value / max(LEAST_SLOTS, pool.owned_total)


def is_hopeless(
    pool: upstream_pool.Pool, call: waiting.Call, ahead: int, now: ids.Instant
) -> bool:
    """
    Tell whether a call behind ``ahead`` others will miss its deadline.

    Refusing it at once leaves the caller time to try elsewhere, and no slot
    is spent on an answer that comes too late.
    """
    typical_s = pool.latencies.typical_s(call.latency_key)
    return call.deadline - now < expected_wait_s(pool, ahead) + typical_s


def is_given_up(
    pool: upstream_pool.Pool, call: waiting.Call, ahead: int, now: ids.Instant
) -> bool:
    """
    Tell whether a waiting call behind ``ahead`` others is refused now.

    Either it has waited as long as its caller's policy lets it
    (``wait_until``) or it can no longer make its deadline.
    """
    return now >= call.wait_until or is_hopeless(pool, call, ahead, now)


def retry_at(pool: upstream_pool.Pool, queued: int, now: ids.Instant) -> ids.Instant:
    """
    Return when a refused caller should try again.

    That is when the ``queued`` calls and one more will have been served.
    """
    wait_s = expected_wait_s(pool, queued + 1)
    return ids.later(now, max(LEAST_RETRY_AFTER_S, wait_s))


def displaced_by(queue: waiting.WaitQueue, call: waiting.Call) -> waiting.Call | None:
    """
    Return the waiting call that gives up its place in a full queue.

    It is the newest of the least urgent. None where nothing that waits is less
    urgent than ``call``, which is then refused itself.
    """
    candidate = queue.least_urgent()
    if candidate is None or candidate.priority <= call.priority:
        return None
    return candidate
