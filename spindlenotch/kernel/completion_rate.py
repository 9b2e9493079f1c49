"""
How many requests of one service end in this process each second.

Where requests wait, the rate at which others end is the rate at which the waiting
ones get their turn, whatever share of the upstreams' slots other processes take.
Pure; fed by the balancer with each end.
"""

from spindlenotch import ids
from spindlenotch.kernel import latency

#: Time constant of the rate, in seconds, and how long it has to be observed before it
#: is known: long enough for some tens of ends, short enough to follow a burst.
TIME_CONSTANT_S = 1.0


class CompletionRate:
    """
    A rate that follows the ends of the last seconds.

    Invariant: it is not known before it was observed for ``TIME_CONSTANT_S``.
    """

    def __init__(self) -> None:
        self._known_from = ids.NEVER
        self._updated_at = ids.NEVER
        self._per_s = 0.0

    def add(self, now: ids.Instant) -> None:
        """Record the end of a request."""
        if self._updated_at == ids.NEVER:
            self._known_from = ids.later(now, TIME_CONSTANT_S)
            self._updated_at = now
        self._per_s = self._decayed(now) + 1.0 / TIME_CONSTANT_S
        self._updated_at = now

    def per_s(self, now: ids.Instant) -> float | None:
        """Return the ends a second, or None where too little was observed."""
        if now < self._known_from:
            return None
        return self._decayed(now)

    def _decayed(self, now: ids.Instant) -> float:
        return self._per_s * latency.decay(now - self._updated_at, TIME_CONSTANT_S)
