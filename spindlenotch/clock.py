"""
Clocks, as a port with drivers.

The kernel takes instants; only the daemons ask a clock. ``boottime`` counts
the time a host was suspended, so a deadline that passed meanwhile is passed.
"""

import time
import typing
from collections import abc

from spindlenotch import ids, registry


class Clock(typing.Protocol):
    """Tells the time in two ways."""

    def now(self) -> ids.Instant:
        """Return the instant on the steady clock, in seconds."""

    def unix_s(self) -> float:
        """Return the wall-clock time in seconds since 1970."""


CLOCKS: registry.Registry[abc.Callable[[], Clock]] = registry.Registry("clock")


@CLOCKS.register("boottime")
class BoottimeClock:
    """The host's clock; counts suspended time."""

    def now(self) -> ids.Instant:
        """Return seconds since the host was started."""
        return ids.Instant(time.clock_gettime(time.CLOCK_BOOTTIME))

    def unix_s(self) -> float:
        """Return the wall-clock time."""
        return time.time()


@CLOCKS.register("manual")
class ManualClock:
    """A clock that stands still until it is moved; for tests and benches."""

    def __init__(self) -> None:
        self.instant = ids.Instant(1000.0)
        self.wall = 1_700_000_000.0

    def now(self) -> ids.Instant:
        """Return the instant it was set to."""
        return self.instant

    def unix_s(self) -> float:
        """Return the wall-clock time it was set to."""
        return self.wall

    def advance(self, seconds: float) -> None:
        """Move both clocks forward."""
        self.instant = ids.later(self.instant, seconds)
        self.wall += seconds
