"""
How long the calls of a service take at the versions that an order replaces.

Pure. What the target is judged by must not come from its own answers, nor for long from
the guess that a process starts with. Owns one estimate for each route.
"""

from spindlenotch.kernel import latency

#: Answers of a route from which on its own estimate is used.
MIN_ANSWERS = 5
#: Least weight of the newest answer in the estimate; before, all count alike.
MIN_WEIGHT = 0.05


class BaselineLatency:
    """The mean times by route, each at an upstream that nothing slows."""

    def __init__(self) -> None:
        self._mean_by_route: dict[str, latency.Mean] = {}
        self._answers_by_route: dict[str, int] = {}

    def add(self, route: str, seconds: float) -> None:
        """Take in an answer of another version than the target."""
        answers = self._answers_by_route.get(route, 0) + 1
        self._answers_by_route[route] = answers
        mean = self._mean_by_route.setdefault(route, latency.Mean(seconds))
        mean.weight = max(MIN_WEIGHT, 1.0 / answers)
        mean.add(seconds)

    def seconds(self, route: str, default_s: float) -> float:
        """Return the usual time of a route; ``default_s`` where too few have ended."""
        if self._answers_by_route.get(route, 0) < MIN_ANSWERS:
            return default_s
        return self._mean_by_route[route].value
