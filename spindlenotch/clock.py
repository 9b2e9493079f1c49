"""
The clock port and its drivers.

Only the daemons read a clock; the kernel is passed instants. Every clock has a
monotonic time for deadlines and a wall-clock time for what people and other hosts
compare. A driver registers in ``CLOCKS`` when it is imported.
"""

import time
import typing
from collections import abc

from spindlenotch import ids, registry


class Clock(typing.Protocol):
    """A monotonic clock and a wall clock."""

    def now(self) -> ids.Instant:
        """Return the monotonic time in seconds; it never goes back."""

    def unix_s(self) -> float:
        """Return the wall-clock time in seconds since 1970; it may be adjusted."""


CLOCKS: registry.Registry[abc.Callable[[], Clock]] = registry.Registry("clock")


@CLOCKS.register("boottime")
class BoottimeClock:
    """
    The host's clocks.

    The monotonic one also counts the time for which the host was suspended, so that
    a deadline that falls into it has passed when the host resumes.
    """

    def now(self) -> ids.Instant:
        """Return the seconds since the host was booted."""
        return ids.Instant(time.clock_gettime(time.CLOCK_BOOTTIME))

    def unix_s(self) -> float:
        """Return the wall-clock time in seconds since 1970."""
        return time.time()


@CLOCKS.register("manual")
class ManualClock:
    """A clock that moves only when it is advanced; for tests and tools."""

    def __init__(self) -> None:
        # Arbitrary starting points.
        self.instant = ids.Instant(1000.0)
        self.wall = 1_700_000_000.0

    def now(self) -> ids.Instant:
        """Return the monotonic time in seconds."""
        return self.instant

    def unix_s(self) -> float:
        """Return the wall-clock time in seconds since 1970."""
        return self.wall

    def advance(self, seconds: float) -> None:
        """Advance both times by ``seconds``."""
        self.instant = ids.later(self.instant, seconds)
        self.wall += seconds
