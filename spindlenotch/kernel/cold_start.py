"""
Until when an upstream is cold, and when this process may send it a request.

A cold upstream bears a few requests a second from all processes together and falls
over well above that. So one process owns each cold upstream, by rendezvous hashing
among those that callers are sent to, and sends it requests at an even pace; the
others send none. Two views of who serves give two owners for a while: even so the
sum stays below twice the rate and a request each. No bursts: what was not used is
lost, so that an owner that stood still does not wake with a full bucket; and what an
upstream has not read counts, which may stand still and then read it all at once.

Owns what is known of one upstream's coldness. Relies on ``rendezvous``.
"""

import collections
import math
from collections import abc

from spindlenotch import ids
from spindlenotch.kernel import ownership, rendezvous

#: Requests a second where nothing bounds them.
UNLIMITED = math.inf
#: Requests that may lie unread at a cold upstream whatever its rate: one that waits for
#: its slot, and the next.
LEAST_UNREAD = 2
#: Seconds after which one that has not read as many gets another request, whose answer
#: shows that it reads on: where it is not probed, nothing else does.
ASKED_AGAIN_S = 2.0
#: The owner is chosen among all processes, whatever their zone.
ANY_ZONE = ids.ZoneName("")
#: When a health answer told last, where none has yet.
NEVER_TOLD = ids.Instant(-math.inf)


class ColdStart:
    """
    What one process knows of the coldness of one upstream, and may do about it.

    ``until`` is when it is warm; ``told_at`` when a health answer was made that told
    so last. Invariant: while it is cold, this process sends it requests at least
    ``1 / rate_per_s`` seconds apart, and none where that is zero.
    """

    def __init__(self, until: ids.Instant) -> None:
        self.until = until
        self.told_at = NEVER_TOLD
        self._listed_until = until
        self.rate_per_s = UNLIMITED
        #: How long an upstream that was away is taken to be cold, in seconds.
        self.lasts_s = 0.0
        self._next_at = ids.Instant(-math.inf)
        self._sent_at: collections.deque[ids.Instant] = collections.deque()

    def is_cold(self, now: ids.Instant) -> bool:
        """Tell whether it is cold."""
        return now < self.until

    def may_ever_send(self, now: ids.Instant) -> bool:
        """Tell whether this process may send it requests while it is as it is now."""
        return now >= self.until or self.rate_per_s > 0.0

    def may_send(self, now: ids.Instant, read_until: ids.Instant) -> bool:
        """
        Tell whether this process may send it one more request.

        ``read_until``: what was sent to it before that instant has been read.
        """
        if now >= self.until:
            return True
        if now < self._next_at:
            return False
        if self._unread(read_until) < self._most_unread:
            return True
        return now >= ids.later(self._sent_at[-1], ASKED_AGAIN_S)

    def sent(self, now: ids.Instant) -> None:
        """Record that a request goes out."""
        self._pause(now)
        if self.is_cold(now):
            self._sent_at.append(now)

    def limit(self, rate_per_s: float, now: ids.Instant) -> None:
        """Set what this process may send; a higher rate begins with a pause."""
        if rate_per_s != self.rate_per_s:
            self.rate_per_s = rate_per_s
            self._pause(now)

    def listed(self, until: ids.Instant, now: ids.Instant) -> None:
        """Take in until when the source lists it as cold, unless that is known."""
        if until > self._listed_until:
            self._listed_until = until
            self._extend(until, now)

    def told(self, until: ids.Instant, at: ids.Instant) -> None:
        """Take in what a health answer made at ``at`` told, unless a later one did."""
        if at <= self.told_at:
            return
        self.told_at = at
        self.until = min(self.until, until)
        self._extend(until, at)

    def was_away_since(self, since: ids.Instant, now: ids.Instant) -> None:
        """Take it to be cold where it was away and has not told otherwise since."""
        if self.told_at < since:
            self._extend(ids.later(now, self.lasts_s), now)

    @property
    def _most_unread(self) -> float:
        """Return how many may lie unread: what it bears in a second, at least two."""
        return max(LEAST_UNREAD, self.rate_per_s)

    def _unread(self, read_until: ids.Instant) -> int:
        """Count the requests sent while it is cold that it may not have read."""
        while self._sent_at and self._sent_at[0] <= read_until:
            self._sent_at.popleft()
        return len(self._sent_at)

    def _extend(self, until: ids.Instant, now: ids.Instant) -> None:
        if until > self.until:
            self._become_cold(until, now)

    def _become_cold(self, until: ids.Instant, now: ids.Instant) -> None:
        if not self.is_cold(now):
            self._pause(now)
        self.until = until

    def _pause(self, now: ids.Instant) -> None:
        if self.rate_per_s <= 0.0:
            self._next_at = ids.NEVER
        else:
            self._next_at = ids.later(now, 1.0 / self.rate_per_s)


def owner(
    upstream_id: ids.UpstreamId, hosts: abc.Collection[ids.HostId]
) -> ids.HostId | None:
    """Return which of ``hosts`` may send to a cold upstream; None where none are."""
    members = [ownership.Member(ANY_ZONE, host) for host in hosts]
    chosen = rendezvous.chosen(members, ANY_ZONE, upstream_id, 1)
    return chosen[0] if chosen else None


def rate_per_s(
    upstream_id: ids.UpstreamId,
    allowed_per_s: float | None,
    hosts: abc.Collection[ids.HostId],
    local_host: ids.HostId,
) -> float:
    """
    Return how many requests a second this process may send to a cold upstream.

    ``allowed_per_s`` is what it bears from all processes, None where nothing bounds
    it; ``hosts`` are the processes that share that.
    """
    if allowed_per_s is None:
        return UNLIMITED
    if local_host not in hosts:
        return 0.0
    return allowed_per_s if owner(upstream_id, hosts) == local_host else 0.0
