"""
The policy for upstreams that tell how fast they work just now.

Neighbours can slow an upstream several times over for half a second. Where
upstreams say so, the expected end of a request at each of them is worked out
from that, their queue and their distance, and the soonest one is taken. An
upstream without room gets nothing: calls wait in the entry, by rank. They wait
as well while only slowed upstreams have room but others may get some: work that
has begun at a slowed one is late, and holds its slot for many times as long.
"""

from spindlenotch import ids, selection
from spindlenotch.decisions import silence
from spindlenotch.kernel import crowding, pool as pools, upstreams, waiting

NAME = "paced"
#: How far the estimate of an upstream's requests may lie above its slots for it
#: to have room: estimates of others' requests are fractions.
ROOM_MARGIN = 0.25
#: Above this share of its slots in use an upstream works slower; at all of
#: them, by this much.
NEARLY_FULL = 0.7
FULL_EXTRA = 0.7
#: How many times as long work takes in an upstream that has just started.
COLD_FACTOR = 2.0
#: Least and most that the ratio of observed to expected times counts.
MIN_LATENCY_RATIO = 0.7
#: With so many answers its own slowness counts as much as that of all.
ANSWERS_TRUSTED = 10.0
#: Costs this close to the least, as a share, are taken for equal.
NEAR = 0.08
#: Upstreams compared for one call; more than that are sampled.
MOST_COMPARED = 64


@selection.POLICIES.register(NAME)
class PacedPolicy:
    """
    Chooses the upstream with the soonest expected end.

    Invariant: an upstream that is believed to have no room is not chosen.
    """

    def choose(
        self,
        pool: pools.Pool,
        call: waiting.Call,
        now: ids.Instant,
        exclude: selection.Exclusion,
    ) -> selection.Choice | None:
        """Take the soonest, one of the nearly soonest at random."""
        if len(pool.usable_order) > MOST_COMPARED:
            options = selection.sample(pool, MOST_COMPARED, now, exclude)
        else:
            options = selection.eligible(pool, now, exclude)
        if now < call.wait_until:
            options = worth_waiting_for(options, now)
        typical_s = pool.latencies.typical_s(call.operation)
        cost_by_id: dict[ids.UpstreamId, float] = {}
        for upstream in options:
            running = pool.estimated_load(upstream, now)
            if has_room(upstream, running, pool.crowding):
                cost = expected_s(pool, call, upstream, running, typical_s, now)
                cost_by_id[upstream.spec.id] = cost
        if not cost_by_id:
            return None
        limit = min(cost_by_id.values()) * (1.0 + NEAR)
        near = [name for name, cost in cost_by_id.items() if cost <= limit]
        chosen = pool.upstream_by_id[pool.rng.choice(near)]
        candidate = selection.Candidate(
            chosen.spec.id,
            cost_by_id[chosen.spec.id],
            pool.estimated_load(chosen, now),
            now - chosen.report_at,
            0.0,
        )
        return selection.Choice(chosen, selection.Rule.SOONEST, (candidate,))

    def reported(
        self, pool: pools.Pool, upstream: upstreams.Upstream, queued: int
    ) -> None:
        """Take in what an upstream said of its queue."""


def worth_waiting_for(
    options: list[upstreams.Upstream], now: ids.Instant
) -> list[upstreams.Upstream]:
    """Return those that are not slowed, or all where all are."""
    sound = [one for one in options if one.slowdown(now) <= upstreams.SLOWED_FACTOR]
    return sound or options


def has_room(
    upstream: upstreams.Upstream, running: float, crowded: crowding.Crowding
) -> bool:
    """Tell whether one more request would start there at once, and is worth it."""
    return running + 1 <= crowded.usable(upstream.slots) + ROOM_MARGIN


def estimated_latency_ratio(pool: pools.Pool, upstream: upstreams.Upstream) -> float:
    """
    Return how slow it is, judged by few answers as all are together.

    One that has answered less than the others would otherwise be passed over
    for the mere reason that nothing is known of it.
    """
    trust = upstream.answers / (upstream.answers + ANSWERS_TRUSTED)
    usual = pool.latency_ratio.value
    return usual + trust * (upstream.latency_ratio.value - usual)


def expected_s(
    pool: pools.Pool,
    call: waiting.Call,
    upstream: upstreams.Upstream,
    running: float,
    typical_s: float,
    now: ids.Instant,
) -> float:
    """
    Estimate how long the call would take there, in seconds.

    ``typical_s`` is the usual time of its kind.
    """
    slots = upstream.slots
    work = typical_s * upstream.slowdown(now)
    work *= max(MIN_LATENCY_RATIO, estimated_latency_ratio(pool, upstream))
    if now < upstream.spec.cold_until:
        work *= COLD_FACTOR
    full = min(1.0, (running + 1) / slots)
    if full > NEARLY_FULL:
        work *= 1.0 + FULL_EXTRA * (full - NEARLY_FULL) / (1.0 - NEARLY_FULL)
    ahead = max(0.0, running + 1 - slots)
    work *= 1.0 + silence.overdue_cost(upstream, pool.latencies.overall.value, now)
    far = 0.0 if upstream.spec.zone == pool.local_member.zone else call.cross_zone_s
    return work * (1.0 + ahead / slots) + far
