"""
Budgets: upper bounds that hold for any order of events.

Performs no I/O and reads no clock: the caller passes in the instants. Retries and
hedges are bounded to a share of ordinary traffic, probes and claims to a rate.
"""

import collections
import enum
import math
import typing

import msgspec

from spindlenotch import ids

#: Most extra requests that a share budget accumulates.
MAX_BALANCE = 10.0
#: Extra requests that a share budget allows before it has earned anything.
INITIAL_RESERVE = 1.0
#: Time constant with which the unspent credit of a sliding budget decays, as a share
#: of its window. A process that takes over another's requests earns credit that the
#: other has just spent: with this tenth, and with processes that use nine tenths of
#: the allowed share, the fleet as a whole still keeps to its bound.
DECAY_SHARE_OF_WINDOW = 0.1
#: Share of the earned credit that may be unsettled, in addition to the reserve: extra
#: requests that a process sent before it was killed may arrive together with those of
#: its successor.
UNSETTLED_SHARE = 0.1


class Part(enum.Enum):
    """The part of a budget that an extra request was charged to."""

    #: Credit earned by ordinary requests.
    SHARE = "share"
    #: Extra requests that are allowed beyond that credit.
    RESERVE = "reserve"


class ExtraBudget(typing.Protocol):
    """Bounds the requests sent beyond the first attempt of each: retries and hedges."""

    @property
    def balance(self) -> float:
        """Return how many extra requests were allowed at the last check."""

    def earn(self, now: ids.Instant) -> None:
        """Record one ordinary request."""

    def available(self, now: ids.Instant) -> bool:
        """Return whether one more extra request is allowed."""

    def spend(self, now: ids.Instant) -> Part | None:
        """Charge one extra request to the budget; return None if none is left."""

    def settle(self, now: ids.Instant) -> None:
        """Record that one extra request has arrived by now, or never will."""


class ShareBudget(msgspec.Struct):
    """
    Allows extra requests up to a share of the ordinary ones.

    Invariant: extra requests <= ``share`` * ordinary requests + ``INITIAL_RESERVE``.
    The balance is capped at ``cap`` so that a long time without retries does not
    build up credit for a burst of them.
    """

    share: float
    cap: float = MAX_BALANCE
    balance: float = INITIAL_RESERVE

    def earn(self, now: ids.Instant) -> None:
        """Record one ordinary request."""
        self.balance = min(self.cap, self.balance + self.share)

    def available(self, now: ids.Instant) -> bool:
        """Return whether one more extra request is allowed."""
        return self.balance >= 1.0

    def spend(self, now: ids.Instant) -> Part | None:
        """Charge one extra request to the budget; return None if none is left."""
        if self.balance < 1.0:
            return None
        self.balance -= 1.0
        return Part.SHARE

    def settle(self, now: ids.Instant) -> None:
        """Do nothing: the bound does not depend on when extra requests arrive."""


