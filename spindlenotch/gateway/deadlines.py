"""
Timeouts that stay correct when the host is suspended.

Deadlines are instants of the host's clock, which keeps counting while the host is
suspended. The event loop's clock, which drives its timers, does not, so timers started
before a suspension would fire late by its duration. The timers are therefore tracked
here and rescheduled when the two clocks diverge.
"""

import asyncio
import contextlib
from collections import abc

from spindlenotch import clock, ids

#: Smallest divergence of the clocks that counts as a suspension, in seconds. Smaller
#: ones occur because the two clocks are read one after the other, and another process
#: may run in between.
MIN_SUSPENSION_S = 0.05


class Deadlines:
    """The timers of one process that expire at instants of the host's clock."""

    def __init__(self, host_clock: clock.Clock) -> None:
        self.clock = host_clock
        self._deadline_by_timeout: dict[asyncio.Timeout, ids.Instant] = {}
        self._clock_offset_s: float | None = None

    @contextlib.asynccontextmanager
    async def until(self, deadline: ids.Instant) -> abc.AsyncIterator[None]:
        """Cancel the body at ``deadline`` and raise ``TimeoutError``."""
        async with asyncio.timeout_at(self._loop_time(deadline)) as timeout:
            self._deadline_by_timeout[timeout] = deadline
            try:
                yield
            finally:
                del self._deadline_by_timeout[timeout]

    def check(self) -> float:
        """
        Reschedule the timers if the host was suspended.

        Must be called a few times a second. Returns the duration of the suspension
        since the last call, in seconds; zero if there was none.
        """
        clock_offset_s = self.clock.now() - asyncio.get_running_loop().time()
        previous_offset_s = (
            clock_offset_s if self._clock_offset_s is None else self._clock_offset_s
        )
        self._clock_offset_s = clock_offset_s
        if clock_offset_s - previous_offset_s < MIN_SUSPENSION_S:
            return 0.0
        for timeout, deadline in self._deadline_by_timeout.items():
            timeout.reschedule(self._loop_time(deadline))
        return clock_offset_s - previous_offset_s

    def _loop_time(self, instant: ids.Instant) -> float:
        """Convert an instant of the host's clock to one of the event loop's."""
        return asyncio.get_running_loop().time() + (instant - self.clock.now())
