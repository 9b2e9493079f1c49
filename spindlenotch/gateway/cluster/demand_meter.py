"""
How much callers ask of this gateway: the busiest second of the last few.

Pure. The demand rises at once and falls late, so that standby gateways become
active fast and do not come and go with each burst. Counted by ``ingress``,
sent to peers with this gateway's record, used by ``active_set``.
"""

import collections

from spindlenotch import ids
from spindlenotch.peers import workload

#: Length of one span of counting.
INTERVAL_S = 1.0
#: Spans of which the busiest counts.
INTERVALS_KEPT = 8
#: Changes by a smaller share than this are not reported to peers.
REPORTED_CHANGE_SHARE = 0.2


class DemandMeter:
    """
    Counts requests and bytes in spans of a second.

    Invariant: ``reported`` is within ``REPORTED_CHANGE_SHARE`` of the busiest
    kept span after each ``update``.
    """

    def __init__(self) -> None:
        self.reported = workload.Work(0.0, 0.0)
        self._intervals: collections.deque[workload.Work] = collections.deque(
            maxlen=INTERVALS_KEPT
        )
        self._requests = 0
        self._bytes = 0
        self._interval_end = ids.Instant(float("-inf"))

    def count(self, size: int) -> None:
        """Count one request; ``size`` is the bytes of its body and the answer's."""
        self._requests += 1
        self._bytes += size

    def update(self, now: ids.Instant) -> bool:
        """Close a span that is over; tell whether ``reported`` has changed."""
        if now < self._interval_end:
            return False
        self._interval_end = ids.later(now, INTERVAL_S)
        self._intervals.append(
            workload.Work(self._requests / INTERVAL_S, self._bytes / INTERVAL_S)
        )
        self._requests = self._bytes = 0
        busiest = workload.Work(
            max(interval.requests_per_s for interval in self._intervals),
            max(interval.bytes_per_s for interval in self._intervals),
        )
        if not _differs(busiest, self.reported):
            return False
        self.reported = busiest
        return True


def _differs(new: workload.Work, old: workload.Work) -> bool:
    pairs = (
        (new.requests_per_s, old.requests_per_s),
        (new.bytes_per_s, old.bytes_per_s),
    )
    return any(abs(a - b) > REPORTED_CHANGE_SHARE * max(a, b) for a, b in pairs)
