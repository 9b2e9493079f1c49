"""
The queue of one service in one process: by rank, then first come, first served.

A call waits here rather than at an upstream, so that a more urgent one can
still pass it and so that it is bound to a slot as late as possible. Owns the
order only; ``queueing`` in the decisions says who is admitted and given up.
"""

import collections
import typing

import msgspec

from spindlenotch import ids

#: One call in this many is the longest-waiting one, whatever its priority, so that the
#: lowest class never starves.
OLDEST_FIRST_EVERY = 20
#: Upstreams that a call may be sent to where nothing bounds them: more than there are.
MOST_TRIES = 1_000
#: What an upstream in another zone costs a call where nothing else is said, in seconds,
#: both ways.
CROSS_ZONE_S = 0.002


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """
    A request as the kernel sees it.

    The lowest ``priority`` goes first. ``latency_key`` names the kind of call
    whose latency is expected: the operation or the route. ``repeatable``:
    running it twice does no harm. ``most_tries`` bounds the upstreams it may be
    sent to. It is refused when it would wait beyond ``wait_until`` for a slot.
    ``late``: its answer can't be in time any more; calls of its priority that can
    be go first. An upstream in another zone counts ``cross_zone_s`` seconds more, one
    in another region ``far_s``; that is used from ``far_from`` where no other has room.
    ``allowed_regions``: where it may run; None: anywhere.
    """

    id: ids.CallId
    priority: int
    repeatable: bool
    deadline: ids.Instant
    latency_key: str
    arrived_at: ids.Instant
    most_tries: int = MOST_TRIES
    wait_until: ids.Instant = ids.NEVER
    late: bool = False
    cross_zone_s: float = CROSS_ZONE_S
    far_s: float = 0.0
    far_from: ids.Instant = ids.Instant(0.0)
    allowed_regions: frozenset[ids.RegionName] | None = None

    @property
    def rank(self) -> int:
        """Return its place among waiting calls; the lowest goes first."""
        return 2 * self.priority + self.late

    def may_wait_for(self, usable_at: ids.Instant, now: ids.Instant) -> bool:
        """Tell whether it may wait for what is usable from then on; NEVER: nothing."""
        return usable_at != ids.NEVER and usable_at <= max(now, self.wait_until)


class WaitQueue:
    """
    Calls that wait, by priority.

    Invariant: within a priority the order is that of arrival. ``head`` is of the
    lowest priority number, except for every ``OLDEST_FIRST_EVERY``-th call.
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
        """Return how many waiting calls go before ``call``, a new one."""
        return sum(len(c) for r, c in self.calls_by_rank.items() if r <= call.rank)

    def push(self, call: Call) -> None:
        """Add a call at the end of its rank."""
        calls = self.calls_by_rank.setdefault(call.rank, collections.OrderedDict())
        calls[call.id] = call
        self.rank_by_call[call.id] = call.rank

    def remove(self, call_id: ids.CallId) -> Call | None:
        """Take out a call that is served, expired or withdrawn."""
        rank = self.rank_by_call.pop(call_id, None)
        return None if rank is None else self.calls_by_rank[rank].pop(call_id)

    def head(self) -> Call | None:
        """Return the call that goes next, without taking it out."""
        ranks = sorted(rank for rank, calls in self.calls_by_rank.items() if calls)
        if not ranks:
            return None
        firsts = [next(iter(self.calls_by_rank[rank].values())) for rank in ranks]
        if (self.taken + 1) % OLDEST_FIRST_EVERY == 0:
            return min(firsts, key=lambda call: call.arrived_at)
        return firsts[0]

    def take(self, call: Call) -> None:
        """Take out the call that ``head`` returned."""
        self.taken += 1
        self.remove(call.id)

    def least_urgent(self) -> Call | None:
        """Return the newest call of the last rank."""
        for rank in sorted(self.calls_by_rank, reverse=True):
            if self.calls_by_rank[rank]:
                return next(reversed(self.calls_by_rank[rank].values()))
        return None

    def expired(self, now: ids.Instant) -> list[Call]:
        """Take out and return the calls whose deadline has passed."""
        late = [call for call in self if call.deadline <= now]
        for call in late:
            self.remove(call.id)
        return late
