"""
When the process that plays the callers stood still itself.

What it measures of an answer then is its own time, not the product's.
"""

import asyncio
import contextlib
import time
import typing
from collections import abc

#: Between two looks at the clock, and how much later than due one counts, in seconds.
LOOK_EVERY_S, LATE_S = 0.005, 0.01


class Stall(typing.NamedTuple):
    """From when to when this process did nothing, though it should have."""

    since: float
    until: float


class OwnStalls:
    """Looks at the clock again and again while it is ``watched``."""

    def __init__(self) -> None:
        self.stalls: list[Stall] = []

    @contextlib.asynccontextmanager
    async def watched(self) -> abc.AsyncIterator[None]:
        """Note when this process stands still while the context lasts."""
        watching = asyncio.ensure_future(self._watch())
        try:
            yield
        finally:
            watching.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await watching

    async def _watch(self) -> None:
        while True:
            due = time.monotonic() + LOOK_EVERY_S
            await asyncio.sleep(LOOK_EVERY_S)
            now = time.monotonic()
            if now - due > LATE_S:
                self.stalls.append(Stall(due, now))

    def within_s(self, since: float, until: float) -> float:
        """Return for how many seconds it stood still between two instants."""
        parts = (
            min(stall.until, until) - max(stall.since, since) for stall in self.stalls
        )
        return sum(max(0.0, part) for part in parts)
