"""
Waits between tries: exponential backoff with jitter.

The jitter keeps the processes of a fleet from trying at the same moment. Pure but
for the random numbers that are handed in.
"""

import random

#: Shortest and longest factor of a wait, drawn evenly.
JITTER = (0.5, 1.5)


class Backoff:
    """Waits in seconds from ``min_s``, doubling up to ``max_s``, before jitter."""

    def __init__(self, rng: random.Random, min_s: float, max_s: float) -> None:
        self.rng = rng
        self.min_s = min_s
        self.max_s = max_s
        self.wait_s = min_s

    def next(self) -> float:
        """Return the next wait in seconds."""
        wait_s = self.wait_s
        self.wait_s = min(self.max_s, wait_s * 2)
        return wait_s * self.rng.uniform(*JITTER)

    def reset(self) -> None:
        """Begin again with the least wait."""
        self.wait_s = self.min_s
