"""
When one process last heard from an upstream, and how long a response is overdue.

A cancelled attempt leaves behind the time for which it waited: otherwise, where
requests have short deadlines, a hung upstream would never be seen as silent. Performs
no I/O and reads no clock: every method takes the instant.
"""

from spindlenotch import ids
from spindlenotch.kernel import latency

#: Longest time between sending a probe and the report that it returns, in seconds: the
#: probe times out after that.
MAX_REPORT_LAG_S = 0.3
#: Longest time between two reports of a probed upstream, in seconds: a probe every
#: 0.25 s, forwarded every 0.2 s by two gateways, with one of these messages lost.
MAX_REPORT_INTERVAL_S = 1.0
#: Seconds after its last report for which an upstream is assumed to be probed while
#: others are: its own silence must not make it look like one that nobody probes.
PROBED_WITHIN_S = 30.0
#: Time constant, in seconds, with which the waits of cancelled attempts decay, so that
#: an upstream that nobody hears from is tried again. A few seconds are enough:
#: requests come far more often where this matters.
CANCELLED_WAIT_DECAY_S = 5.0

LONG_AGO = ids.Instant(float("-inf"))


class ProbeActivity:
    """When a probe last had a report of any upstream of a service."""

    def __init__(self) -> None:
        self.probed_at = LONG_AGO

    def is_recent(self, now: ids.Instant) -> bool:
        """Return whether upstreams are being probed, as far as this process knows."""
        return now - self.probed_at <= MAX_REPORT_INTERVAL_S


class Liveness:
    """
    When one upstream last responded; ``probing`` is shared by those of its service.

    ``answered_at`` is when an attempt last completed there, ``read_until`` an instant
    before which the upstream has read everything sent to it, ``probed_at`` when a probe
    of this process or of a peer last had a report of it, ``heard_at`` when a response
    or a report last arrived.
    """

    def __init__(self, now: ids.Instant, probing: ProbeActivity) -> None:
        self.probing = probing
        self.answered_at = now
        self.read_until = LONG_AGO
        self.probed_at = LONG_AGO
        self.heard_at = LONG_AGO
        self._busy_since = now
        self._unanswered_since = now
        #: How long the attempts waited that were cancelled since the upstream last
        #: responded, in seconds, as of ``_cancelled_wait_at``.
        self._cancelled_wait_s = 0.0
        self._cancelled_wait_at = now

    def sent(self, now: ids.Instant, *, is_first: bool) -> None:
        """Record that an attempt is sent; ``is_first``: no other is in flight."""
        if is_first:
            self._busy_since = now
            if not self._cancelled_wait_s:
                self._unanswered_since = now

    def answered(self, now: ids.Instant, sent_at: ids.Instant | None) -> None:
        """
        Record that an attempt completed.

        ``sent_at`` is when it was sent, if the response shows that the upstream read
        the request; None otherwise.
        """
        self.answered_at = now
        self._unanswered_since = now
        self._cancelled_wait_s = 0.0
        if sent_at is not None:
            self.read_until = max(self.read_until, sent_at)
            self.heard_at = max(self.heard_at, now)

    def cancelled(self, now: ids.Instant, *, is_last: bool) -> None:
        """Record that an attempt was cancelled; ``is_last``: no other is in flight."""
        if is_last:
            self._cancelled_wait_s = self._decayed_wait_s(now) + self._waited_s(now)
            self._cancelled_wait_at = now

    def reported(self, at: ids.Instant) -> None:
        """Record that it reported its load at ``at``, and so was not hung then."""
        self.read_until = max(self.read_until, ids.Instant(at - MAX_REPORT_LAG_S))
        self.heard_at = max(self.heard_at, at)
        if at > self._unanswered_since:
            self._cancelled_wait_s = 0.0

    def probe_reported(self, at: ids.Instant) -> None:
        """Record that a probe had a report of it, made at ``at``."""
        self.probed_at = max(self.probed_at, at)
        self.probing.probed_at = max(self.probing.probed_at, at)

    def reset(self) -> None:
        """Forget cancelled attempts when the upstream gets another chance."""
        self._cancelled_wait_s = 0.0

    def silent_s(self, now: ids.Instant, *, is_busy: bool) -> float:
        """Return for how many seconds a response has been due without any arriving."""
        return self._decayed_wait_s(now) + (self._waited_s(now) if is_busy else 0.0)

    @property
    def has_unanswered_attempts(self) -> bool:
        """Return whether attempts were cancelled since the upstream last responded."""
        return self._cancelled_wait_s > 0.0

    def was_probed(self) -> bool:
        """Return whether probes reported it shortly before its response became due."""
        return self.probed_at >= self._unanswered_since - PROBED_WITHIN_S

    def is_missing_from_probes(self, since: ids.Instant, now: ids.Instant) -> bool:
        """Return whether probes report others, but not this one after ``since``."""
        return self.probed_at <= since and self.probing.is_recent(now)

    def _decayed_wait_s(self, now: ids.Instant) -> float:
        """
        Return how long cancelled attempts waited, in seconds, with decay.

        It does not decay while probes report other upstreams but not this one:
        requests would be sent there again and again.
        """
        if not self._cancelled_wait_s:
            return 0.0
        if self.was_probed() and self.is_missing_from_probes(
            self._unanswered_since, now
        ):
            return self._cancelled_wait_s
        return self._cancelled_wait_s * latency.decay(
            now - self._cancelled_wait_at, CANCELLED_WAIT_DECAY_S
        )

    def _waited_s(self, now: ids.Instant) -> float:
        return max(0.0, now - max(self.answered_at, self._busy_since))
