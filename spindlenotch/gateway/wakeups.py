"""
Lets the loops of one process wake together, so that it wakes seldom.

A standby gateway has eight loops that look after something a few times a second.
Each on its own beat, they woke the process 26 times a second; on one beat it is
five times. In a fleet of hundreds on shared processors most of what a standby
costs is waking: its caches are cold each time. The beat of each process begins
at a random instant, so that gateways do not act in step.
"""

import asyncio
import math
import random

#: Time between two instants at which loops wake, in seconds. That of the shortest
#: period of a loop that waits for them (``gateway.TICK_S``).
WAKEUP_INTERVAL_S = 0.2


class Wakeups:
    """The instants at which the loops of this process wake."""

    def __init__(self, rng: random.Random) -> None:
        self._phase_s = rng.uniform(0.0, WAKEUP_INTERVAL_S)

    async def sleep(self, period_s: float) -> None:
        """Sleep until the instant nearest to ``period_s`` seconds from now."""
        now_s = asyncio.get_running_loop().time()
        await asyncio.sleep(self.next_wakeup_s(now_s, period_s) - now_s)

    def next_wakeup_s(self, now_s: float, period_s: float) -> float:
        """Return that instant; at least half a beat from now, both in seconds."""
        intervals = (now_s + period_s - self._phase_s) / WAKEUP_INTERVAL_S
        nearest = math.floor(intervals + 0.5)
        instant_s = self._phase_s + nearest * WAKEUP_INTERVAL_S
        if instant_s - now_s < 0.5 * WAKEUP_INTERVAL_S:
            instant_s += WAKEUP_INTERVAL_S
        return instant_s
