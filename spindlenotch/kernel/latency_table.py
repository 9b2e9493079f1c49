"""
Latency estimates of one service: over all its calls, and per kind of call.

Owns the running estimates; ``Pool`` updates them with each answer and the decisions
read them. A kind of call is identified by its latency key: the operation in the
entry daemon, the route in the gateway. All times are in seconds.
"""

from collections import abc

import msgspec

from spindlenotch.kernel import latency

#: Weight of the newest answer in the mean over all calls of a service.
OVERALL_WEIGHT = 0.02
#: Weight of the newest answer in the mean over one kind of call.
KEY_WEIGHT = 0.05
#: Quantile of the latency above which a call counts as slow: 95 in 100 are faster.
SLOW_QUANTILE = 0.95
#: Minimum of a latency in seconds, so that estimates can be divided by.
MIN_LATENCY_S = 1e-6
#: Initial estimate of that quantile, as a multiple of the typical latency.
SLOW_FACTOR = 3.0


class KeyLatency(msgspec.Struct, frozen=True):
    """The estimates of one kind of call."""

    typical: latency.Mean
    p95: latency.QuantileTracker


class LatencyTable:
    """
    Estimates by latency key, and one over all calls.

    For a key that is not tracked, the estimate over all calls is used.

    Invariant: all estimates are above zero.
    """

    def __init__(self, typical_s: float, keys: abc.Iterable[str]) -> None:
        self.overall = latency.Mean(max(MIN_LATENCY_S, typical_s), OVERALL_WEIGHT)
        self.latency_by_key: dict[str, KeyLatency] = {}
        for key in keys:
            self.track(key, typical_s)

    def track(self, key: str, typical_s: float) -> None:
        """Start to track a kind of call; do nothing if it is tracked already."""
        if key not in self.latency_by_key:
            typical_s = max(MIN_LATENCY_S, typical_s)
            self.latency_by_key[key] = KeyLatency(
                latency.Mean(typical_s, KEY_WEIGHT),
                latency.QuantileTracker(SLOW_QUANTILE, typical_s * SLOW_FACTOR),
            )

    def typical_s(self, key: str) -> float:
        """Return the mean latency of one kind of call."""
        known = self.latency_by_key.get(key)
        return self.overall.value if known is None else known.typical.value

    def p95_s(self, key: str) -> float:
        """Return the 95th percentile of the latency of one kind of call."""
        known = self.latency_by_key.get(key)
        if known is None:
            return SLOW_FACTOR * self.overall.value
        return known.p95.value

    def add(self, key: str, took_s: float) -> None:
        """Update the estimates with the latency of one answer."""
        took_s = max(MIN_LATENCY_S, took_s)
        self.overall.add(took_s)
        known = self.latency_by_key.get(key)
        if known is not None:
            known.typical.add(took_s)
            known.p95.add(took_s)
