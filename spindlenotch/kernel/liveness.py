"""
When one process heard of an upstream last, and for how long that has owed an answer.

A try that is broken off at its deadline leaves the time for which it waited: where
requests have little time, an upstream that stands still would else never be silent.
Pure; every method takes the instant.
"""

from spindlenotch import ids
from spindlenotch.kernel import latency

#: Longest time between the sending of a probe and the report that it brings, in
#: seconds: a probe is given up after that.
REPORT_LAG_S = 0.3
#: Most seconds between two reports of an upstream that is probed: a probe every 0.25 s,
#: passed on every 0.2 s by two gateways, and one of these messages lost.
REPORTED_WITHIN_S = 1.0
#: Seconds after its last report for which an upstream is taken to be probed while
#: others are: its own silence must not make it one that nobody probes.
PROBED_WITHIN_S = 30.0
#: Seconds in which what is owed fades to a third, so that an upstream of which nobody
#: hears is tried again: some seconds, as requests come far more often where it matters.
CANCELLED_WAIT_DECAY_S = 5.0

LONG_AGO = ids.Instant(float("-inf"))


class ProbeActivity:
    """When a probe had a report of any upstream of a service last."""

    def __init__(self) -> None:
        self.probed_at = LONG_AGO

    def is_recent(self, now: ids.Instant) -> bool:
        """Tell whether upstreams are probed, as far as is heard."""
        return now - self.probed_at <= REPORTED_WITHIN_S


class Liveness:
    """
    What was heard of one upstream; ``probing`` is shared by those of its service.

    ``answered_at`` is when a request ended there last, ``read_until`` an instant before
    which all that was sent to it has been read, ``probed_at`` when a probe had a report
    of it last, own or of a peer, ``heard_at`` when an answer or a report came last.
    """

    def __init__(self, now: ids.Instant, probing: ProbeActivity) -> None:
        self.probing = probing
        self.answered_at = now
        self.read_until = LONG_AGO
        self.probed_at = LONG_AGO
        self.heard_at = LONG_AGO
        self._busy_since = now
        self._unanswered_since = now
        #: How long tries waited that were broken off since anything was heard, as it
        #: counted at the instant beside it.
        self._cancelled_wait_s = 0.0
        self._cancelled_wait_at = now

    def sent(self, now: ids.Instant, *, is_first: bool) -> None:
        """Record that a try goes out; ``is_first``: no other is under way."""
        if is_first:
            self._busy_since = now
            if not self._cancelled_wait_s:
                self._unanswered_since = now

    def answered(self, now: ids.Instant, sent_at: ids.Instant | None) -> None:
        """
        Record that a try ended there.

        ``sent_at`` is when it was sent, where its answer shows that it was read.
        """
        self.answered_at = now
        self._unanswered_since = now
        self._cancelled_wait_s = 0.0
        if sent_at is not None:
            self.read_until = max(self.read_until, sent_at)
            self.heard_at = max(self.heard_at, now)

    def cancelled(self, now: ids.Instant, *, is_last: bool) -> None:
        """Record that a try was broken off; ``is_last``: no other is under way."""
        if is_last:
            self._cancelled_wait_s = self._decayed_wait_s(now) + self._waited_s(now)
            self._cancelled_wait_at = now

    def reported(self, at: ids.Instant) -> None:
        """Record that it reported its load at ``at``, and so did not stand still."""
        self.read_until = max(self.read_until, ids.Instant(at - REPORT_LAG_S))
        self.heard_at = max(self.heard_at, at)
        if at > self._unanswered_since:
            self._cancelled_wait_s = 0.0

    def probe_reported(self, at: ids.Instant) -> None:
        """Record that a probe had a report of it, made at ``at``."""
        self.probed_at = max(self.probed_at, at)
        self.probing.probed_at = max(self.probing.probed_at, at)

    def reset(self) -> None:
        """Begin anew with an upstream that gets another chance."""
        self._cancelled_wait_s = 0.0

    def silent_s(self, now: ids.Instant, *, is_busy: bool) -> float:
        """Return for how many seconds it has owed an answer without giving any."""
        return self._decayed_wait_s(now) + (self._waited_s(now) if is_busy else 0.0)

    @property
    def has_unanswered_attempts(self) -> bool:
        """Tell whether tries were broken off since anything was heard."""
        return self._cancelled_wait_s > 0.0

    def was_probed(self) -> bool:
        """Tell whether probes told of it in the time before it owed an answer."""
        return self.probed_at >= self._unanswered_since - PROBED_WITHIN_S

    def is_missing_from_probes(self, since: ids.Instant, now: ids.Instant) -> bool:
        """Tell whether probes tell of other upstreams, and of it not since then."""
        return self.probed_at <= since and self.probing.is_recent(now)

    def _decayed_wait_s(self, now: ids.Instant) -> float:
        """
        Return what is owed of tries that were broken off, in seconds.

        It does not fade while probes tell of others and miss this one: requests would
        be sent there again and again.
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
