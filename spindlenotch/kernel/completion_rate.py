"""
The completion rate of one service's requests in this process.

While requests are queued, the rate at which others complete is the rate at which the
queue is served, whatever share of the upstreams' slots other processes take. Performs
no I/O and reads no clock; the balancer reports each completion.
"""

from spindlenotch import ids
from spindlenotch.kernel import latency

#: Time constant of the rate in seconds, and the time for which it must be observed
#: before it is known: long enough for some tens of completions, short enough to follow
#: a burst.
TIME_CONSTANT_S = 1.0


class CompletionRate:
    """
    An exponentially decaying rate of completions, per second.

    Invariant: it is unknown until it was observed for ``TIME_CONSTANT_S``.
    """

    def __init__(self) -> None:
        self._known_from = ids.NEVER
        self._updated_at = ids.NEVER
        self._per_s = 0.0

    def add(self, now: ids.Instant) -> None:
        """Record the completion of a request."""
        if self._updated_at == ids.NEVER:
            self._known_from = ids.later(now, TIME_CONSTANT_S)
            self._updated_at = now
        self._per_s = self._decayed(now) + 1.0 / TIME_CONSTANT_S
        self._updated_at = now

    def per_s(self, now: ids.Instant) -> float | None:
        """Return the completions per second, or None if observed too briefly."""
        if now < self._known_from:
            return None
        return self._decayed(now)

    def _decayed(self, now: ids.Instant) -> float:
        return self._per_s * latency.decay(now - self._updated_at, TIME_CONSTANT_S)