class SlidingShareBudget:
    """
    Allows extra requests up to a share of the ordinary ones in every sliding window.

    Invariant: in any span of ``window_s`` seconds, the extra requests that arrive are
    at most ``share`` of the ordinary ones in a span of that length before, plus
    ``reserve``. So the totals over several processes that serve all the time keep to
    the same share plus the sum of their reserves, without any coordination.

    An extra request may arrive long after it was sent, together with those of several
    windows. It therefore counts until one window after ``settle`` reported its
    arrival; ``unsettled`` counts those that have not been reported yet.

    The bound also holds for the totals where processes end or take over each other's
    requests, because credit is either spent soon or lost. ``_unspent`` is the credit
    that was earned and not spent. It is negative while the reserve is in use, that is,
    until the extra requests charged to it leave the window. Credit above
    ``_decay_floor`` decays exponentially.
    """

    def __init__(self, share: float, reserve: float, window_s: float) -> None:
        self.share = share
        self.reserve = reserve
        self.window_s = window_s
        self.earned_at: collections.deque[ids.Instant] = collections.deque()
        #: Latest possible arrival of each settled extra request in the window.
        self.settled_at: collections.deque[ids.Instant] = collections.deque()
        self.unsettled = 0
        #: Ordinary requests since the start.
        self.earned_count = 0
        #: Extra requests since the start, by the part they were charged to.
        self.taken_by_part: collections.Counter[Part] = collections.Counter()
        self._unspent = 0.0
        self._decayed_at: ids.Instant | None = None

    def earn(self, now: ids.Instant) -> None:
        """Record one ordinary request."""
        self._decay(now)
        self._unspent += self.share
        self.earned_count += 1
        self.earned_at.append(now)
        self._drop_expired(self.earned_at, now)

    def available(self, now: ids.Instant) -> bool:
        """Return whether one more extra request is allowed."""
        self._decay(now)
        self._drop_expired(self.earned_at, now)
        self._drop_expired(self.settled_at, now)
        self._unspent = max(self._unspent, -float(self._in_use))
        return self.balance >= 1.0 and self.unsettled + 1 <= self._max_unsettled

    def spend(self, now: ids.Instant) -> Part | None:
        """Charge one extra request to the budget; return None if none is left."""
        if not self.available(now):
            return None
        part = Part.SHARE if self._earned >= 1.0 else Part.RESERVE
        self._unspent -= 1.0
        self.unsettled += 1
        self.taken_by_part[part] += 1
        return part

    def settle(self, now: ids.Instant) -> None:
        """Record that one extra request has arrived by now, or never will."""
        self.unsettled -= 1
        self.settled_at.append(now)

    @property
    def balance(self) -> float:
        """Return how many extra requests were allowed at the last check."""
        return self.reserve + self._earned

    @property
    def _earned(self) -> float:
        """Return the credit from ordinary requests that is still available."""
        return min(self.share * len(self.earned_at) - self._in_use, self._unspent)

    @property
    def _in_use(self) -> int:
        """Return how many extra requests may arrive in one window with the next one."""
        return len(self.settled_at) + self.unsettled

    @property
    def _max_unsettled(self) -> float:
        """Return how many extra requests may be unsettled at a time, at least one."""
        earned = self.share * len(self.earned_at)
        return max(1.0, self.reserve + UNSETTLED_SHARE * earned)

    @property
    def _decay_floor(self) -> float:
        """Return the credit that never decays: one request's, less the reserve."""
        return max(0.0, 1.0 - self.reserve)

    def _decay(self, now: ids.Instant) -> None:
        """Decay the unspent credit up to this instant."""
        if self._decayed_at is not None and self._unspent > self._decay_floor:
            elapsed_s = max(0.0, now - self._decayed_at)
            remaining_share = math.exp(
                -elapsed_s / (DECAY_SHARE_OF_WINDOW * self.window_s)
            )
            self._unspent = (
                self._decay_floor
                + (self._unspent - self._decay_floor) * remaining_share
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

    Invariant: uses are at least ``window_s / per_window`` seconds apart, and the first
    is at least one whole window after the start. So no window holds the uses of both a
    process and the one it takes over from, and a restart cannot add a burst.
    """

    def __init__(self, per_window: int, window_s: float, start: ids.Instant) -> None:
        self.spacing_s = window_s / per_window if per_window > 0 else float("inf")
        self.free_at = ids.later(start, window_s)

    def spend(self, now: ids.Instant) -> bool:
        """Use the budget once and return True; return False if it is too early."""
        if now < self.free_at or self.spacing_s == float("inf"):
            return False
        self.free_at = ids.later(now, self.spacing_s)
        return True


class RateBudget(msgspec.Struct):
    """
    A token bucket that starts empty and holds at most ``burst`` tokens.

    Invariant: up to any instant there are at most ``per_second`` uses for each second
    since the start, and in any span at most ``burst`` more than ``per_second`` gives.
    ``tokens`` is negative while uses are reserved ahead of time.
    """

    per_second: float
    burst: float
    filled_at: ids.Instant
    tokens: float = 0.0

    def reserve(self, now: ids.Instant, longest_wait_s: float) -> ids.Instant | None:
        """
        Reserve one use and return the instant at which it is due, not before ``now``.

        Return None, and reserve nothing, if that is more than ``longest_wait_s``
        seconds away.
        """
        elapsed_s = max(0.0, now - self.filled_at)
        self.tokens = min(self.burst, self.tokens + elapsed_s * self.per_second)
        self.filled_at = max(self.filled_at, now)
        deficit = 1.0 - self.tokens
        if deficit > longest_wait_s * self.per_second:
            return None
        self.tokens -= 1.0
        return now if deficit <= 0.0 else ids.later(now, deficit / self.per_second)
