"""
Mean latency of a service's calls at the versions that an order replaces.

Performs no I/O and reads no clock. The target must not be measured against its own
answers, nor for long against the default that a process starts with. Owns one estimate
for each route.
"""

from spindlenotch.kernel import latency

#: Number of answers from which a route's own estimate is used.
MIN_ANSWERS = 5
#: Least weight of the newest answer in the estimate; until then all weigh the same.
MIN_WEIGHT = 0.05


class BaselineLatency:
    """Mean latencies by route, each normalised to an upstream without slowdown."""

    def __init__(self) -> None:
        self._mean_by_route: dict[str, latency.Mean] = {}
        self._answers_by_route: dict[str, int] = {}

    def add(self, route: str, seconds: float) -> None:
        """Add an answer of a version other than the target."""
        answers = self._answers_by_route.get(route, 0) + 1
        self._answers_by_route[route] = answers
        mean = self._mean_by_route.setdefault(route, latency.Mean(seconds))
        mean.weight = max(MIN_WEIGHT, 1.0 / answers)
        mean.add(seconds)

    def seconds(self, route: str, default_s: float) -> float:
        """Return a route's latency in seconds, ``default_s`` with too few answers."""
        if self._answers_by_route.get(route, 0) < MIN_ANSWERS:
            return default_s
        return self._mean_by_route[route].value
