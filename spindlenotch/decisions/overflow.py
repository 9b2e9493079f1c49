"""
When a call leaves its region for an upstream of another one, and for which.

Answers one load pattern: a burst fills the upstreams of one region while others have
room. Of far upstreams only the mean load of their region is known, seconds old, and
each byte there costs many times as much. Pure rules; ``soonest`` applies them where
the own region has no room.
"""

from spindlenotch import ids, selection
from spindlenotch.kernel import upstream_pool, upstreams, waiting

#: Upstreams of other regions that are compared for a call that may go there: such
#: calls are few, and what is known of far upstreams is old.
COMPARED = 8
#: Share of its slots in use above which a region gets no more calls of others: what
#: is left is for the bursts of its own, and what is known of it is seconds old.
MOST_USED = 0.75
#: How much less full than the own region another must be to take calls that have room
#: here, as a share: regions that are alike would only swap calls.
LESS_USED = 0.25
#: How many times as long as expected work is taken to last at a far upstream: at near
#: ones the slowed are known and passed over, at far ones they are not.
UNKNOWN_FACTOR = 1.3
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
    return not _any_near(pool, now)


def pays(pool: upstream_pool.Pool, call: waiting.Call, near_s: float) -> bool:
    """
    Tell whether the way may bring an answer sooner than the best near upstream.

    ``near_s`` is the expected time there. So few upstreams are left in the own region
    that all are slow, and another region is far less full.
    """
    if not pool.far_order or not pool.far_used_by_region:
        return False
    if min(pool.far_used_by_region.values()) > pool.near_used - LESS_USED:
        return False
    typical_s = pool.latencies.typical_s(call.latency_key)
    return near_s > UNKNOWN_FACTOR * typical_s + call.far_s


def candidates(
    pool: upstream_pool.Pool,
    call: waiting.Call,
    near_s: float | None,
    now: ids.Instant,
    exclude: selection.Exclusion,
) -> list[upstreams.Upstream]:
    """
    Return the upstreams of other regions that are compared, in allowed ones only.

    ``near_s`` is the expected time at the best of the own region, None where none has
    room. There are none while the call had better stay. Else those of regions that are
    heard of and have room; where the own region has none that may take the call, those
    of any region that doesn't say that it is full.
    """
    if near_s is None:
        leaves = may_leave_region(pool, call, now, exclude)
    else:
        leaves = pays(pool, call, near_s)
    if not leaves:
        return []
    used_by_region = pool.far_used_by_region
    if not _any_near(pool, now):
        used_by_region = dict.fromkeys(pool.far_regions(), 0.0) | used_by_region
    open_regions = {r for r, used in used_by_region.items() if used <= MOST_USED}
    allowed = [
        u
        for u in pool.far_order
        if pool.region_of(u) in open_regions and pool.allows(call, u)
    ]
    return selection.sample(allowed, COMPARED, pool.rng, now, exclude)


def way_s(size: float) -> float:
    """Return what the way costs a call whose request and answer have these bytes."""
    return WAY_S + WAY_S_PER_BYTE * size


def leave_region_at(
    arrived_at: ids.Instant, wait_until: ids.Instant, way_s: float
) -> ids.Instant:
    """
    Return from when a call may go far: once it has waited as long as the way costs.

    Not later than half of what it may wait: an answer from afar is better than a
    refusal.
    """
    return ids.later(
        arrived_at, min(way_s, MOST_WAIT_SHARE * (wait_until - arrived_at))
    )


def used_share(pool: upstream_pool.Pool, now: ids.Instant) -> float:
    """
    Return how full the own region is: the share in use of what its upstreams can run.

    Slots that stay empty because the service is crowded don't count, nor do upstreams
    that are slowed or ejected; 1 where there are no others.
    """
    sound = [u for u in pool.near_order if _is_sound(u, now)]
    crowded = pool.contention
    usable = sum(crowded.usable(u.slots, sample=u.contention_sample) for u in sound)
    if usable <= 0:
        return 1.0
    return sum(min(u.slots, pool.estimated_load(u, now)) for u in sound) / usable


def _is_sound(upstream: upstreams.Upstream, now: ids.Instant) -> bool:
    slowed = upstream.slowdown(now) > upstreams.SLOWED_FACTOR
    return upstream.state is upstreams.State.ACTIVE and not slowed


def _any_near(pool: upstream_pool.Pool, now: ids.Instant) -> bool:
    return any(upstream.may_take(now) for upstream in pool.near_order)
