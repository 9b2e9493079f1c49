"""
The clock port and its drivers.

Only the daemons read a clock; the kernel is given instants. Every clock has a
steady time for deadlines and the wall-clock time for what people and other
hosts compare. A driver registers in ``CLOCKS`` when it is imported.
"""

import time
import typing
from collections import abc

from spindlenotch import ids, registry


class Clock(typing.Protocol):
    """A steady clock and a wall clock."""

    def now(self) -> ids.Instant:
        """Return the steady time in seconds; it never goes back."""

    def unix_s(self) -> float:
        """Return the wall-clock time in seconds since 1970; it may be adjusted."""


CLOCKS: registry.Registry[abc.Callable[[], Clock]] = registry.Registry("clock")


@CLOCKS.register("boottime")
class BoottimeClock:
    """
    The host's clocks.

    The steady one also counts the time for which the host was suspended, so
    that a deadline which passed meanwhile counts as passed.
    """

    def now(self) -> ids.Instant:
        """Return the seconds since the host was started."""
        return ids.Instant(time.clock_gettime(time.CLOCK_BOOTTIME))

    def unix_s(self) -> float:
        """Return the wall-clock time."""
        return time.time()


@CLOCKS.register("manual")
class ManualClock:
    """A clock that moves only when it is advanced; for tests and tools."""

    def __init__(self) -> None:
        # Arbitrary starting points.
        self.instant = ids.Instant(1000.0)
        self.wall = 1_700_000_000.0

    def now(self) -> ids.Instant:
        """Return the steady time, in seconds."""
        return self.instant

    def unix_s(self) -> float:
        """Return the wall-clock time, in seconds since 1970."""
        return self.wall

    def advance(self, seconds: float) -> None:
        """Move both times forward."""
        self.instant = ids.later(self.instant, seconds)
        self.wall += seconds
