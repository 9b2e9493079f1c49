"""
Waits between tries: exponential backoff with jitter.

The jitter keeps the processes of a fleet from trying at the same moment. Pure but
for the random numbers that are handed in.
"""

import random

#: Shortest and longest factor of a wait, drawn evenly.
JITTER = (0.5, 1.5)


class Backoff:
    """Waits in seconds from ``least_s``, doubling up to ``most_s``, before jitter."""

    def __init__(self, rng: random.Random, least_s: float, most_s: float) -> None:
        self.rng = rng
        self.least_s = least_s
        self.most_s = most_s
        self.wait_s = least_s

    def next(self) -> float:
        """Return the next wait in seconds."""
        wait_s = self.wait_s
        self.wait_s = min(self.most_s, wait_s * 2)
        return wait_s * self.rng.uniform(*JITTER)

    def reset(self) -> None:
        """Begin again with the least wait."""
        self.wait_s = self.least_s
