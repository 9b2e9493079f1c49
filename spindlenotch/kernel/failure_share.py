"""
The share of its recent requests that an upstream fails.

Covers an upstream that fails some of its requests while it answers its probes: ejection
needs several consecutive failures, which such an upstream seldom shows. Performs no I/O
and reads no clock: the caller passes in the instants.
"""

from spindlenotch import ids
from spindlenotch.kernel import latency

#: Time constant, in seconds, with which the counts decay. An upstream that works again
#: gets three quarters of an even share after 5 s. With 2.0 s it gets two thirds; with
#: 1.5 s all of it, but 3.4 instead of 2.9 of 100 calls reach a failing upstream (see
#: the scenario on that).
DECAY_S = 1.7
#: Successes that an upstream is credited with before any request ended: one failure
#: gives a share of a third, not of one.
PRIOR_ANSWERS = 2.0
#: Weight of a request that the upstream refused without running it, as a share of a
#: failure: it costs another attempt, but little time.
REFUSAL_WEIGHT = 0.5


class FailureShare:
    """Counts of failures and of all results, which decay over time."""

    def __init__(self) -> None:
        self._failures = 0.0
        self._seen = 0.0
        self._counted_at = ids.Instant(0.0)

    def add(self, failures: float, now: ids.Instant) -> None:
        """Count one request; ``failures`` is 0 for a success, 1 for a failure."""
        kept = latency.decay(now - self._counted_at, DECAY_S)
        self._failures = self._failures * kept + failures
        self._seen = self._seen * kept + 1.0
        self._counted_at = now

    def value(self, now: ids.Instant) -> float:
        """Return the share of failures expected of the next request, 0 to 1."""
        if self._failures == 0.0:
            return 0.0
        kept = latency.decay(now - self._counted_at, DECAY_S)
        return self._failures * kept / (self._seen * kept + PRIOR_ANSWERS)
