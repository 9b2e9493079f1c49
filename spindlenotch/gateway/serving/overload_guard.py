"""
Measures iterations of the event loop while callers send, and refuses what is too much.

Owns the count of requests in progress. Relies on ``kernel.concurrency_limit`` for the
rule. An iteration is measured by a callback that is scheduled twice: all that is ready
runs in between. Timers would not tell a busy loop from a process that was not run.
"""

import asyncio
import contextlib
import random
from collections import abc

from spindlenotch import clock, events, ids
from spindlenotch.kernel import concurrency_limit

#: Shortest mean time in seconds after which refused callers retry.
MIN_RETRY_S = 0.05
#: Longest mean time in seconds after which refused callers retry.
MAX_RETRY_S = 1.0
#: The time to retry is drawn from the mean times 1 minus to 1 plus this share, so that
#: callers who were refused together do not return together.
RETRY_SPREAD = 0.5
#: Maximum number of refusals logged per second; the others are only counted, so that
#: processor time is left for serving.
MAX_LOGGED_PER_S = 20
#: Decimal places of logged durations and limits.
DIGITS = 3


class OverloadGuard:
    """
    Tells whether this process has processor time for another request.

    Invariant: at most one measurement of an iteration is under way.
    """

    def __init__(self, gateway_clock: clock.Clock, rng: random.Random) -> None:
        self.limit = concurrency_limit.ConcurrencyLimit()
        self._clock = gateway_clock
        self._rng = rng
        self._in_progress = 0
        self._refused = 0
        self._logged = 0
        self._log_again_at = gateway_clock.now()
        self._refusing_s = 0.0
        self._is_measuring = False

    def is_limiting(self) -> bool:
        """Return whether processor time is lacking; asked for each connection."""
        self._measure_iteration()
        return self.limit.is_limited

    def admits(self) -> bool:
        """Return whether a request that has arrived may begin; counts it if not."""
        self._measure_iteration()
        if self.limit.admits(self._in_progress):
            return True
        self._refused += 1
        return False

    def add_timeout(self, timeout_s: float) -> None:
        """Record the timeout of a request; it decides how long iterations may take."""
        self.limit.add_timeout(timeout_s)

    @contextlib.contextmanager
    def in_progress(self) -> abc.Iterator[None]:
        """Count a request while the context lasts."""
        self._in_progress += 1
        try:
            yield
        finally:
            self._in_progress -= 1

    @contextlib.contextmanager
    def refusing(self) -> abc.Iterator[None]:
        """
        Measure the time in which connections are refused.

        It is not part of the iterations that lower the limit: a lower one would only
        add to what is refused, until nothing is served any more.
        """
        began_at = self._clock.now()
        try:
            yield
        finally:
            self._refusing_s += self._clock.now() - began_at

    def may_log(self) -> bool:
        """Return whether a refusal may be logged, and count it."""
        now = self._clock.now()
        if now >= self._log_again_at:
            self._logged = 0
            self._log_again_at = ids.later(now, 1.0)
        self._logged += 1
        return self._logged <= MAX_LOGGED_PER_S

    def retry_after_s(self) -> float:
        """
        Return the seconds after which a refused caller should retry.

        As long again as requests have been refused: a short peak is over soon, while
        callers of a gateway that is overloaded for longer would be refused again.
        """
        limited_s = self._clock.now() - self.limit.limited_since
        mean_s = min(MAX_RETRY_S, max(MIN_RETRY_S, limited_s))
        return mean_s * self._rng.uniform(1.0 - RETRY_SPREAD, 1.0 + RETRY_SPREAD)

    def _measure_iteration(self) -> None:
        if self._is_measuring:
            return
        self._is_measuring = True
        loop = asyncio.get_running_loop()
        began_at = self._clock.now()
        self._refusing_s = 0.0
        loop.call_soon(lambda: loop.call_soon(self._end_iteration, began_at))

    def _end_iteration(self, began_at: ids.Instant) -> None:
        self._is_measuring = False
        now = self._clock.now()
        iteration_s = now - began_at - self._refusing_s
        was_limited = self.limit.is_limited
        self.limit.add_iteration(iteration_s, self._in_progress, now)
        if self.limit.is_limited is not was_limited:
            self._report(iteration_s)

    def _report(self, iteration_s: float) -> None:
        if self.limit.is_limited:
            events.emit(
                events.Event.OVERLOADED,
                iteration_s=round(iteration_s, DIGITS),
                in_progress=self._in_progress,
                limit=round(self.limit.limit, DIGITS),
            )
            return
        events.emit(events.Event.OVERLOAD_OVER, refused=self._refused)
        self._refused = 0
