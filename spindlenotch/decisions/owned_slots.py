"""
The owned-slots policy, for services of bundles.

Calls go to the slots that this entry owns (see ``ownership``), where its own count of
calls is nearly exact without any measuring. When those are busy, the upstreams with
owned slots are compared with a few others by estimated cost (``queueing_cost``). The
limit of calls in flight adapts to the queues that upstreams report; beyond it calls
wait in the entry, where more urgent ones can still overtake them. Under overload the
limit falls to about the number of owned slots: no queue forms at the upstreams, and
urgent calls find a free slot.
"""

import itertools
from collections import abc

from spindlenotch import ids, selection
from spindlenotch.decisions import overload, queueing_cost
from spindlenotch.kernel import upstream_pool, upstreams, wait_queue

#: Upstreams compared besides the owned ones. Few and random, so that many entries with
#: the same stale estimate do not all choose the same one.
SAMPLE_SIZE = 8
#: Owned upstreams with room that are compared, and owned ones when all are busy.
#: Bounds the time of a decision where an entry owns slots in many upstreams.
MAX_OWN_COMPARED = 4
MAX_OWN_COMPARED_BUSY = 4
#: Cost (a multiple of the typical latency) above which an owned upstream is compared
#: with others.
SLOW_COST = 1.6
#: Lower bound of the factor: the limit of calls in flight per owned slot. Above one, so
#: that a slot is not idle while its answer is in transit.
MIN_FACTOR = 1.15
#: Upper bound of the factor, in calls per owned slot.
MAX_FACTOR = 8.0
#: Increase of the factor with each report of a short queue.
FACTOR_STEP = 0.01
#: Multiplies the factor with each report of a long queue.
FACTOR_DECAY = 0.99
#: Queued calls per slot of an upstream above which the factor decreases.
QUEUE_TARGET = 3.0
#: Part of a slot that must be free for a call to fit: owned slots may be fractions.
FREE_SLOT_SHARE = 0.5


@selection.POLICIES.register("owned")
class OwnedSlotsPolicy:
    """
    Chooses by ownership, then by expected cost, within a limit.

    Invariant: if this entry owns slots, calls are sent beyond them only while fewer
    are in flight than the owned slots times the factor (at least one).
    """

    def __init__(self) -> None:
        self.factor = MAX_FACTOR

    def choose(
        self,
        pool: upstream_pool.Pool,
        call: wait_queue.Call,
        now: ids.Instant,
        exclude: selection.Exclusion,
    ) -> selection.Choice | None:
        """Choose an owned slot, else the cheapest of a few, or let the call wait."""
        own = self._best_own(pool, now, exclude)
        if own is not None and own.cost <= SLOW_COST:
            return _choice(pool, own, selection.Rule.OWN_SLOT, (own,))
        overloaded = overload.is_overloaded(pool)
        if pool.owned and pool.busy() >= self._limit(pool, overloaded):
            return None
        sampled = 0 if overloaded and pool.owned else SAMPLE_SIZE
        options = self._options(pool, sampled, now, exclude)
        if not options:
            return None
        candidates = tuple(
            queueing_cost.estimate_candidate(pool, u, now) for u in options
        )
        best = min(candidates, key=_cost)
        return _choice(pool, best, selection.Rule.CHEAPEST, candidates)

    def reported(
        self, pool: upstream_pool.Pool, upstream: upstreams.Upstream, queued: int
    ) -> None:
        """Adapt the limit to the queue length that an upstream reports."""
        if queued > QUEUE_TARGET * upstream.slots:
            self.factor = max(MIN_FACTOR, self.factor * FACTOR_DECAY)
        else:
            self.factor = min(MAX_FACTOR, self.factor + FACTOR_STEP)

    def _limit(self, pool: upstream_pool.Pool, overloaded: bool) -> float:
        """Return the limit of calls in flight."""
        factor = MIN_FACTOR if overloaded else self.factor
        return max(1.0, pool.owned_total * factor)

    def _best_own(
        self, pool: upstream_pool.Pool, now: ids.Instant, exclude: selection.Exclusion
    ) -> selection.Candidate | None:
        """Return the cheapest of a few owned upstreams with room."""
        best: selection.Candidate | None = None
        compared = 0
        for upstream in _own_rotated(pool):
            if not _has_room(upstream) or upstream.spec.id in exclude:
                continue
            if not upstream.may_take(now):
                continue
            candidate = queueing_cost.estimate_candidate(pool, upstream, now)
            if best is None or candidate.cost < best.cost:
                best = candidate
            compared += 1
            if compared == MAX_OWN_COMPARED:
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
        for upstream in itertools.islice(_own_rotated(pool), MAX_OWN_COMPARED_BUSY):
            if upstream in options or upstream.spec.id in exclude:
                continue
            if upstream.may_take(now):
                options.append(upstream)
        return options


def _own_rotated(pool: upstream_pool.Pool) -> abc.Iterator[upstreams.Upstream]:
    """Yield each owned upstream once, starting at a random one."""
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
