"""
The policy for bundles: own slots first, then the cheapest of a few, in limits.

Calls go to the slots this entry owns (see ``ownership``), where its own count is
nearly exact without any measuring. When those are busy it compares the own
upstreams with a few others by estimated cost (``queueing_cost``). The limit of
calls in flight follows the queues that upstreams report; beyond it calls wait in
the entry, where the more urgent can still pass. Under overload the limit is the
own slots: no queue forms at the upstreams, and urgent calls find a free slot.
"""

import itertools
from collections import abc

from spindlenotch import ids, selection
from spindlenotch.decisions import overload, queueing_cost
from spindlenotch.kernel import upstream_pool, upstreams, waiting

#: Upstreams compared besides the own ones. Few, and random, so that many entries with
#: the same stale estimate do not all pick the same one.
SAMPLE = 8
#: Own upstreams with room that are compared, and own ones when all are busy.
#: Bounds the time of a decision where an entry owns slots in many.
OWN_COMPARED = 4
OWN_COMPARED_BUSY = 4
#: Cost (a multiple of the typical latency) from which an own upstream competes
#: with the others.
SLOW_COST = 1.6
#: Least calls in flight per own slot. Above one, so that a slot does not idle while its
#: answer is on its way.
LEAST_FACTOR = 1.15
#: Most calls in flight per own slot.
MOST_FACTOR = 8.0
#: Added to the factor with each report of a short queue.
FACTOR_STEP = 0.01
#: The factor is multiplied by this with each report of a long queue.
FACTOR_DECAY = 0.99
#: Calls queued per slot of an upstream above which the factor shrinks.
QUEUE_TARGET = 3.0
#: Least that has to be free of an own slot, which may be a fraction of one, for it to
#: count as free.
FREE_SLOT_SHARE = 0.5


@selection.POLICIES.register("owned")
class OwnedSlotsPolicy:
    """
    Chooses by ownership, then by expected cost, within a limit.

    Invariant: with own slots at hand, calls in flight never exceed the own
    slots times the factor (at least one).
    """

    def __init__(self) -> None:
        self.factor = MOST_FACTOR

    def choose(
        self,
        pool: upstream_pool.Pool,
        call: waiting.Call,
        now: ids.Instant,
        exclude: selection.Exclusion,
    ) -> selection.Choice | None:
        """Take an own slot, the cheapest of a few, or let the call wait."""
        own = self._best_own(pool, now, exclude)
        if own is not None and own.cost <= SLOW_COST:
            return _choice(pool, own, selection.Rule.OWN_SLOT, (own,))
        overloaded = overload.is_overloaded(pool)
        if pool.owned and pool.busy() >= self._limit(pool, overloaded):
            return None
        sampled = 0 if overloaded and pool.owned else SAMPLE
        options = self._options(pool, sampled, now, exclude)
        if not options:
            return None
        candidates = tuple(queueing_cost.appraise(pool, u, now) for u in options)
        best = min(candidates, key=_cost)
        return _choice(pool, best, selection.Rule.CHEAPEST, candidates)

    def reported(
        self, pool: upstream_pool.Pool, upstream: upstreams.Upstream, queued: int
    ) -> None:
        """Let the limit follow the queue that an upstream reports."""
        if queued > QUEUE_TARGET * upstream.slots:
            self.factor = max(LEAST_FACTOR, self.factor * FACTOR_DECAY)
        else:
            self.factor = min(MOST_FACTOR, self.factor + FACTOR_STEP)

    def _limit(self, pool: upstream_pool.Pool, overloaded: bool) -> float:
        """Return how many calls may be in flight at once."""
        factor = LEAST_FACTOR if overloaded else self.factor
        return max(1.0, pool.owned_total * factor)

    def _best_own(
        self, pool: upstream_pool.Pool, now: ids.Instant, exclude: selection.Exclusion
    ) -> selection.Candidate | None:
        """Return the cheapest of a few own upstreams with room."""
        best: selection.Candidate | None = None
        compared = 0
        for upstream in _own_from_random(pool):
            if not _has_room(upstream) or upstream.spec.id in exclude:
                continue
            if not upstream.may_take(now):
                continue
            candidate = queueing_cost.appraise(pool, upstream, now)
            if best is None or candidate.cost < best.cost:
                best = candidate
            compared += 1
            if compared == OWN_COMPARED:
                break
        return best

    def _options(
        self,
        pool: upstream_pool.Pool,
        sampled: int,
        now: ids.Instant,
        exclude: selection.Exclusion,
    ) -> list[upstreams.Upstream]:
        options = selection.sample(pool.usable_order, sampled, pool.rng, now, exclude)
        for upstream in itertools.islice(_own_from_random(pool), OWN_COMPARED_BUSY):
            if upstream in options or upstream.spec.id in exclude:
                continue
            if upstream.may_take(now):
                options.append(upstream)
        return options


def _own_from_random(pool: upstream_pool.Pool) -> abc.Iterator[upstreams.Upstream]:
    """Go through the own upstreams once, from a random one on."""
    own = pool.owned
    if not own:
        return
    start = int(pool.rng.random() * len(own))
    yield from itertools.islice(own, start, None)
    yield from itertools.islice(own, start)


def _cost(candidate: selection.Candidate) -> float:
    return candidate.cost


def _has_room(upstream: upstreams.Upstream) -> bool:
    trusted = max(1.0, upstream.owned_slots * upstream.slow_start_share())
    return upstream.outstanding + FREE_SLOT_SHARE <= trusted


def _choice(
    pool: upstream_pool.Pool,
    best: selection.Candidate,
    rule: selection.Rule,
    candidates: tuple[selection.Candidate, ...],
) -> selection.Choice:
    return selection.Choice(pool.upstream_by_id[best.upstream], rule, candidates)
