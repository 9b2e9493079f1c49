"""
Limit of the requests that a process works on at once, while it lacks processor time.

A request takes several iterations of the event loop. Without a limit each iteration
becomes longer with the requests in progress, until all of them miss their deadlines and
nothing is served. The limit follows the duration of iterations, not the time of
requests, so slow upstreams do not lower it. It falls by a ratio and rises steadily, as
congestion windows do. Performs no I/O and reads no clock.
"""

import collections
import math

from spindlenotch import ids

#: Share of a request's timeout that one iteration may take: some seven of them pass
#: until a request has been served, and the upstream needs time too.
LONG_ITERATION_SHARE = 0.05
#: Minimum duration of a long iteration in seconds, for routes with short timeouts.
MIN_LONG_ITERATION_S = 0.03
#: Maximum duration of a long iteration in seconds, for routes with long timeouts.
MAX_LONG_ITERATION_S = 0.25
#: Weight of the newest request in the mean timeout.
TIMEOUT_WEIGHT = 0.05
#: Consecutive long iterations that lower the limit: a single one may be a standstill of
#: the process, and the effect of a lower limit shows only after some.
LONG_ITERATIONS = 3
#: Factor by which the limit falls.
DECREASE = 0.7
#: Smallest limit, so that the effect of serving can be observed.
MIN_LIMIT = 2.0
#: Rise of the limit per second, as a share of the limit.
INCREASE_SHARE_PER_S = 0.5
#: Rise of the limit per second besides that, in requests.
INCREASE_PER_S = 10.0
#: Longest time in seconds between two iterations for which the limit rises.
MAX_INTERVAL_S = 0.1
#: Seconds without a long iteration after which there is no limit any more.
RELEASE_S = 5.0


class ConcurrencyLimit:
    """
    The limit in requests, ``math.inf`` while processor time suffices.

    ``limited_since`` is when it came into force, ``ids.NEVER`` while there is none.
    """

    def __init__(self) -> None:
        self.limit = math.inf
        self.limited_since = ids.NEVER
        self._release_at = ids.NEVER
        self._updated_at = ids.NEVER
        self._mean_timeout_s = 1.0
        self._recent_s: collections.deque[float] = collections.deque(
            maxlen=LONG_ITERATIONS
        )

    @property
    def is_limited(self) -> bool:
        """Return whether processor time is, or was lately, lacking."""
        return self.limited_since != ids.NEVER

    @property
    def long_iteration_s(self) -> float:
        """Return the duration of an iteration from which processor time is lacking."""
        share_s = LONG_ITERATION_SHARE * self._mean_timeout_s
        return min(MAX_LONG_ITERATION_S, max(MIN_LONG_ITERATION_S, share_s))

    def add_timeout(self, timeout_s: float) -> None:
        """Record the timeout of a request."""
        self._mean_timeout_s += TIMEOUT_WEIGHT * (timeout_s - self._mean_timeout_s)

    def admits(self, in_progress: int) -> bool:
        """Return whether another request may begin beside ``in_progress`` others."""
        return in_progress < self.limit

    def add_iteration(self, took_s: float, in_progress: int, now: ids.Instant) -> None:
        """Adapt to an iteration of the event loop that took so many seconds."""
        self._recent_s.append(took_s)
        if took_s >= self.long_iteration_s:
            self._release_at = ids.later(now, RELEASE_S)
            if self._are_all_long():
                self._recent_s.clear()
                self._decrease(in_progress, now)
        elif now >= self._release_at:
            self.limit = math.inf
            self.limited_since = ids.NEVER
        elif self.is_limited:
            self._increase(now)
        self._updated_at = now

    def _are_all_long(self) -> bool:
        is_full = len(self._recent_s) == LONG_ITERATIONS
        return is_full and min(self._recent_s) >= self.long_iteration_s

    def _decrease(self, in_progress: int, now: ids.Instant) -> None:
        if not self.is_limited:
            self.limited_since = now
        self.limit = max(MIN_LIMIT, DECREASE * min(self.limit, in_progress))

    def _increase(self, now: ids.Instant) -> None:
        interval_s = min(MAX_INTERVAL_S, now - self._updated_at)
        self.limit += (INCREASE_SHARE_PER_S * self.limit + INCREASE_PER_S) * interval_s
