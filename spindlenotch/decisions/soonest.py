"""
The policy for upstreams that report slowdowns: the soonest expected end.

Other load on its host can slow an upstream several times over for half a second.
The expected latency at each upstream is estimated from its reported slowdown,
load and zone, and the least is taken. An upstream without room gets nothing:
calls wait here, by priority. They also wait while only slowed upstreams have
room: work at a slowed one is late and holds its slot for many times as long.
"""

from spindlenotch import ids, selection
from spindlenotch.decisions import overflow, silence
from spindlenotch.kernel import contention, upstream_pool, upstreams, waiting

NAME = "paced"
#: How far the estimated load may lie above the slots for an upstream to have
#: room: estimates of other processes' requests are fractions.
ROOM_MARGIN = 0.25
#: Share of its slots in use from which an upstream is expected to be slower, rising to
#: ``FULL_SLOWDOWN`` when all are in use. It weighs upstreams against each other;
#: ``contention.NEARLY_FULL`` is where slots stop being used.
SLOWER_FROM_SHARE = 0.7
#: How much longer work takes when all slots are in use, as a share.
FULL_SLOWDOWN = 0.7
#: How many times its typical time work takes in an upstream that is warming up.
COLD_FACTOR = 2.0
#: Least latency ratio that counts.
MIN_LATENCY_RATIO = 0.7
#: Answers with which an upstream's own latency ratio counts as much as that of all.
ANSWERS_TRUSTED = 10.0
#: What a failure costs a call that may run again, in units of its work: the time
#: until it is known, and a further try. Not more, or none of them tries a failing
#: upstream, and those that may not be repeated find out that it fails.
REPEATABLE_COST = 0.7
#: And one that may not: it is lost.
UNREPEATABLE_COST = 15.0
#: Costs within this share of the least are taken for equal.
NEAR_SHARE = 0.08
#: Upstreams compared for one call. Of more than that samples are drawn, from the
#: own zone and from all: a call must not cost more where there are more upstreams.
MOST_COMPARED = 40
#: How many of them are drawn from the own zone.
LOCAL_COMPARED = 24


@selection.POLICIES.register(NAME)
class SoonestPolicy:
    """
    Chooses the upstream with the soonest expected end.

    Invariant: an upstream that is estimated to have no room is not chosen.
    """

    def choose(
        self,
        pool: upstream_pool.Pool,
        call: waiting.Call,
        now: ids.Instant,
        exclude: selection.Exclusion,
    ) -> selection.Choice | None:
        """
        Take one of the nearly soonest at random, so that not all take the same.

        One of the own zone where there is any: elsewhere the call would be as soon
        at its end, and its bytes cross between zones.
        """
        cost_by_id = _costs(pool, call, _options(pool, call, now, exclude), now)
        if pool.far_order:
            near_s = min(cost_by_id.values(), default=None)
            far = overflow.candidates(pool, call, near_s, now, exclude)
            cost_by_id |= _costs(pool, call, without_slowed(far, now), now)
        if not cost_by_id:
            return None
        limit = min(cost_by_id.values()) * (1.0 + NEAR_SHARE)
        near = [name for name, cost in cost_by_id.items() if cost <= limit]
        zone = pool.local_member.zone
        local = [name for name in near if pool.upstream_by_id[name].spec.zone == zone]
        chosen = pool.upstream_by_id[pool.rng.choice(local or near)]
        candidate = selection.Candidate(
            upstream=chosen.spec.id,
            cost=cost_by_id[chosen.spec.id],
            load=pool.estimated_load(chosen, now),
            report_age_s=now - chosen.report_at,
            # This policy does not divide slots among processes.
            owned_slots=0.0,
        )
        return selection.Choice(chosen, selection.Rule.SOONEST, (candidate,))

    def reported(
        self, pool: upstream_pool.Pool, upstream: upstreams.Upstream, queued: int
    ) -> None:
        """Ignore the queue: no upstream gets more than its slots."""


def _options(
    pool: upstream_pool.Pool,
    call: waiting.Call,
    now: ids.Instant,
    exclude: selection.Exclusion,
) -> list[upstreams.Upstream]:
    """Return the upstreams of the own region that are compared."""
    if len(pool.near_order) > MOST_COMPARED:
        options = _sample(pool, now, exclude)
    else:
        options = selection.eligible_among(pool.near_order, now, exclude)
    # A further try takes a slowed one rather than none once the wait is over.
    if exclude and now >= call.wait_until:
        return options
    return without_slowed(options, now)


def _sample(
    pool: upstream_pool.Pool, now: ids.Instant, exclude: selection.Exclusion
) -> list[upstreams.Upstream]:
    """Return some upstreams of the own zone, and some of the own region."""
    rng = pool.rng
    local = selection.sample(pool.local_order, LOCAL_COMPARED, rng, now, exclude)
    count = MOST_COMPARED - len(local)
    anywhere = selection.sample(pool.near_order, count, rng, now, exclude)
    sampled_by_id = {u.spec.id: u for u in (*local, *anywhere)}
    return list(sampled_by_id.values())


def _costs(
    pool: upstream_pool.Pool,
    call: waiting.Call,
    options: list[upstreams.Upstream],
    now: ids.Instant,
) -> dict[ids.UpstreamId, float]:
    """Return the expected time in seconds at each upstream that has room."""
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
    Return those that are not slowed, or all where all are.

    While one of the others may get room a call had better wait for it, and at the end
    of its wait be refused: of a saturated service a quarter of the first tries would
    go to slowed ones.
    """
    others = [u for u in options if u.slowdown(now) <= upstreams.SLOWED_FACTOR]
    return others or options


def has_room(
    upstream: upstreams.Upstream, load: float, crowded: contention.Contention
) -> bool:
    """Tell whether one more request would start there at once and slow no other."""
    usable = crowded.usable(upstream.slots, sample=upstream.contention_sample)
    return load + 1 <= usable + ROOM_MARGIN


def estimated_latency_ratio(
    pool: upstream_pool.Pool, upstream: upstreams.Upstream
) -> float:
    """
    Return its latency ratio; with few answers mostly that of all upstreams.

    One that has answered less than the others would otherwise be passed over
    for the mere reason that nothing is known of it.
    """
    trust = upstream.answers / (upstream.answers + ANSWERS_TRUSTED)
    overall = pool.latency_ratio.value
    return overall + trust * (upstream.latency_ratio.value - overall)


def failure_cost(
    pool: upstream_pool.Pool,
    call: waiting.Call,
    upstream: upstreams.Upstream,
    now: ids.Instant,
) -> float:
    """
    Return what failures there are expected to cost the call, in units of its work.

    Only what the upstream fails beyond the mean of all counts: where all fail
    alike, the cause is the requests or what the upstreams share.
    """
    beyond = upstream.failure_share.value(now) - pool.failed_share.value
    if beyond <= 0.0:
        return 0.0
    return beyond * (REPEATABLE_COST if call.repeatable else UNREPEATABLE_COST)


def expected_s(
    pool: upstream_pool.Pool,
    call: waiting.Call,
    upstream: upstreams.Upstream,
    load: float,
    typical_s: float,
    now: ids.Instant,
) -> float:
    """
    Estimate how long the call would take there, in seconds.

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
    if pool.far_order and pool.is_far(upstream):
        return overflow.UNKNOWN_FACTOR * work_s + call.far_s
    return work_s + call.cross_zone_s
