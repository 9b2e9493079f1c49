"""
A rate that an upstream accepts from all processes together, and this process's part.

The one place for such sums: no process asks another before it sends. A few *holders*
have equal parts of the rate; processes with equal views choose the same holders, by
rendezvous hashing. A process that becomes a holder waits until the requests of the
earlier one no longer count, so that the total holds while views differ for as long as
that. Unused capacity is lost, and requests that the upstream has not read still count,
as it may hang and then read them all at once. Performs no I/O and reads no clock.
Relies on ``rendezvous``.
"""

import collections
import math
from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import ownership, rendezvous

#: Requests per second where nothing limits them.
UNLIMITED = math.inf
#: An instant in the distant past.
LONG_AGO = ids.Instant(-math.inf)
#: Host of a process that shares no rates, or whose part does not matter.
NO_HOST = ids.HostId("")
#: Seconds within which a request counts as read about when it was sent: network delay,
#: and the time until a report shows that it was read.
MAX_TRANSIT_S = 1.0
#: Requests that may count in a window besides the next one, however small the part:
#: with fewer, one slow request would hold up the others.
MIN_WINDOW_REQUESTS = 1.0


class Window(msgspec.Struct, frozen=True):
    """
    The period over which requests to an upstream are summed up, in seconds.

    ``trial_after_s``: after so long without any request, one is sent although earlier
    ones are still unread. Where nobody probes the upstream, only the response to it
    shows that the upstream reads again.
    """

    seconds: float
    trial_after_s: float


class Pacer:
    """
    Keeps one process's requests to one upstream to its part of a shared rate.

    Invariants: while ``part_per_s`` stays the same, requests are sent at least
    ``1 / part_per_s`` seconds apart; those of one window that have arrived, plus those
    that may yet arrive, are at most ``part_per_s`` times its seconds plus one (or two,
    if that is less), apart from trial requests.
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
        """Return when the pacing allows the next request."""
        if self.part_per_s <= 0.0:
            return ids.NEVER
        spacing_s = 1.0 / self.part_per_s
        return max(self._since, ids.later(self._sent_at, spacing_s))

    def set_part(self, part_per_s: float, since: ids.Instant = LONG_AGO) -> None:
        """
        Set the rate at which this process may send, from ``since`` on.

        The spacing counts from the last request: otherwise nothing could ever be sent
        while the part keeps changing.
        """
        self.part_per_s = part_per_s
        self._since = since

    def pause(self, now: ids.Instant) -> None:
        """Restart the spacing: the next request is due one interval after ``now``."""
        self._sent_at = max(self._sent_at, now)

    def sent(self, now: ids.Instant) -> None:
        """Record that a request is sent."""
        self._sent_at = now
        self._unread_at.append(now)

    def may_send(self, now: ids.Instant, read_until: ids.Instant) -> bool:
        """
        Return whether one more request may be sent.

        ``read_until``: the upstream has read everything sent to it before that instant.
        """
        if self.part_per_s == UNLIMITED:
            return True
        if now < self.next_at:
            return False
        max_count = max(MIN_WINDOW_REQUESTS, self.part_per_s * self.window.seconds)
        if self._count_in_window(now, read_until) <= max_count:
            return True
        return now >= ids.later(self._sent_at, self.window.trial_after_s)

    def free_at(self, now: ids.Instant, read_until: ids.Instant) -> ids.Instant:
        """Return when another request may be sent, as far as is known now."""
        if self.may_send(now, read_until):
            return now
        if now < self.next_at:
            return self.next_at
        trial_at = ids.later(self._sent_at, self.window.trial_after_s)
        if not self._arrived_at:
            return trial_at
        return min(trial_at, ids.later(self._arrived_at[0], self.window.seconds))

    def _count_in_window(self, now: ids.Instant, read_until: ids.Instant) -> int:
        """Count the requests that arrived in the last window or may yet arrive."""
        while self._unread_at and self._unread_at[0] <= read_until:
            sent_at = self._unread_at.popleft()
            is_late = now - sent_at > MAX_TRANSIT_S
            self._arrived_at.append(now if is_late else sent_at)
        while self._arrived_at and self._arrived_at[0] <= now - self.window.seconds:
            self._arrived_at.popleft()
        return len(self._arrived_at) + len(self._unread_at)


class View(msgspec.Struct, frozen=True):
    """
    The processes that share rates, as one process sees them.

    ``until`` is when this view was replaced, NEVER for the current one. ``members`` is
    empty if the process sees too few others to rule out that a group which it does not
    see shares the same rates; ``fleet_size`` is the largest number of processes seen
    recently.
    """

    members: tuple[ownership.Member, ...]
    fleet_size: int = 1
    until: ids.Instant = ids.NEVER


#: View of a process that has not seen any others yet.
EMPTY_VIEW = View((), 0)


class Participant(msgspec.Struct, frozen=True):
    """
    One process among those that share the rate of one upstream.

    With a ``zone``, the holders are processes of that zone, if there are any: others
    seldom send there, and their parts would be lost.
    """

    upstream: ids.UpstreamId
    zone: ids.ZoneName | None
    local_host: ids.HostId

    @property
    def phase(self) -> float:
        """Return a number from 0 to 1 that differs between upstreams."""
        score, _ = rendezvous.score(self.upstream, NO_HOST)
        return score / rendezvous.SCORE_COUNT

    @property
    def local_phase(self) -> float:
        """Return a number from 0 to 1 that differs between upstreams and processes."""
        score, _ = rendezvous.score(self.upstream, self.local_host)
        return score / rendezvous.SCORE_COUNT

    def holders(self, view: View, max_count: int) -> list[ids.HostId]:
        """Return at most ``max_count`` holders, the same for equal views."""
        in_zone = [member for member in view.members if member.zone == self.zone]
        hosts = [member.host for member in in_zone or view.members]
        hosts.sort(key=lambda host: rendezvous.score(self.upstream, host), reverse=True)
        return hosts[:max_count]

    def held_since(
        self, views: abc.Iterable[View], max_count: int, window: Window
    ) -> ids.Instant:
        """
        Return when this process may start sending if it is one of the holders.

        That is one window after it was last not a holder: until then the requests of
        an earlier holder count, which may consider itself one for as long.
        """
        free_at = LONG_AGO
        for view in views:
            is_former = view.until != ids.NEVER
            if is_former and self.local_host not in self.holders(view, max_count):
                free_at = max(free_at, ids.later(view.until, window.seconds))
        return free_at
