"""
The recommended policy: own slots first, then a guarded spill, else wait.

Work goes to the slots this entry owns (see ``ownership``), where its own
count is nearly exact without any measuring. When those are busy it compares
two costs in the same unit: waiting in the entry's queue for an own slot, and
sending the call to another upstream that is believed to have room. It never
spills to one that is probably full, so under overload calls wait in the
entry, where the more urgent can still pass.
"""

from spindlenotch import ids, pool as pools, selection, upstreams, waiting

#: Foreign upstreams looked at for one spill. Few, and random, so that many
#: entries with the same stale belief do not all pick the same one.
SPILL_SAMPLE = 3
#: Spill only where all slots are less likely than this to be taken.
SPILL_FULL_CHANCE = 0.5
#: An own upstream this much slower than usual competes with the others.
SLOW_COST = 1.6


@selection.POLICIES.register("owned")
class OwnedPolicy:
    """Chooses by ownership, then by expected cost."""

    def choose(
        self,
        pool: pools.Pool,
        call: waiting.Call,
        ahead: int,
        now: ids.Instant,
        exclude: selection.Exclusion,
    ) -> selection.Choice | None:
        """Take an own slot, spill, or let the call wait."""
        own, own_cost = self._best_own(pool, now, exclude)
        if own is not None and own_cost <= SLOW_COST:
            return _choice(pool, own, selection.Rule.OWN_SLOT, [own], now)
        others = selection.sample(pool, SPILL_SAMPLE, now, exclude)
        spill = self._best_spill(pool, others, now)
        # Without a free own slot the rival is the wait for one.
        rival = 1 + self._wait_cost(pool, ahead) if own is None else own_cost
        if spill is not None and pool.cost(spill, now) < rival:
            return _choice(pool, spill, selection.Rule.SPILL, others, now)
        if own is not None:
            return _choice(pool, own, selection.Rule.OWN_SLOT, [own], now)
        if not pool.owned and others:
            best = min(others, key=lambda u: pool.cost(u, now))
            return _choice(pool, best, selection.Rule.LAST_RESORT, others, now)
        return None

    def _best_own(
        self, pool: pools.Pool, now: ids.Instant, exclude: selection.Exclusion
    ) -> tuple[upstreams.Upstream | None, float]:
        best = None
        best_cost = float("inf")
        for upstream in pool.owned:
            if not _has_room(upstream) or upstream.spec.id in exclude:
                continue
            if not upstream.may_take(now):
                continue
            cost = pool.cost(upstream, now)
            if cost < best_cost:
                best, best_cost = upstream, cost
        return best, best_cost

    def _best_spill(
        self, pool: pools.Pool, others: list[upstreams.Upstream], now: ids.Instant
    ) -> upstreams.Upstream | None:
        roomy = [u for u in others if pool.full_chance(u, now) < SPILL_FULL_CHANCE]
        return min(roomy, key=lambda u: pool.cost(u, now), default=None)

    def _wait_cost(self, pool: pools.Pool, ahead: int) -> float:
        own_slots = sum(u.owned_slots for u in pool.owned)
        return (ahead + 1) / max(own_slots, 0.5)


def _has_room(upstream: upstreams.Upstream) -> bool:
    trusted = max(1.0, upstream.owned_slots * upstream.warmth())
    return upstream.outstanding + 0.5 <= trusted


def _choice(
    pool: pools.Pool,
    chosen: upstreams.Upstream,
    rule: selection.Rule,
    considered: list[upstreams.Upstream],
    now: ids.Instant,
) -> selection.Choice:
    candidates = tuple(selection.describe(pool, u, now) for u in considered)
    return selection.Choice(chosen, rule, candidates)
