"""
A rate that an upstream takes from all processes together, and this one's part of it.

The one place for such sums: no process asks another before it sends. A few *holders*
have equal parts of the rate, the same ones by rendezvous hashing wherever views are
equal. A process that becomes a holder waits until what the earlier one sent counts no
longer, so that the sum holds while views differ for as long as that. What one has not
used is lost, and what an upstream has not read counts, which may stand still and then
read it all at once. Pure; relies on ``rendezvous``.
"""

import collections
import math
from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import ownership, rendezvous

#: Requests a second where nothing bounds them.
UNLIMITED = math.inf
#: Of an instant that has long passed.
LONG_AGO = ids.Instant(-math.inf)
#: Of a process that shares no rates, or whose part does not matter.
NO_HOST = ids.HostId("")
#: Seconds within which a request that was read has arrived about when it was sent: its
#: way, and the time until a report shows it.
MAX_TRANSIT_S = 1.0
#: Requests that may count beside the next one, however small the part: with fewer, one
#: that takes long would hold up the others.
MIN_WINDOW_REQUESTS = 1.0


class Window(msgspec.Struct, frozen=True):
    """
    In which time what an upstream gets is summed up, in seconds.

    ``trial_after_s``: after so long without any request one goes out although those
    before it lie unread. Where nobody probes, only its answer shows that the upstream
    reads on.
    """

    seconds: float
    trial_after_s: float


class Pacer:
    """
    Keeps one process's requests to one upstream to its part of a shared rate.

    Invariants: while ``part_per_s`` stays, requests go out at least ``1 / part_per_s``
    seconds apart; those of one window that have arrived, with those that may yet
    arrive, are ``part_per_s`` times its seconds and one more at most (two, where that
    is less), but for those that ask again.
    """

    def __init__(self, window: Window) -> None:
        self.window = window
        self.part_per_s = UNLIMITED
        self._since = LONG_AGO
        self._sent_at = LONG_AGO
        self._unread_at: collections.deque[ids.Instant] = collections.deque()
        self._arrived_at: collections.deque[ids.Instant] = collections.deque()

    @property
    def next_at(self) -> ids.Instant:
        """Return when the pace allows the next request."""
        if self.part_per_s <= 0.0:
            return ids.NEVER
        spacing_s = 1.0 / self.part_per_s
        return max(self._since, ids.later(self._sent_at, spacing_s))

    def set_part(self, part_per_s: float, since: ids.Instant = LONG_AGO) -> None:
        """
        Set what this process may send, from ``since`` on.

        The pace goes on from the last request: a part that moves all the time would
        else leave nothing.
        """
        self.part_per_s = part_per_s
        self._since = since

    def pause(self, now: ids.Instant) -> None:
        """Begin the pace anew."""
        self._sent_at = max(self._sent_at, now)

    def sent(self, now: ids.Instant) -> None:
        """Record that a request goes out."""
        self._sent_at = now
        self._unread_at.append(now)

    def may_send(self, now: ids.Instant, read_until: ids.Instant) -> bool:
        """
        Tell whether one more request may go out.

        ``read_until``: what was sent to the upstream before that instant was read.
        """
        if self.part_per_s == UNLIMITED:
            return True
        if now < self.next_at:
            return False
        most = max(MIN_WINDOW_REQUESTS, self.part_per_s * self.window.seconds)
        if self._count_in_window(now, read_until) <= most:
            return True
        return now >= ids.later(self._sent_at, self.window.trial_after_s)

    def free_at(self, now: ids.Instant, read_until: ids.Instant) -> ids.Instant:
        """Return from when one more may go out, as far as that is known now."""
        if self.may_send(now, read_until):
            return now
        if now < self.next_at:
            return self.next_at
        trial_at = ids.later(self._sent_at, self.window.trial_after_s)
        if not self._arrived_at:
            return trial_at
        return min(trial_at, ids.later(self._arrived_at[0], self.window.seconds))

    def _count_in_window(self, now: ids.Instant, read_until: ids.Instant) -> int:
        """Count what arrived in the last window and what may yet arrive."""
        while self._unread_at and self._unread_at[0] <= read_until:
            sent_at = self._unread_at.popleft()
            is_late = now - sent_at > MAX_TRANSIT_S
            self._arrived_at.append(now if is_late else sent_at)
        while self._arrived_at and self._arrived_at[0] <= now - self.window.seconds:
            self._arrived_at.popleft()
        return len(self._arrived_at) + len(self._unread_at)


class View(msgspec.Struct, frozen=True):
    """
    Who shares rates as one process sees it, ``until`` when it saw so: NEVER, still.

    ``members`` are empty where it sees too few others to know that no further ones
    think the same; ``fleet_size`` is the largest number of processes seen lately.
    """

    members: tuple[ownership.Member, ...]
    fleet_size: int = 1
    until: ids.Instant = ids.NEVER


#: Of a process that has not seen anybody yet.
EMPTY_VIEW = View((), 0)


class Participant(msgspec.Struct, frozen=True):
    """
    Where one process stands among those that share the rate of one upstream.

    With a ``zone`` the holders are of that zone, where there are any: others seldom
    send there, and their parts would be lost.
    """

    upstream: ids.UpstreamId
    zone: ids.ZoneName | None
    local_host: ids.HostId

    @property
    def phase(self) -> float:
        """Return a number from 0 to 1 that is another one for each upstream."""
        score, _ = rendezvous.score(self.upstream, NO_HOST)
        return score / rendezvous.SCORES

    @property
    def local_phase(self) -> float:
        """Return a number from 0 to 1 that is another one for each process, too."""
        score, _ = rendezvous.score(self.upstream, self.local_host)
        return score / rendezvous.SCORES

    def holders(self, view: View, most: int) -> list[ids.HostId]:
        """Return ``most`` holders at most, the same for equal views."""
        near = [member for member in view.members if member.zone == self.zone]
        hosts = [member.host for member in near or view.members]
        hosts.sort(key=lambda host: rendezvous.score(self.upstream, host), reverse=True)
        return hosts[:most]

    def held_since(
        self, views: abc.Iterable[View], most: int, window: Window
    ) -> ids.Instant:
        """
        Return from when this process may send where it is one of the holders.

        That is a window after it last was none of them: until then what an earlier
        holder sent counts, which may take itself to be one for as long.
        """
        free_at = LONG_AGO
        for view in views:
            is_former = view.until != ids.NEVER
            if is_former and self.local_host not in self.holders(view, most):
                free_at = max(free_at, ids.later(view.until, window.seconds))
        return free_at
