"""
Until when an upstream is cold, and when this process may send it a request.

A cold upstream can take a few requests per second from all processes together, and
fails when it gets many more. So one process owns each cold upstream, by rendezvous
hashing among the processes that clients are directed to, and sends it requests at an
even pace; the others send none. Two different views of these processes give two owners
for a while: even then, the total stays below twice the rate plus one request each.
There are no bursts: unused capacity is lost, so that an owner that was suspended does
not resume with a full bucket; and requests that the upstream has not read still count,
as it may hang and then read them all at once.

Owns what is known of one upstream's cold start. Relies on ``shared_rate``.
"""

from collections import abc

from spindlenotch import ids
from spindlenotch.kernel import ownership, shared_rate

#: Requests to a cold upstream are summed up over one second. An upstream that has not
#: read what it was sent gets another request after two, as the response shows that it
#: reads again.
WINDOW = shared_rate.Window(seconds=1.0, trial_after_s=2.0)
#: The owner is chosen among all processes, whatever their zone.
ANY_ZONE = ids.ZoneName("")


class ColdStart:
    """
    The cold start of one upstream as one process knows it, and what it may send.

    ``until`` is when it is warm; ``reported_at`` when the latest health response was
    made that reported it. Invariant: while it is cold, this process sends it requests
    at least ``1 / rate_per_s`` seconds apart, and none if that is zero.
    """

    def __init__(self, until: ids.Instant) -> None:
        self.until = until
        self.reported_at = shared_rate.LONG_AGO
        self._listed_until = until
        self._pacer = shared_rate.Pacer(WINDOW)
        #: How long an upstream that was unavailable is assumed to be cold, in seconds.
        self.assumed_duration_s = 0.0

    @property
    def rate_per_s(self) -> float:
        """Return how many requests per second may be sent while it is cold."""
        return self._pacer.part_per_s

    def is_cold(self, now: ids.Instant) -> bool:
        """Return whether it is cold."""
        return now < self.until

    def may_ever_send(self, now: ids.Instant) -> bool:
        """Return whether this process may send it requests in its present state."""
        return now >= self.until or self.rate_per_s > 0.0

    def may_send(self, now: ids.Instant, read_until: ids.Instant) -> bool:
        """
        Return whether this process may send it one more request.

        ``read_until``: the upstream has read everything sent to it before that instant.
        """
        if now >= self.until:
            return True
        return self._pacer.may_send(now, read_until)

    def sent(self, now: ids.Instant) -> None:
        """Record that a request is sent."""
        self._pacer.pause(now)
        if self.is_cold(now):
            self._pacer.sent(now)

    def limit(self, rate_per_s: float, now: ids.Instant) -> None:
        """Set the rate of this process; a different rate begins with a pause."""
        if rate_per_s != self.rate_per_s:
            self._pacer.set_part(rate_per_s)
            self._pacer.pause(now)

    def listed(self, until: ids.Instant, now: ids.Instant) -> None:
        """Apply until when the source lists it as cold, unless already known."""
        if until > self._listed_until:
            self._listed_until = until
            self._extend(until, now)

    def update(self, until: ids.Instant, at: ids.Instant) -> None:
        """Apply a health response made at ``at``, unless a later one is known."""
        if at <= self.reported_at:
            return
        self.reported_at = at
        self.until = min(self.until, until)
        self._extend(until, at)

    def assume_cold_since(self, since: ids.Instant, now: ids.Instant) -> None:
        """
        Assume a cold start unless a health response was made after ``since``.

        ``since`` is when the upstream became unavailable.
        """
        if self.reported_at < since:
            self._extend(ids.later(now, self.assumed_duration_s), now)

    def _extend(self, until: ids.Instant, now: ids.Instant) -> None:
        if until > self.until:
            self._set_cold(until, now)

    def _set_cold(self, until: ids.Instant, now: ids.Instant) -> None:
        if not self.is_cold(now):
            self._pacer.pause(now)
        self.until = until


def owner(
    upstream_id: ids.UpstreamId, hosts: abc.Iterable[ids.HostId]
) -> ids.HostId | None:
    """Return which of ``hosts`` may send to a cold upstream; None if there are none."""
    participant = shared_rate.Participant(
        upstream_id, zone=None, local_host=shared_rate.NO_HOST
    )
    members = tuple(ownership.Member(ANY_ZONE, host) for host in hosts)
    holders = participant.holders(shared_rate.View(members), max_count=1)
    return holders[0] if holders else None


def rate_per_s(
    upstream_id: ids.UpstreamId,
    allowed_per_s: float | None,
    hosts: abc.Collection[ids.HostId],
    local_host: ids.HostId,
) -> float:
    """
    Return how many requests per second this process may send to a cold upstream.

    ``allowed_per_s`` is the rate that it can take from all processes, None if
    unlimited; ``hosts`` are the processes that share it.
    """
    if allowed_per_s is None:
        return shared_rate.UNLIMITED
    if local_host not in hosts:
        return 0.0
    return allowed_per_s if owner(upstream_id, hosts) == local_host else 0.0
