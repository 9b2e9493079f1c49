"""
The queue of one service in one process: by rank, then first in, first out.

A call waits here rather than at an upstream so that a more urgent one can still
overtake it and so that it is bound to a slot as late as possible. Owns the order only;
``decisions.queueing`` decides which calls are admitted and which are given up.
"""

import collections
import typing

import msgspec

from spindlenotch import ids

#: One in this many calls taken is the one that has waited longest, whatever its
#: priority, so that the lowest class never starves.
OLDEST_FIRST_EVERY = 20
#: Default bound on the upstreams a call may be sent to: more than there are.
MAX_ATTEMPTS = 1_000
#: Default cost in seconds of sending a call to an upstream in another zone, for the
#: round trip.
CROSS_ZONE_S = 0.002


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """
    A request as the kernel sees it.

    The lowest ``priority`` goes first. ``latency_key`` is the kind of call whose
    latency is expected: the operation or the route. ``repeatable``: the call is
    idempotent. ``max_attempts`` bounds the upstreams it may be sent to. The call is
    refused if it would wait beyond ``wait_until`` for a slot. ``late``: it can no
    longer be answered in time, so calls of its priority that still can are served
    first. An upstream in another zone costs ``cross_zone_s`` seconds more, one in
    another region ``cross_region_s``; from ``cross_region_from`` on, the call may be
    sent to another region if its own has no room. It may only run in
    ``allowed_regions``, or anywhere if that is None.
    """

    id: ids.CallId
    priority: int
    repeatable: bool
    deadline: ids.Instant
    latency_key: str
    arrived_at: ids.Instant
    max_attempts: int = MAX_ATTEMPTS
    wait_until: ids.Instant = ids.NEVER
    late: bool = False
    cross_zone_s: float = CROSS_ZONE_S
    cross_region_s: float = 0.0
    cross_region_from: ids.Instant = ids.Instant(0.0)
    allowed_regions: frozenset[ids.RegionName] | None = None

    @property
    def rank(self) -> int:
        """Return the rank among waiting calls; the lowest goes first."""
        return 2 * self.priority + self.late

    def may_wait_for(self, usable_at: ids.Instant, now: ids.Instant) -> bool:
        """Return whether it may wait until ``usable_at``; NEVER means no slot."""
        return usable_at != ids.NEVER and usable_at <= max(now, self.wait_until)


class WaitQueue:
    """
    Waiting calls by rank, which follows from their priority.

    Invariant: within a rank the order is that of arrival. ``head`` has the lowest rank,
    except for every ``OLDEST_FIRST_EVERY``-th call.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.calls_by_rank: dict[int, collections.OrderedDict[ids.CallId, Call]] = {}
        self.rank_by_call: dict[ids.CallId, int] = {}
        self.taken = 0

    def __len__(self) -> int:
        return len(self.rank_by_call)

    def __iter__(self) -> typing.Iterator[Call]:
        for rank in sorted(self.calls_by_rank):
            yield from self.calls_by_rank[rank].values()

    def ahead_of(self, call: Call) -> int:
        """Return how many waiting calls are served before ``call``, a new one."""
        return sum(
            len(calls)
            for rank, calls in self.calls_by_rank.items()
            if rank <= call.rank
        )

    def push(self, call: Call) -> None:
        """Add a call at the end of its rank."""
        calls = self.calls_by_rank.setdefault(call.rank, collections.OrderedDict())
        calls[call.id] = call
        self.rank_by_call[call.id] = call.rank

    def remove(self, call_id: ids.CallId) -> Call | None:
        """Remove a call that is served, expired or withdrawn, and return it."""
        rank = self.rank_by_call.pop(call_id, None)
        return None if rank is None else self.calls_by_rank[rank].pop(call_id)

    def head(self) -> Call | None:
        """Return the call that is served next, without removing it."""
        ranks = sorted(rank for rank, calls in self.calls_by_rank.items() if calls)
        if not ranks:
            return None
        firsts = [next(iter(self.calls_by_rank[rank].values())) for rank in ranks]
        if (self.taken + 1) % OLDEST_FIRST_EVERY == 0:
            return min(firsts, key=lambda call: call.arrived_at)
        return firsts[0]

    def take(self, call: Call) -> None:
        """Remove the call that ``head`` returned, to serve it."""
        self.taken += 1
        self.remove(call.id)

    def least_urgent(self) -> Call | None:
        """Return the newest call of the highest rank number, or None if empty."""
        for rank in sorted(self.calls_by_rank, reverse=True):
            if self.calls_by_rank[rank]:
                return next(reversed(self.calls_by_rank[rank].values()))
        return None

    def pop_expired(self, now: ids.Instant) -> list[Call]:
        """Remove and return the calls whose deadline has passed."""
        late = [call for call in self if call.deadline <= now]
        for call in late:
            self.remove(call.id)
        return late
