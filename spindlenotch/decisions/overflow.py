"""
Cross-region overflow: when a call is sent to another region, and to which upstreams.

Handles a burst that fills the upstreams of one region while others have room. Of the
upstreams in other regions only the mean load of the region is known, seconds old, and
each byte sent there costs many times as much. Performs no I/O and reads no clock;
``least_latency`` applies the rules where the local region has no room.
"""

from spindlenotch import ids, selection
from spindlenotch.kernel import upstream_pool, upstreams, wait_queue

#: Most upstreams of other regions compared for a call that may go there: such calls
#: are few, and what is known of these upstreams is old.
MAX_COMPARED = 8
#: Share of its slots in use above which a region gets no more calls from others: the
#: rest is for its own bursts, and what is known of its load is seconds old.
MAX_USED_SHARE = 0.75
#: Least difference between the used shares of the local region and another for calls
#: that have room here to go there: regions that are alike would only swap calls.
MIN_USED_DIFFERENCE = 0.25
#: Latency in another region, as a multiple of the expected one: slowed upstreams are
#: known and avoided in the local region, but not in others.
REMOTE_LATENCY_FACTOR = 1.3
#: Cost of sending a call to another region, in seconds: the round trip between sites
#: some hundred kilometres apart, and that of a new connection.
CROSS_REGION_S = 0.03
#: Additional cost of each byte of a request and its answer, in seconds: eight times a
#: byte between zones (``job_factory.CROSS_ZONE_S_PER_BYTE``), as there are few links
#: between regions and all hosts share them.
CROSS_REGION_S_PER_BYTE = 2e-5
#: Share of the time that a call may wait after which it may leave its region, whatever
#: that costs.
MAX_WAIT_SHARE = 0.5


def may_leave_region(
    pool: upstream_pool.Pool,
    call: wait_queue.Call,
    now: ids.Instant,
    exclude: selection.Exclusion,
) -> bool:
    """
    Return whether a call that finds no room in its region may leave it.

    It may once it has waited as long as the cost of crossing, so that the total cost is
    at most twice that of the better choice. A further attempt doesn't wait, nor does a
    call whose region has no upstream that may take it.
    """
    if not pool.remote_order:
        return False
    if now >= call.cross_region_from or exclude:
        return True
    return not _any_local_may_take(pool, now)


def is_remote_faster(
    pool: upstream_pool.Pool, call: wait_queue.Call, local_cost_s: float
) -> bool:
    """
    Return whether another region may answer sooner than the best local upstream.

    ``local_cost_s`` is the cost of the local upstream in seconds. This happens where so
    few upstreams are left in the local region that all are slow, while another region
    is much less full.
    """
    if not pool.remote_order or not pool.used_by_remote_region:
        return False
    if (
        min(pool.used_by_remote_region.values())
        > pool.local_region_used - MIN_USED_DIFFERENCE
    ):
        return False
    typical_s = pool.latencies.typical_s(call.latency_key)
    return local_cost_s > REMOTE_LATENCY_FACTOR * typical_s + call.cross_region_s


def candidates(
    pool: upstream_pool.Pool,
    call: wait_queue.Call,
    local_cost_s: float | None,
    now: ids.Instant,
    exclude: selection.Exclusion,
) -> list[upstreams.Upstream]:
    """
    Return upstreams of other regions that are compared, in allowed regions only.

    ``local_cost_s`` is the cost in seconds of the best local upstream, None where none
    has room. The result is empty while the call should stay in its region. Otherwise it
    is sampled from the regions that report their load and have room; where no local
    upstream may take the call, from any region that does not report to be full.
    """
    if local_cost_s is None:
        leaves = may_leave_region(pool, call, now, exclude)
    else:
        leaves = is_remote_faster(pool, call, local_cost_s)
    if not leaves:
        return []
    used_by_region = pool.used_by_remote_region
    if not _any_local_may_take(pool, now):
        used_by_region = dict.fromkeys(pool.remote_regions(), 0.0) | used_by_region
    open_regions = {r for r, used in used_by_region.items() if used <= MAX_USED_SHARE}
    allowed = [
        u
        for u in pool.remote_order
        if pool.region_of(u) in open_regions and pool.allows(call, u)
    ]
    return selection.sample(allowed, MAX_COMPARED, pool.rng, now, exclude)


def cross_region_cost_s(size: float) -> float:
    """
    Return the cost in seconds of sending a call to another region.

    ``size`` is the number of bytes of its request and answer.
    """
    return CROSS_REGION_S + CROSS_REGION_S_PER_BYTE * size


def leave_region_at(
    arrived_at: ids.Instant, wait_until: ids.Instant, cross_region_cost_s: float
) -> ids.Instant:
    """
    Return from when a call may go to another region.

    That is once it has waited as long as the cost of crossing, and not later than half
    of the time that it may wait: a slow answer is better than a refusal.
    """
    return ids.later(
        arrived_at,
        min(cross_region_cost_s, MAX_WAIT_SHARE * (wait_until - arrived_at)),
    )


def used_share(pool: upstream_pool.Pool, now: ids.Instant) -> float:
    """
    Return the share of the local region's usable slots that are in use.

    Slots left empty because of contention don't count, nor do upstreams that are slowed
    or ejected; 1 if there are no others.
    """
    healthy = [u for u in pool.local_region_order if _is_healthy(u, now)]
    pool_contention = pool.contention
    usable = sum(
        pool_contention.usable(u.slots, sample=u.contention_sample) for u in healthy
    )
    if usable <= 0:
        return 1.0
    return sum(min(u.slots, pool.estimated_load(u, now)) for u in healthy) / usable


def _is_healthy(upstream: upstreams.Upstream, now: ids.Instant) -> bool:
    slowed = upstream.slowdown(now) > upstreams.SLOWED_FACTOR
    return upstream.state is upstreams.State.ACTIVE and not slowed


def _any_local_may_take(pool: upstream_pool.Pool, now: ids.Instant) -> bool:
    return any(upstream.may_take(now) for upstream in pool.local_region_order)
