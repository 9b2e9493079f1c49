"""
The least expected latency policy, for upstreams that report slowdowns.

Other load on its host can slow an upstream several times over for half a second.
The expected latency at each upstream is estimated from its reported slowdown,
load and zone, and the lowest is taken. An upstream without room gets nothing:
calls wait here, by priority. They also wait while only slowed upstreams have
room: a slowed upstream answers late and holds the slot for many times as long.
"""

from spindlenotch import ids, selection
from spindlenotch.decisions import overflow, silence
from spindlenotch.kernel import contention, upstream_pool, upstreams, wait_queue

NAME = "paced"
#: Requests by which the estimated load may exceed the slots of an upstream that still
#: has room: estimates of other processes' requests are fractions.
ROOM_MARGIN = 0.25
#: Share of its slots in use from which an upstream is expected to be slower, rising to
#: ``FULL_SLOWDOWN`` when all are in use. Only used to compare upstreams; the share
#: above which slots are left empty is ``contention.NEARLY_FULL``.
SLOWER_FROM_SHARE = 0.7
#: Increase in latency when all slots are in use, as a share.
FULL_SLOWDOWN = 0.7
#: Latency at an upstream that is warming up, as a multiple of the typical one.
COLD_FACTOR = 2.0
#: Lower bound of the latency ratio in the estimate.
MIN_LATENCY_RATIO = 0.7
#: Answers at which an upstream's own latency ratio weighs as much as the mean of all.
ANSWERS_TRUSTED = 10.0
#: Cost of a failure for a repeatable call, as a multiple of its expected latency: the
#: time until the failure is known, and another attempt. With a higher cost no
#: repeatable call would be sent to a failing upstream, and calls that may not be
#: repeated would be the ones to detect that it fails.
REPEATABLE_COST = 0.7
#: The same for a call that may not be repeated, and is lost.
UNREPEATABLE_COST = 15.0
#: Costs within this share of the lowest are treated as equal.
EQUAL_COST_SHARE = 0.08
#: Most upstreams compared for one call. From a larger pool samples are drawn, from the
#: local zone and from the whole region: the time to decide on a call must not grow with
#: the pool.
MAX_COMPARED = 40
#: How many of them are drawn from the local zone.
MAX_LOCAL_ZONE_COMPARED = 24


@selection.POLICIES.register(NAME)
class LeastLatencyPolicy:
    """
    Chooses the upstream with the least expected latency.

    Invariant: an upstream that is estimated to have no room is not chosen.
    """

    def choose(
        self,
        pool: upstream_pool.Pool,
        call: wait_queue.Call,
        now: ids.Instant,
        exclude: selection.Exclusion,
    ) -> selection.Choice | None:
        """
        Choose at random among upstreams whose cost is close to the lowest.

        Random, so that processes do not all choose the same one. Upstreams of the
        local zone are preferred: the others are no faster, and using them sends
        bytes between zones.
        """
        cost_by_id = _costs(pool, call, _options(pool, call, now, exclude), now)
        if pool.remote_order:
            local_cost_s = min(cost_by_id.values(), default=None)
            remote = overflow.candidates(pool, call, local_cost_s, now, exclude)
            cost_by_id |= _costs(pool, call, without_slowed(remote, now), now)
        if not cost_by_id:
            return None
        limit = min(cost_by_id.values()) * (1.0 + EQUAL_COST_SHARE)
        cheapest = [name for name, cost in cost_by_id.items() if cost <= limit]
        zone = pool.local_member.zone
        local = [
            name for name in cheapest if pool.upstream_by_id[name].spec.zone == zone
        ]
        chosen = pool.upstream_by_id[pool.rng.choice(local or cheapest)]
        candidate = selection.Candidate(
            upstream=chosen.spec.id,
            cost=cost_by_id[chosen.spec.id],
            load=pool.estimated_load(chosen, now),
            report_age_s=now - chosen.report_at,
            # This policy does not divide slots among processes.
            owned_slots=0.0,
        )
        return selection.Choice(chosen, selection.Rule.LEAST_LATENCY, (candidate,))

    def reported(
        self, pool: upstream_pool.Pool, upstream: upstreams.Upstream, queued: int
    ) -> None:
        """Ignore the reported queue: no upstream gets more than its slots."""


def _options(
    pool: upstream_pool.Pool,
    call: wait_queue.Call,
    now: ids.Instant,
    exclude: selection.Exclusion,
) -> list[upstreams.Upstream]:
    """Return the upstreams of the local region that are compared."""
    if len(pool.local_region_order) > MAX_COMPARED:
        options = _sample(pool, now, exclude)
    else:
        options = selection.eligible_among(pool.local_region_order, now, exclude)
    # After its wait is over, a further attempt takes a slowed upstream rather than
    # none.
    if exclude and now >= call.wait_until:
        return options
    return without_slowed(options, now)


