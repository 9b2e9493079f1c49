"""
Budgets: upper bounds that hold whatever order events come in.

Pure arithmetic over instants that the caller passes in. Retries and hedges
use a share of real traffic; probes and claims use a rate.
"""

import collections
import enum
import math
import typing

import msgspec

from spindlenotch import ids

#: Most extra requests that a share budget saves up.
MAX_BALANCE = 10.0
#: Extra requests that it allows before anything was earned.
INITIAL_RESERVE = 1.0
#: Time constant with which a sliding budget loses what it saved, as a share of its
#: window. Whoever takes over another's requests earns anew what that one has just
#: used: with this tenth, and nine tenths of what is allowed, the sum still holds.
DECAY_SHARE_OF_WINDOW = 0.1
#: Share of what requests have earned that may be unsettled, besides the reserve. What a
#: process has sent before it is killed may arrive together with what its successor
#: sends.
UNSETTLED_SHARE = 0.1


class Part(enum.Enum):
    """What part of a budget an extra request was taken from."""

    #: What ordinary requests have earned.
    SHARE = "share"
    #: What is allowed beyond that.
    RESERVE = "reserve"


class ExtraBudget(typing.Protocol):
    """Bounds what is sent beyond the first try of each request."""

    @property
    def balance(self) -> float:
        """Return how many extra requests were allowed when last asked."""

    def earn(self, now: ids.Instant) -> None:
        """Count one ordinary request."""

    def available(self, now: ids.Instant) -> bool:
        """Tell whether one more extra request is allowed."""

    def spend(self, now: ids.Instant) -> Part | None:
        """Take one extra request from the budget; None where none is left."""

    def settle(self, now: ids.Instant) -> None:
        """Take in that one extra request has arrived by now, or never will."""


class ShareBudget(msgspec.Struct):
    """
    Allows extra work as a share of ordinary work.

    Invariant: spent <= share * earned + the initial reserve of one. The
    balance is capped so that a quiet day does not save up for a burst of retries.
    """

    share: float
    cap: float = MAX_BALANCE
    balance: float = INITIAL_RESERVE

    def earn(self, now: ids.Instant) -> None:
        """Count one ordinary request."""
        self.balance = min(self.cap, self.balance + self.share)

    def available(self, now: ids.Instant) -> bool:
        """Tell whether one more extra request is allowed."""
        return self.balance >= 1.0

    def spend(self, now: ids.Instant) -> Part | None:
        """Take one extra request from the budget; None where none is left."""
        if self.balance < 1.0:
            return None
        self.balance -= 1.0
        return Part.SHARE

    def settle(self, now: ids.Instant) -> None:
        """Do nothing: the bound is no matter of when extra requests arrive."""


