"""
Coalesces the wake-ups of a process's loops, so that it wakes less often.

A standby gateway has eight loops that run a few times a second. With independent
timers they woke the process 26 times a second; with common instants it wakes five
times. In a fleet of hundreds on shared processors, wake-ups are most of the cost of a
standby gateway, because its CPU caches are cold each time. Each process starts its
intervals at a random phase, so that gateways do not act in sync.
"""

import asyncio
import math
import random

#: Seconds between the instants at which loops wake; equal to the shortest period of
#: the loops that use them (``gateway.TICK_S``).
WAKEUP_INTERVAL_S = 0.2


class Wakeups:
    """The instants at which the loops of this process wake."""

    def __init__(self, rng: random.Random) -> None:
        self._phase_s = rng.uniform(0.0, WAKEUP_INTERVAL_S)

    async def sleep(self, period_s: float) -> None:
        """Sleep until the wake-up instant nearest to ``period_s`` seconds from now."""
        await asyncio.sleep(self.delay_s(period_s))

    def delay_s(self, period_s: float) -> float:
        """Return the seconds until the instant nearest to ``period_s`` from now."""
        now_s = asyncio.get_running_loop().time()
        return self.next_wakeup_s(now_s, period_s) - now_s

    def next_wakeup_s(self, now_s: float, period_s: float) -> float:
        """Return that instant, at least half an interval from now, in seconds."""
        intervals = (now_s + period_s - self._phase_s) / WAKEUP_INTERVAL_S
        nearest = math.floor(intervals + 0.5)
        instant_s = self._phase_s + nearest * WAKEUP_INTERVAL_S
        if instant_s - now_s < 0.5 * WAKEUP_INTERVAL_S:
            instant_s += WAKEUP_INTERVAL_S
        return instant_s
