"""
When a call leaves its region for an upstream of another one, and for which.

Answers one load pattern: a burst fills the upstreams of one region while others have
room. Little is known of far upstreams, as load reports do not cross regions, and each
byte there costs many times as much. Pure rules; ``soonest`` applies them where the own
region has no room.
"""

from spindlenotch import ids, selection
from spindlenotch.kernel import upstream_pool, upstreams, waiting

#: Upstreams of other regions that are compared for a call that may go there: such
#: calls are few, and what is known of far upstreams is old.
COMPARED = 8
#: Share of its slots that a far upstream must have to spare: the last ones belong to
#: calls of its own region, and what is known of its load may be seconds old.
SPARE_SHARE = 0.25
#: What the way to another region and back costs a call, in seconds: the round trip
#: between places some hundred kilometres apart, and that of a new connection.
WAY_S = 0.03
#: What each byte of a request and its answer costs beside that, in seconds: eight
#: times a byte between zones (``job_factory.CROSS_ZONE_S_PER_BYTE``), as the lines
#: between regions are few, and all hosts share them.
WAY_S_PER_BYTE = 2e-5
#: Share of the time that a call may wait after which it leaves whatever it costs.
MOST_WAIT_SHARE = 0.5


def may_leave_region(
    pool: upstream_pool.Pool,
    call: waiting.Call,
    now: ids.Instant,
    exclude: selection.Exclusion,
) -> bool:
    """
    Tell whether a call that finds no room in its region may leave it.

    Once it has waited as long as the way costs: so it costs at most twice what the
    better of the two would have. A further try doesn't wait, nor does a call whose
    region has no upstream that may take it.
    """
    if not pool.far_order:
        return False
    if now >= call.far_from or exclude:
        return True
    return not any(u.may_take(now) for u in pool.near_order)


def candidates(
    pool: upstream_pool.Pool,
    call: waiting.Call,
    now: ids.Instant,
    exclude: selection.Exclusion,
) -> list[upstreams.Upstream]:
    """Return the upstreams of other regions that are compared, in allowed ones only."""
    allowed = [u for u in pool.far_order if pool.allows(call, u)]
    return selection.sample(allowed, COMPARED, pool.rng, now, exclude)


def slots_to_spare(pool: upstream_pool.Pool, upstream: upstreams.Upstream) -> float:
    """Return how many slots must stay free there beside that of the call."""
    return SPARE_SHARE * upstream.slots if pool.is_far(upstream) else 0.0


def leave_region_at(
    arrived_at: ids.Instant, wait_until: ids.Instant, size: float
) -> ids.Instant:
    """
    Return from when a call may go far: once it has waited as long as the way costs.

    ``size`` are the bytes of its request and expected answer. Not later than half of
    what it may wait: an answer from afar is better than a refusal.
    """
    way_s = WAY_S + WAY_S_PER_BYTE * size
    return ids.later(
        arrived_at, min(way_s, MOST_WAIT_SHARE * (wait_until - arrived_at))
    )