def _sample(
    pool: upstream_pool.Pool, now: ids.Instant, exclude: selection.Exclusion
) -> list[upstreams.Upstream]:
    """Return random upstreams of the local zone, and of the whole local region."""
    rng = pool.rng
    local = selection.sample(
        pool.local_zone_order, MAX_LOCAL_ZONE_COMPARED, rng, now, exclude
    )
    count = MAX_COMPARED - len(local)
    anywhere = selection.sample(pool.local_region_order, count, rng, now, exclude)
    sampled_by_id = {u.spec.id: u for u in (*local, *anywhere)}
    return list(sampled_by_id.values())


def _costs(
    pool: upstream_pool.Pool,
    call: wait_queue.Call,
    options: list[upstreams.Upstream],
    now: ids.Instant,
) -> dict[ids.UpstreamId, float]:
    """Return the cost in seconds by upstream, for those that have room."""
    typical_s = pool.latencies.typical_s(call.latency_key)
    cost_by_id: dict[ids.UpstreamId, float] = {}
    for upstream in options:
        load = pool.estimated_load(upstream, now)
        if has_room(upstream, load, pool.contention):
            cost = expected_s(pool, call, upstream, load, typical_s, now)
            cost_by_id[upstream.spec.id] = cost
    return cost_by_id


def without_slowed(
    options: list[upstreams.Upstream], now: ids.Instant
) -> list[upstreams.Upstream]:
    """
    Return the upstreams that are not slowed, or all if all are slowed.

    While one that is not slowed may get room, a call waits for it, and is refused at
    the end of its wait: otherwise a quarter of the first attempts of a saturated
    service would go to slowed upstreams.
    """
    others = [u for u in options if u.slowdown(now) <= upstreams.SLOWED_FACTOR]
    return others or options


def has_room(
    upstream: upstreams.Upstream, load: float, pool_contention: contention.Contention
) -> bool:
    """Return whether one more request would start at once without slowing others."""
    usable = pool_contention.usable(upstream.slots, sample=upstream.contention_sample)
    return load + 1 <= usable + ROOM_MARGIN


def estimated_latency_ratio(
    pool: upstream_pool.Pool, upstream: upstreams.Upstream
) -> float:
    """
    Return an upstream's latency ratio, shrunk towards the mean of all upstreams.

    The fewer answers it has given, the more the mean counts. Otherwise an upstream
    would be avoided only because little is known of it.
    """
    trust = upstream.answers / (upstream.answers + ANSWERS_TRUSTED)
    overall = pool.latency_ratio.value
    return overall + trust * (upstream.latency_ratio.value - overall)


def failure_cost(
    pool: upstream_pool.Pool,
    call: wait_queue.Call,
    upstream: upstreams.Upstream,
    now: ids.Instant,
) -> float:
    """
    Return the expected cost of failures, as a multiple of the call's latency.

    Only the failure share above the mean of all upstreams counts: where all fail
    alike, the cause is the requests or something that the upstreams share.
    """
    beyond = upstream.failure_share.value(now) - pool.failed_share.value
    if beyond <= 0.0:
        return 0.0
    return beyond * (REPEATABLE_COST if call.repeatable else UNREPEATABLE_COST)


def expected_s(
    pool: upstream_pool.Pool,
    call: wait_queue.Call,
    upstream: upstreams.Upstream,
    load: float,
    typical_s: float,
    now: ids.Instant,
) -> float:
    """
    Estimate the cost of sending the call to ``upstream``, in seconds.

    It is the expected latency plus costs for failures, silence and distance.

    ``load`` is the estimated number of requests in the upstream, ``typical_s``
    the typical latency of this kind of call in seconds.
    """
    slots = upstream.slots
    work_s = typical_s * upstream.slowdown(now)
    work_s *= max(MIN_LATENCY_RATIO, estimated_latency_ratio(pool, upstream))
    if upstream.cold.is_cold(now):
        work_s *= COLD_FACTOR
    in_use = min(1.0, (load + 1) / slots)
    if in_use > SLOWER_FROM_SHARE:
        excess = FULL_SLOWDOWN * (in_use - SLOWER_FROM_SHARE)
        work_s *= 1.0 + excess / (1.0 - SLOWER_FROM_SHARE)
    ahead = max(0.0, load + 1 - slots)
    work_s *= 1.0 + failure_cost(pool, call, upstream, now)
    work_s *= 1.0 + silence.overdue_cost(upstream, pool.latencies.overall.value, now)
    work_s *= 1.0 + ahead / slots
    if upstream.spec.zone == pool.local_member.zone:
        return work_s
    if pool.remote_order and pool.is_remote(upstream):
        return overflow.REMOTE_LATENCY_FACTOR * work_s + call.cross_region_s
    return work_s + call.cross_zone_s
