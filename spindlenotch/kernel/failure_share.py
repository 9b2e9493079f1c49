"""
What share of its requests an upstream fails lately.

Answers the load pattern of an upstream that fails some of its requests while its
probes are answered: ejection waits for several failures in a row, which it seldom
shows. Pure; times come from the caller.
"""

from spindlenotch import ids
from spindlenotch.kernel import latency

#: Seconds in which what was seen fades to a third. An upstream that works again has
#: three quarters of an even share 5 s later (2.0 s: two thirds; 1.5 s: all of it, but
#: 3.4 in place of 2.9 of 100 calls reach a failing one: see the scenario on that).
DECAY_S = 1.7
#: Answers that an upstream is credited with before any was seen: one failure makes a
#: share of a third, not of one.
PRIOR_ANSWERS = 2.0
#: What a request counts that the upstream refused without running it, as a share of a
#: failure: it costs a further try, but little time.
REFUSAL_WEIGHT = 0.5


class FailureShare:
    """Counts of failures and answers that fade with time."""

    def __init__(self) -> None:
        self._failures = 0.0
        self._seen = 0.0
        self._counted_at = ids.Instant(0.0)

    def add(self, failures: float, now: ids.Instant) -> None:
        """Count one request; ``failures`` is 0 for an answer, 1 for a failure."""
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
