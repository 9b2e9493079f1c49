"""
The queue of one service in one process: by priority, then first come, first served.

A call waits here rather than at an upstream, so that a more urgent one can
still pass it and so that it is bound to a slot as late as possible. Owns the
order only; ``queueing`` in the decisions says who is admitted and given up.
"""

import collections
import dataclasses
import typing

from spindlenotch import ids

#: One call in this many is the longest-waiting one, whatever its priority, so that
#: the lowest class never starves. Chosen, not measured.
OLDEST_FIRST_EVERY = 20
#: Upstreams that a call may be sent to where nothing bounds them: more than there
#: are. Chosen, not measured.
MOST_TRIES = 1_000
#: What an upstream in another zone costs a call where nothing else is said, in
#: seconds, both ways. Chosen, not measured.
CROSS_ZONE_S = 0.002


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """
    A request as the kernel sees it.

    The lowest ``priority`` goes first. ``latency_key`` names the kind of call
    whose latency is expected: the operation or the route. ``repeatable``:
    running it twice does no harm. ``most_tries`` bounds the upstreams it may be
    sent to. It is refused when it would wait beyond ``wait_until`` for a slot.
    An upstream in another zone counts ``cross_zone_s`` seconds more.
    """

    id: ids.CallId
    priority: int
    repeatable: bool
    deadline: ids.Instant
    latency_key: str
    arrived_at: ids.Instant
    most_tries: int = MOST_TRIES
    wait_until: ids.Instant = ids.NEVER
    cross_zone_s: float = CROSS_ZONE_S


class WaitQueue:
    """
    Calls that wait, by priority.

    Invariant: within a priority the order is that of arrival. ``head`` is of the
    lowest priority number, except for every ``OLDEST_FIRST_EVERY``-th call.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.calls_by_priority: dict[
            int, collections.OrderedDict[ids.CallId, Call]
        ] = {}
        self.priority_by_call: dict[ids.CallId, int] = {}
        self.taken = 0

    def __len__(self) -> int:
        return len(self.priority_by_call)

    def __iter__(self) -> typing.Iterator[Call]:
        for priority in sorted(self.calls_by_priority):
            yield from self.calls_by_priority[priority].values()

    def ahead_of(self, priority: int) -> int:
        """Return how many waiting calls go before a new one of ``priority``."""
        return sum(len(c) for r, c in self.calls_by_priority.items() if r <= priority)

    def push(self, call: Call) -> None:
        """Add a call at the end of its priority."""
        calls = self.calls_by_priority.setdefault(
            call.priority, collections.OrderedDict()
        )
        calls[call.id] = call
        self.priority_by_call[call.id] = call.priority

    def remove(self, call_id: ids.CallId) -> Call | None:
        """Take out a call that is served, expired or withdrawn."""
        priority = self.priority_by_call.pop(call_id, None)
        return (
            None if priority is None else self.calls_by_priority[priority].pop(call_id)
        )

    def head(self) -> Call | None:
        """Return the call that goes next, without taking it out."""
        priorities = sorted(
            priority for priority, calls in self.calls_by_priority.items() if calls
        )
        if not priorities:
            return None
        firsts = [
            next(iter(self.calls_by_priority[priority].values()))
            for priority in priorities
        ]
        if (self.taken + 1) % OLDEST_FIRST_EVERY == 0:
            return min(firsts, key=lambda call: call.arrived_at)
        return firsts[0]

    def take(self, call: Call) -> None:
        """Take out the call that ``head`` returned."""
        self.taken += 1
        self.remove(call.id)

    def least_urgent(self) -> Call | None:
        """Return the newest call of the least urgent priority."""
        for priority in sorted(self.calls_by_priority, reverse=True):
            if self.calls_by_priority[priority]:
                return next(reversed(self.calls_by_priority[priority].values()))
        return None

    def expired(self, now: ids.Instant) -> list[Call]:
        """Take out and return the calls whose deadline has passed."""
        late = [call for call in self if call.deadline <= now]
        for call in late:
            self.remove(call.id)
        return late
