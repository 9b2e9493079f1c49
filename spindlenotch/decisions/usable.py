"""
From when on an upstream may take a call, and when a refused caller may come back.

Rules on the pool and the instant. Whether an upstream has a free slot does not count
here: calls wait for one. What counts is whether it is ejected, cold, rests, or names a
limit.
"""

from collections import abc

from spindlenotch import ids
from spindlenotch.decisions import queueing
from spindlenotch.kernel import upstream_pool, upstreams, wait_queue


def usable_at(
    pool: upstream_pool.Pool,
    barred: abc.Container[ids.UpstreamId],
    call: wait_queue.Call | None,
    now: ids.Instant,
) -> ids.Instant:
    """
    Return from when an upstream may take a call where it may run, or any call.

    NEVER where none may, as far as that is known. ``barred`` upstreams take none.
    """
    found = ids.NEVER
    for upstream in pool.usable_order:
        if upstream.spec.id in barred:
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


def room_at(
    pool: upstream_pool.Pool, free_at: ids.Instant, queued: int, now: ids.Instant
) -> ids.Instant:
    """
    Return when a caller may come back whose call no upstream took.

    ``free_at`` is from when one is usable, NEVER: that is not known.
    """
    if free_at == ids.NEVER:
        return pool.usable_again_at(now)
    return max(free_at, queueing.retry_at(pool, queued, now))
