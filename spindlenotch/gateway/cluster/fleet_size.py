"""
Size of the fleet, as the maximum over a sliding window of the last minute.

Gateways divide some resources without communication: a reserve in equal shares, and
permission to send to cold upstreams. The divisor is the largest size seen in the last
minute, because hosts that are partitioned off or gone may still use their share, or
have just used it.

Pure. Owns the samples of the window.
"""

import collections

import msgspec

from spindlenotch import ids

#: Seconds for which a sample counts: longer than network partitions last and than the
#: window of a budget, far longer than upstreams are cold.
RETENTION_S = 60.0


class _Sample(msgspec.Struct, frozen=True):
    """A number of gateways in view, and the end of its time in the window."""

    count: int
    expires_at: ids.Instant


class FleetSize:
    """
    Current and recent maximum number of gateways in view, this one included.

    ``is_alone``: only this gateway is in view, although the settings name others.
    Invariant: ``_samples`` are ordered by expiry, with strictly decreasing counts.
    """

    def __init__(self) -> None:
        self.seen = 1
        self.is_alone = False
        self._samples: collections.deque[_Sample] = collections.deque()

    @property
    def largest(self) -> int:
        """Return the largest number of gateways in view in the last minute."""
        return self._samples[0].count if self._samples else self.seen

    def update(self, seen: int, now: ids.Instant, *, has_others: bool = False) -> None:
        """Record the gateways in view now; ``has_others``: the settings name peers."""
        self.seen = seen
        self.is_alone = seen <= 1 and has_others
        while self._samples and self._samples[-1].count <= seen:
            self._samples.pop()
        self._samples.append(_Sample(seen, ids.later(now, RETENTION_S)))
        while self._samples[0].expires_at <= now:
            self._samples.popleft()
