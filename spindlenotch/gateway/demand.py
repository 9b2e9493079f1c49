"""
How much callers ask of this gateway: the busiest of the last seconds.

Pure. Rises at once and falls late, so that entries step in fast and do not
come and go with each wave.
"""

import collections

from spindlenotch import ids
from spindlenotch.peers import workload

SPAN_S = 1.0
SPANS_KEPT = 8
#: A change by less than this share is not told to peers.
NEWS_SHARE = 0.2


class DemandMeter:
    """
    Counts requests and bytes in spans of a second.

    Invariant: ``told`` is within ``NEWS_SHARE`` of the busiest kept span once
    ``news`` has been asked.
    """

    def __init__(self) -> None:
        self.told = workload.Work(0.0, 0.0)
        self._spans: collections.deque[workload.Work] = collections.deque(
            maxlen=SPANS_KEPT
        )
        self._requests = 0
        self._bytes = 0
        self._span_end = ids.Instant(float("-inf"))

    def count(self, size: int) -> None:
        """Count one request whose bodies, its own and the answer's, are so long."""
        self._requests += 1
        self._bytes += size

    def news(self, now: ids.Instant) -> bool:
        """Close spans that are over; tell whether peers should hear of a change."""
        if now < self._span_end:
            return False
        self._span_end = ids.later(now, SPAN_S)
        self._spans.append(workload.Work(self._requests / SPAN_S, self._bytes / SPAN_S))
        self._requests = self._bytes = 0
        busiest = workload.Work(
            max(span.requests_per_s for span in self._spans),
            max(span.bytes_per_s for span in self._spans),
        )
        if not _differs(busiest, self.told):
            return False
        self.told = busiest
        return True


def _differs(new: workload.Work, old: workload.Work) -> bool:
    pairs = (
        (new.requests_per_s, old.requests_per_s),
        (new.bytes_per_s, old.bytes_per_s),
    )
    return any(abs(a - b) > NEWS_SHARE * max(a, b) for a, b in pairs)
