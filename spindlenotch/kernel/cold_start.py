"""
Until when an upstream is cold, and when this process may send it a request.

A cold upstream bears a few requests a second from all processes together and falls
over well above that. So one process owns each cold upstream, by rendezvous hashing
among those that callers are sent to, and sends it requests at an even pace; the
others send none. Two views of who serves give two owners for a while: even so the
sum stays below twice the rate and a request each. No bursts: what was not used is
lost, so that an owner that stood still does not wake with a full bucket; and what an
upstream has not read counts, which may stand still and then read it all at once.

Owns what is known of one upstream's coldness. Relies on ``shared_rate``.
"""

from collections import abc

from spindlenotch import ids
from spindlenotch.kernel import ownership, shared_rate

#: What a cold upstream bears is summed up over a second. One that has not read what it
#: got is asked again after two, as its answer shows that it reads on.
WINDOW = shared_rate.Window(seconds=1.0, trial_after_s=2.0)
#: The owner is chosen among all processes, whatever their zone.
ANY_ZONE = ids.ZoneName("")


class ColdStart:
    """
    What one process knows of the coldness of one upstream, and may do about it.

    ``until`` is when it is warm; ``reported_at`` when a health answer was made that
    told so last. Invariant: while it is cold, this process sends it requests at least
    ``1 / rate_per_s`` seconds apart, and none where that is zero.
    """

    def __init__(self, until: ids.Instant) -> None:
        self.until = until
        self.reported_at = shared_rate.LONG_AGO
        self._listed_until = until
        self._pacer = shared_rate.Pacer(WINDOW)
        #: How long an upstream that was away is taken to be cold, in seconds.
        self.assumed_duration_s = 0.0

    @property
    def rate_per_s(self) -> float:
        """Return how many requests a second this process may send while it is cold."""
        return self._pacer.part_per_s

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
        return self._pacer.may_send(now, read_until)

    def sent(self, now: ids.Instant) -> None:
        """Record that a request goes out."""
        self._pacer.pause(now)
        if self.is_cold(now):
            self._pacer.sent(now)

    def limit(self, rate_per_s: float, now: ids.Instant) -> None:
        """Set what this process may send; another rate begins with a pause."""
        if rate_per_s != self.rate_per_s:
            self._pacer.set_part(rate_per_s)
            self._pacer.pause(now)

    def listed(self, until: ids.Instant, now: ids.Instant) -> None:
        """Take in until when the source lists it as cold, unless that is known."""
        if until > self._listed_until:
            self._listed_until = until
            self._extend(until, now)

    def update(self, until: ids.Instant, at: ids.Instant) -> None:
        """Take in what a health answer made at ``at`` told, unless a later one did."""
        if at <= self.reported_at:
            return
        self.reported_at = at
        self.until = min(self.until, until)
        self._extend(until, at)

    def assume_cold_since(self, since: ids.Instant, now: ids.Instant) -> None:
        """Take it to be cold where it was away and has not told otherwise since."""
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
    """Return which of ``hosts`` may send to a cold upstream; None where none are."""
    participant = shared_rate.Participant(
        upstream_id, zone=None, local_host=shared_rate.NO_HOST
    )
    members = tuple(ownership.Member(ANY_ZONE, host) for host in hosts)
    holders = participant.holders(shared_rate.View(members), most=1)
    return holders[0] if holders else None


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
        return shared_rate.UNLIMITED
    if local_host not in hosts:
        return 0.0
    return allowed_per_s if owner(upstream_id, hosts) == local_host else 0.0