class SlidingShareBudget:
    """
    Allows extra work as a share of ordinary work in every sliding window.

    Invariant: in any span of ``window_s`` seconds, the extra requests that arrive are
    at most ``share`` of the ordinary ones in a span of that length before, plus
    ``reserve``. The sums of several processes that serve all the time therefore keep to
    the same share plus the sum of their reserves, without any message.

    An extra request may arrive long after it was sent, together with those of several
    windows. So it counts until one window after ``settle`` told that it has arrived;
    ``unsettled`` are those of which that is not known.

    So do the sums where processes end, or others take over their requests: what
    was earned is mostly used at once or lost. ``_unspent`` is what was earned and not
    used; negative while the reserve is in use, which is until the extra requests that
    used it leave the window. What lies over ``_decay_floor`` fades.
    """

    def __init__(self, share: float, reserve: float, window_s: float) -> None:
        self.share = share
        self.reserve = reserve
        self.window_s = window_s
        self.earned_at: collections.deque[ids.Instant] = collections.deque()
        #: When those extra requests arrived, at the latest, that have arrived.
        self.settled_at: collections.deque[ids.Instant] = collections.deque()
        self.unsettled = 0
        #: Ordinary requests so far.
        self.earned_count = 0
        #: Extra requests so far.
        self.taken_by_part: collections.Counter[Part] = collections.Counter()
        self._unspent = 0.0
        self._decayed_at: ids.Instant | None = None

    def earn(self, now: ids.Instant) -> None:
        """Count one ordinary request."""
        self._decay(now)
        self._unspent += self.share
        self.earned_count += 1
        self.earned_at.append(now)
        self._drop_expired(self.earned_at, now)

    def available(self, now: ids.Instant) -> bool:
        """Tell whether one more extra request is allowed."""
        self._decay(now)
        self._drop_expired(self.earned_at, now)
        self._drop_expired(self.settled_at, now)
        self._unspent = max(self._unspent, -float(self._in_use))
        return self.balance >= 1.0 and self.unsettled + 1 <= self._max_unsettled

    def spend(self, now: ids.Instant) -> Part | None:
        """Take one extra request from the budget; None where none is left."""
        if not self.available(now):
            return None
        part = Part.SHARE if self._earned >= 1.0 else Part.RESERVE
        self._unspent -= 1.0
        self.unsettled += 1
        self.taken_by_part[part] += 1
        return part

    def settle(self, now: ids.Instant) -> None:
        """Take in that one extra request has arrived by now, or never will."""
        self.unsettled -= 1
        self.settled_at.append(now)

    @property
    def balance(self) -> float:
        """Return how many extra requests were allowed when last asked."""
        return self.reserve + self._earned

    @property
    def _earned(self) -> float:
        """Return what is left of what ordinary requests have earned."""
        return min(self.share * len(self.earned_at) - self._in_use, self._unspent)

    @property
    def _in_use(self) -> int:
        """Return how many extra requests may arrive in one window with the next."""
        return len(self.settled_at) + self.unsettled

    @property
    def _max_unsettled(self) -> float:
        """Return how many extra requests may be unsettled: one at least."""
        earned = self.share * len(self.earned_at)
        return max(1.0, self.reserve + UNSETTLED_SHARE * earned)

    @property
    def _decay_floor(self) -> float:
        """Return what does not fade: with the reserve, enough for one request."""
        return max(0.0, 1.0 - self.reserve)

    def _decay(self, now: ids.Instant) -> None:
        """Let go of what was earned some time ago and not used."""
        if self._decayed_at is not None and self._unspent > self._decay_floor:
            elapsed_s = max(0.0, now - self._decayed_at)
            rest = math.exp(-elapsed_s / (DECAY_SHARE_OF_WINDOW * self.window_s))
            self._unspent = (
                self._decay_floor + (self._unspent - self._decay_floor) * rest
            )
        self._decayed_at = now

    def _drop_expired(
        self, instants: collections.deque[ids.Instant], now: ids.Instant
    ) -> None:
        while instants and instants[0] <= now - self.window_s:
            instants.popleft()


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


class RateBudget(msgspec.Struct):
    """
    A token bucket that starts empty; ``burst`` tokens at the most.

    Invariant: up to any instant at most ``per_second`` uses for each second
    since the start, and in any span at most ``burst`` more than that.
    ``tokens`` is negative while uses are reserved for later.
    """

    per_second: float
    burst: float
    filled_at: ids.Instant
    tokens: float = 0.0

    def reserve(self, now: ids.Instant, longest_wait_s: float) -> ids.Instant | None:
        """
        Reserve one use and return when it is due, not before now.

        None where that would be more than ``longest_wait_s`` seconds away.
        """
        elapsed = max(0.0, now - self.filled_at)
        self.tokens = min(self.burst, self.tokens + elapsed * self.per_second)
        self.filled_at = max(self.filled_at, now)
        missing = 1.0 - self.tokens
        if missing > longest_wait_s * self.per_second:
            return None
        self.tokens -= 1.0
        return now if missing <= 0.0 else ids.later(now, missing / self.per_second)
