"""
The recommended policy: own slots first, then the cheapest of a few, in limits.

Work goes to the slots this entry owns (see ``ownership``), where its own
count is nearly exact without any measuring. When those are busy it compares
the own upstreams with a few others by believed cost. How much an entry may
have under way follows what answers say of queues at the upstreams; beyond it
calls wait in the entry, where the more urgent can still pass. While calls are
being refused for overload, the limit is the own slots: then no queue forms at
the upstreams, and urgent calls find a slot as soon as one is free.
"""

import itertools
from collections import abc

from spindlenotch import ids, selection
from spindlenotch.decisions import overload, queueing_cost
from spindlenotch.kernel import pool as pools, upstreams, waiting

#: Upstreams looked at besides the own ones. Few, and random, so that many
#: entries with the same stale belief do not all pick the same one.
SAMPLE = 8
#: Own upstreams with room that are compared, and own ones when all are busy.
#: Bounds the time of a decision where an entry owns slots in many.
OWN_SEEN = 4
OWN_SEEN_BUSY = 4
#: An own upstream this much slower than usual competes with the others.
SLOW_COST = 1.6
#: Calls under way per own slot: bounds, and steps per answer. The least is
#: above one so that a slot does not idle while its answer is on the way.
LEAST_FACTOR = 1.15
MOST_FACTOR = 8.0
FACTOR_GROWS = 0.01
FACTOR_SHRINKS = 0.99
#: Calls queued per slot of an upstream above which the factor shrinks.
QUEUE_TARGET = 3.0


@selection.POLICIES.register("owned")
class OwnedPolicy:
    """
    Chooses by ownership, then by expected cost, within a limit.

    Invariant: with own slots at hand, calls under way never exceed the own
    slots times the factor (at least one).
    """

    def __init__(self) -> None:
        self.factor = MOST_FACTOR

    def choose(
        self,
        pool: pools.Pool,
        call: waiting.Call,
        now: ids.Instant,
        exclude: selection.Exclusion,
    ) -> selection.Choice | None:
        """Take an own slot, the cheapest of a few, or let the call wait."""
        own = self._best_own(pool, now, exclude)
        if own is not None and own.cost <= SLOW_COST:
            return _choice(pool, own, selection.Rule.OWN_SLOT, (own,))
        overloaded = overload.is_overloaded(pool)
        factor = LEAST_FACTOR if overloaded else self.factor
        limit = max(1.0, pool.owned_total * factor)
        if pool.owned and pool.busy() >= limit:
            return None
        sampled = 0 if overloaded and pool.owned else SAMPLE
        options = self._options(pool, sampled, now, exclude)
        if not options:
            return None
        candidates = tuple(queueing_cost.appraise(pool, u, now) for u in options)
        best = min(candidates, key=_cost)
        return _choice(pool, best, selection.Rule.CHEAPEST, candidates)

    def reported(
        self, pool: pools.Pool, upstream: upstreams.Upstream, queued: int
    ) -> None:
        """Let the limit follow what an upstream says of its queue."""
        if queued > QUEUE_TARGET * upstream.slots:
            self.factor = max(LEAST_FACTOR, self.factor * FACTOR_SHRINKS)
        else:
            self.factor = min(MOST_FACTOR, self.factor + FACTOR_GROWS)

    def _best_own(
        self, pool: pools.Pool, now: ids.Instant, exclude: selection.Exclusion
    ) -> selection.Candidate | None:
        """Return the cheapest of a few own upstreams with room."""
        best: selection.Candidate | None = None
        seen = 0
        for upstream in _from_anywhere(pool):
            if not _has_room(upstream) or upstream.spec.id in exclude:
                continue
            if not upstream.may_take(now):
                continue
            candidate = queueing_cost.appraise(pool, upstream, now)
            if best is None or candidate.cost < best.cost:
                best = candidate
            seen += 1
            if seen == OWN_SEEN:
                break
        return best

    def _options(
        self,
        pool: pools.Pool,
        sampled: int,
        now: ids.Instant,
        exclude: selection.Exclusion,
    ) -> list[upstreams.Upstream]:
        options = selection.sample(pool, sampled, now, exclude)
        for upstream in itertools.islice(_from_anywhere(pool), OWN_SEEN_BUSY):
            if upstream in options or upstream.spec.id in exclude:
                continue
            if upstream.may_take(now):
                options.append(upstream)
        return options


def _from_anywhere(pool: pools.Pool) -> abc.Iterator[upstreams.Upstream]:
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
    trusted = max(1.0, upstream.owned_slots * upstream.trusted_share())
    return upstream.outstanding + 0.5 <= trusted


def _choice(
    pool: pools.Pool,
    best: selection.Candidate,
    rule: selection.Rule,
    candidates: tuple[selection.Candidate, ...],
) -> selection.Choice:
    return selection.Choice(pool.upstream_by_id[best.upstream], rule, candidates)
