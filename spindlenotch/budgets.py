"""
Budgets: upper bounds that hold whatever order events come in.

Pure arithmetic over instants that the caller passes in. Retries and hedges
use a share of real traffic; probes and claims use a rate.
"""

import dataclasses

from spindlenotch import ids


@dataclasses.dataclass(slots=True)
class ShareBudget:
    """
    Allows extra work as a share of ordinary work.

    Invariant: spent <= share * earned + the initial reserve of one. The
    balance is capped so that a quiet day does not save up for a storm.
    """

    share: float
    cap: float = 10.0
    balance: float = 1.0

    def earn(self) -> None:
        """Count one ordinary request."""
        self.balance = min(self.cap, self.balance + self.share)

    def spend(self) -> bool:
        """Take one extra request from the budget, or say that none is left."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True


class SpacedBudget:
    """
    Allows at most ``per_window`` uses in any window of ``window_s`` seconds.

    Invariant: uses lie at least ``window_s / per_window`` apart, the first
    at least one whole window after the start. A process that takes over from
    another therefore leaves that other's uses out of its own window, and a
    restarted one cannot add a burst.
    """

    def __init__(self, per_window: int, window_s: float, start: ids.Instant) -> None:
        self.spacing_s = window_s / per_window if per_window > 0 else float("inf")
        self.free_at = ids.later(start, window_s)

    def spend(self, now: ids.Instant) -> bool:
        """Use the budget once, or say that it is too early."""
        if now < self.free_at or self.spacing_s == float("inf"):
            return False
        self.free_at = ids.later(now, self.spacing_s)
        return True


@dataclasses.dataclass(slots=True)
class RateBudget:
    """A token bucket that starts empty; ``burst`` tokens at the most."""

    per_second: float
    burst: float
    filled_at: ids.Instant
    tokens: float = 0.0

    def spend(self, now: ids.Instant) -> bool:
        """Take one token, or say that there is none."""
        elapsed = max(0.0, now - self.filled_at)
        self.tokens = min(self.burst, self.tokens + elapsed * self.per_second)
        self.filled_at = max(self.filled_at, now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
