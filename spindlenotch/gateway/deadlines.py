"""
Deadlines that hold on a host that may be suspended.

Deadlines are instants of the host's clock, which counts the time for which the host was
suspended; the event loop's clock, by which its timers end, does not. So timers that
were begun before a suspension would end late by as much. Here they are kept, and
moved when the two clocks have parted.
"""

import asyncio
import contextlib
from collections import abc

from spindlenotch import clock, ids

#: Seconds by which the clocks part that are no suspension: reading both takes a moment,
#: in which another process may run.
MIN_SUSPENSION_S = 0.05


class Deadlines:
    """The timers of one process that end at instants of the host's clock."""

    def __init__(self, host_clock: clock.Clock) -> None:
        self.clock = host_clock
        self._deadline_by_timeout: dict[asyncio.Timeout, ids.Instant] = {}
        self._clock_offset_s: float | None = None

    @contextlib.asynccontextmanager
    async def until(self, deadline: ids.Instant) -> abc.AsyncIterator[None]:
        """Cancel the body at ``deadline``; raise ``TimeoutError`` then."""
        async with asyncio.timeout_at(self._loop_time(deadline)) as timeout:
            self._deadline_by_timeout[timeout] = deadline
            try:
                yield
            finally:
                del self._deadline_by_timeout[timeout]

    def check(self) -> float:
        """
        Move the timers if the host was suspended; called a few times a second.

        Return for how many seconds it was, zero where it was not.
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
        """Turn an instant of the host's clock into one of the event loop's."""
        return asyncio.get_running_loop().time() + (instant - self.clock.now())
