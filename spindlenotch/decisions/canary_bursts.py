"""
Bursts in which calls are sent to the canaries of a version on trial.

A version that fails under load shows that only where calls run concurrently. Its share
of the calls, spread evenly, hardly ever meets at an upstream. So each process keeps
back what it may send and sends it in bursts, which start at the same moments in all
processes and go to few canaries at a time, up to their slots.

Performs no I/O and reads no clock. ``traffic_split`` decides how many calls are due.
"""

import math
from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import upstreams

#: Seconds between the starts of two bursts. Long enough for a service's share to fill
#: the slots of a canary, short enough for several bursts within an order's time.
PERIOD_S = 1.0
#: Calls of a burst for each slot of its canaries: the first ones find the slots free.
CALLS_PER_SLOT = 2.0
#: Length of a burst, as a multiple of the time in which all calls together are as many
#: as the share of a period's calls: what a process has not sent by then is sent in the
#: next burst, as it would run alone.
LENGTH_FACTOR = 3.0
#: Least time over which the number of running calls is averaged, in seconds.
MIN_OBSERVED_S = 0.2


class Schedule(msgspec.Struct, frozen=True):
    """
    When bursts start, and which part of them this process sends.

    Bursts start whole periods before ``end_at``, the order's deadline, on which all
    processes agree. This process has the ``rank`` among the ``participants`` that
    serve callers.
    """

    end_at: ids.Instant
    rank: int = 0
    participants: int = 1

    def number(self, now: ids.Instant) -> int:
        """Return the number of the burst that is under way; it only decreases."""
        return math.ceil((self.end_at - now) / PERIOD_S)

    def started_at(self, number: int) -> ids.Instant:
        """Return when the burst of a number started."""
        return ids.later(self.end_at, -number * PERIOD_S)


class Bursts:
    """
    The bursts of one process for one service and one target.

    ``allowed`` is how many calls may have been sent to the target by the end of the
    burst that is under way. Without a ``schedule`` calls are not kept back.
    """

    def __init__(self, share: float) -> None:
        self.share = share
        self.schedule: Schedule | None = None
        self.allowed = 0.0
        self._number = 0
        self._until = ids.NEVER
        self._canary_count = 1
        self._senders = 1
        self._first_sent_at = ids.NEVER
        self._busy_s = 0.0

    def call_ended(self, sent_at: ids.Instant, now: ids.Instant) -> None:
        """Record a call of the service, on any version."""
        self._first_sent_at = min(self._first_sent_at, sent_at)
        self._busy_s += now - sent_at

    def may_send(self, sent: int, now: ids.Instant) -> bool:
        """Return whether one more call after ``sent`` ones is part of the burst."""
        return sent + 1 <= self.allowed and now < self._until

    def release(
        self,
        allowed: float,
        sent: int,
        canaries: abc.Sequence[upstreams.Upstream],
        now: ids.Instant,
    ) -> None:
        """Release the calls ``allowed`` by now, once for each burst."""
        if self.schedule is None:
            self.allowed = allowed
            return
        number = self.schedule.number(now)
        if number == self._number:
            return
        self._number = number
        self.allowed = allowed
        length_s = LENGTH_FACTOR * self.share * PERIOD_S
        self._until = ids.later(self.schedule.started_at(number), length_s)
        observed_s = max(MIN_OBSERVED_S, now - self._first_sent_at)
        participants = self.schedule.participants
        running = self._busy_s / observed_s * participants
        calls = participants * max(allowed / observed_s * PERIOD_S, allowed - sent)
        slots = max(1, min((u.slots for u in canaries), default=1))
        filled = int(min(running, calls / CALLS_PER_SLOT) / slots)
        self._canary_count = max(1, min(filled, len(canaries)))
        self._senders = max(1, min(participants, math.ceil(calls)))

    def targets(
        self, canaries: abc.Sequence[upstreams.Upstream]
    ) -> abc.Sequence[upstreams.Upstream]:
        """
        Return the canaries to which this process may send now, in order.

        The processes divide the slots of a burst's canaries among themselves, and take
        turns if there are more senders than slots: none sees in time what the others
        send.
        """
        schedule = self.schedule
        if not canaries or schedule is None:
            return canaries
        count = min(self._canary_count, len(canaries))
        start = self._number * count
        chosen = [canaries[(start + n) % len(canaries)] for n in range(count)]
        slots = max(1, sum(u.slots for u in chosen))
        turns = math.ceil(self._senders / slots)
        if (schedule.rank + self._number) % turns:
            return []
        own_slots = math.ceil(slots * turns / self._senders)
        if sum(u.outstanding for u in canaries) >= own_slots:
            return []
        first = schedule.rank * count // schedule.participants
        return chosen[first:] + chosen[:first]
