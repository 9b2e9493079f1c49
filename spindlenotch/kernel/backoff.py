"""
Exponential backoff with jitter.

The jitter keeps the processes of a fleet from retrying at the same moment. Performs no
I/O and reads no clock; the caller passes in the random number generator.
"""

import random

#: Smallest and largest jitter factor; factors are drawn uniformly in between.
JITTER = (0.5, 1.5)


class Backoff:
    """Delays in seconds that double from ``min_s`` up to ``max_s``, before jitter."""

    def __init__(self, rng: random.Random, min_s: float, max_s: float) -> None:
        self.rng = rng
        self.min_s = min_s
        self.max_s = max_s
        self.wait_s = min_s

    def next(self) -> float:
        """Return the next delay in seconds, with jitter, and double the one after."""
        wait_s = self.wait_s
        self.wait_s = min(self.max_s, wait_s * 2)
        return wait_s * self.rng.uniform(*JITTER)

    def reset(self) -> None:
        """Restart from the shortest delay."""
        self.wait_s = self.min_s
