"""
How large the fleet is, as far as this gateway has lately seen.

What all gateways share without asking each other (a reserve in equal parts, the
right to send to cold upstreams) goes by the largest number seen in the last minute:
hosts that are cut off, or gone, may still use their part or have just used it.

Pure. Owns what was seen when.
"""

import collections

import msgspec

from spindlenotch import ids

#: Seconds for which a number of gateways seen counts: longer than hosts are cut off
#: and than the window of a budget, far longer than upstreams are cold.
RETENTION_S = 60.0


class _Sample(msgspec.Struct, frozen=True):
    """How many gateways were seen, and until when that counts."""

    count: int
    expires_at: ids.Instant


class FleetSize:
    """
    How many gateways are in view, this one included, and how many lately were.

    ``is_alone``: none but this one is, although the settings name others.
    Invariant: ``_samples`` are in the order in which they end to count, each of
    more gateways than the next.
    """

    def __init__(self) -> None:
        self.seen = 1
        self.is_alone = False
        self._samples: collections.deque[_Sample] = collections.deque()

    @property
    def largest(self) -> int:
        """Return the largest number seen in the last minute."""
        return self._samples[0].count if self._samples else self.seen

    def update(self, seen: int, now: ids.Instant, *, has_others: bool = False) -> None:
        """Take in how many are in view now, and whether the settings name others."""
        self.seen = seen
        self.is_alone = seen <= 1 and has_others
        while self._samples and self._samples[-1].count <= seen:
            self._samples.pop()
        self._samples.append(_Sample(seen, ids.later(now, RETENTION_S)))
        while self._samples[0].expires_at <= now:
            self._samples.popleft()
