"""
When an upstream may take a call, and when a refused caller may retry.

Performs no I/O and reads no clock. Free slots are not considered: calls wait for one.
What counts is whether an upstream is ejected, is cold, has asked for a backoff or
advertises a rate limit.
"""

from collections import abc

from spindlenotch import ids
from spindlenotch.decisions import queueing
from spindlenotch.kernel import upstream_pool, upstreams, wait_queue


def usable_at(
    pool: upstream_pool.Pool,
    excluded: abc.Container[ids.UpstreamId],
    call: wait_queue.Call | None,
    now: ids.Instant,
) -> ids.Instant:
    """
    Return from when an upstream may take ``call``, or any call if it is None.

    NEVER if none is known to become usable. ``excluded`` upstreams are left out.
    """
    found = ids.NEVER
    for upstream in pool.usable_order:
        if upstream.spec.id in excluded:
            continue
        upstream.tick(now)
        if upstream.state is upstreams.State.EJECTED:
            continue
        if not upstream.cold.may_ever_send(now):
            continue
        if call is None or pool.allows(call, upstream):
            found = min(found, upstream.free_at(now))
            if found <= now:
                break
    return found


def next_retry_at(
    pool: upstream_pool.Pool, free_at: ids.Instant, queued: int, now: ids.Instant
) -> ids.Instant:
    """
    Return when the caller of a call that no upstream took may retry.

    ``free_at`` is from when an upstream is usable, NEVER if that is not known.
    """
    if free_at == ids.NEVER:
        return pool.usable_again_at(now)
    return max(free_at, queueing.retry_at(pool, queued, now))
