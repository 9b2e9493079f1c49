"""
Latencies of many requests in bounded memory, for the load command and the demo.
"""

import math

from hdrh import histogram

#: By definition.
MICROSECONDS_PER_S = 1_000_000
#: Longest latency that is told apart, in microseconds; beyond it none is recorded.
MAX_LATENCY_US = 60 * MICROSECONDS_PER_S
#: Decimal digits that a latency keeps.
SIGNIFICANT_DIGITS = 3


class Latencies:
    """A histogram of latencies."""

    def __init__(self) -> None:
        self._histogram = histogram.HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Add the latency of one request."""
        microseconds = max(1, math.floor(seconds * MICROSECONDS_PER_S))
        self._histogram.record_value(microseconds)

    def count(self) -> int:
        """Return how many latencies were recorded."""
        return int(self._histogram.get_total_count())

    def percentile_ms(self, percent: float) -> float:
        """Return the latency that ``percent`` of the requests do not exceed."""
        return float(self._histogram.get_value_at_percentile(percent)) / 1000
