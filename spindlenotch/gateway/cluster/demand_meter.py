"""
Demand of callers on this gateway: the maximum over a sliding window of seconds.

A host that refuses requests for lack of processor time serves less than its settings
let expect. Its demand is then stated in requests of a host that keeps to them, so that
as many gateways become active as are needed.

Pure. The maximum rises at once and falls after a delay, so that standby gateways
become active quickly and do not flap with each burst. ``ingress`` counts the requests,
this gateway's record carries the demand to peers, and ``active_set`` uses it.
"""

import collections

from spindlenotch import ids
from spindlenotch.peers import workload

#: Length of one counting interval, in seconds.
INTERVAL_S = 1.0
#: Intervals in the sliding window whose maximum is the demand.
INTERVALS_KEPT = 8
#: Factor by which the cost of a request falls in an interval without refusals.
COST_DECAY = 0.9
#: Maximum cost of a request, relative to what the settings let expect.
MAX_COST = 20.0
#: Relative change of the demand above which it is reported to peers.
REPORTED_CHANGE_SHARE = 0.2


class DemandMeter:
    """
    Counts requests and bytes per interval and reports their maximum.

    Invariant: after each ``update``, ``reported`` is within ``REPORTED_CHANGE_SHARE``
    of the busiest interval in the window.
    """

    def __init__(self, expected_per_s: float = 0.0) -> None:
        """``expected_per_s``: requests that the host should serve, 0 if unknown."""
        self._expected_per_s = expected_per_s
        self._cost = 1.0
        self._refused = 0
        self.reported = workload.Work(0.0, 0.0)
        self._intervals: collections.deque[workload.Work] = collections.deque(
            maxlen=INTERVALS_KEPT
        )
        self._requests = 0
        self._bytes = 0
        self._interval_end = ids.Instant(float("-inf"))

    def count(self, size: int) -> None:
        """Count one request; ``size`` is the bytes of its body and its response's."""
        self._requests += 1
        self._bytes += size

    def count_refused(self) -> None:
        """Note that a counted request was refused for lack of processor time."""
        self._refused += 1

    def update(self, now: ids.Instant) -> bool:
        """Close an interval that has ended; tell whether ``reported`` has changed."""
        if now < self._interval_end:
            return False
        self._interval_end = ids.later(now, INTERVAL_S)
        self._update_cost()
        self._intervals.append(
            workload.Work(
                self._cost * self._requests / INTERVAL_S, self._bytes / INTERVAL_S
            )
        )
        self._requests = self._refused = self._bytes = 0
        busiest = workload.Work(
            max(interval.requests_per_s for interval in self._intervals),
            max(interval.bytes_per_s for interval in self._intervals),
        )
        if not _differs(busiest, self.reported):
            return False
        self.reported = busiest
        return True

    def _update_cost(self) -> None:
        """Adapt the cost of a request to what was served beside refusals."""
        if not self._refused:
            self._cost = max(1.0, COST_DECAY * self._cost)
            return
        served_per_s = max(1.0, (self._requests - self._refused) / INTERVAL_S)
        self._cost = min(MAX_COST, max(1.0, self._expected_per_s / served_per_s))


def _differs(new: workload.Work, old: workload.Work) -> bool:
    pairs = (
        (new.requests_per_s, old.requests_per_s),
        (new.bytes_per_s, old.bytes_per_s),
    )
    return any(abs(a - b) > REPORTED_CHANGE_SHARE * max(a, b) for a, b in pairs)
