"""
Waits between tries that double, with jitter, so that a fleet does not come at once.
"""

import random

#: Shortest and longest factor of a wait that is drawn at random.
JITTER = (0.5, 1.5)


class Backoff:
    """Waits in seconds from ``least_s``, doubling up to ``most_s``."""

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
