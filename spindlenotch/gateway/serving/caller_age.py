"""
Estimates when a caller first sent a request, from the timeout of this attempt.

A caller that retries after a refusal states a shorter remaining timeout; nothing
else in the request tells of the earlier attempts. The callers of one route mostly
use one of a few initial timeouts, which therefore are the most frequent of the
stated values. The age of a request is the difference between its timeout and the
next longer initial timeout. Pure; owns the histogram of timeouts of each route.
"""

import math
from collections import abc

from spindlenotch.gateway.source import routing

#: Approximate ratio between the bounds of a histogram bucket.
BUCKET_RATIO = 0.97
LOG_BUCKET_RATIO = math.log(BUCKET_RATIO)
#: Share of a route's requests from which a bucket is taken for an initial timeout.
#: Higher than the share of retries of one age, lower than that of one of several
#: kinds of caller.
MIN_INITIAL_TIMEOUT_SHARE = 0.15
#: An initial timeout must be below this ratio of the next longer one. A frequent
#: timeout closer to it comes from retries after a typical wait.
MAX_INITIAL_TIMEOUT_RATIO = 0.75
#: Number of counted requests at which all counts are halved, to follow changes.
HALVE_COUNTS_AFTER = 400
#: Number of requests between two updates of the initial timeouts; until the first
#: update all ages are zero.
REQUESTS_PER_UPDATE = 20
#: Seconds; shorter timeouts count as this one, as callers state milliseconds.
MIN_TIMEOUT_S = 0.001


class RouteTimeouts:
    """Histogram of the timeouts stated on one route, in seconds."""

    def __init__(self) -> None:
        self._count_by_bucket: dict[int, float] = {}
        self._max_s_by_bucket: dict[int, float] = {}
        self._request_count = 0.0
        self._requests_until_update = REQUESTS_PER_UPDATE
        self._initial_timeouts: list[float] = []

    def age_s(self, remaining_s: float) -> float:
        """Count a request with timeout ``remaining_s``; return its age in seconds."""
        self._count(remaining_s)
        longer = [
            initial_s
            for initial_s in self._initial_timeouts
            if initial_s >= remaining_s
        ]
        return min(longer, default=remaining_s) - remaining_s

    def _count(self, remaining_s: float) -> None:
        bucket = int(math.log(max(MIN_TIMEOUT_S, remaining_s)) / LOG_BUCKET_RATIO)
        self._count_by_bucket[bucket] = self._count_by_bucket.get(bucket, 0.0) + 1.0
        self._max_s_by_bucket[bucket] = max(
            self._max_s_by_bucket.get(bucket, 0.0), remaining_s
        )
        self._request_count += 1.0
        self._requests_until_update -= 1
        if self._requests_until_update <= 0:
            self._requests_until_update = REQUESTS_PER_UPDATE
            self._initial_timeouts = self._find_initial_timeouts()
            if self._request_count >= HALVE_COUNTS_AFTER:
                self._halve()

    def _find_initial_timeouts(self) -> list[float]:
        """Return the initial timeouts in seconds, the longest first."""
        candidates = [
            self._max_s_by_bucket[bucket]
            for bucket, count in self._count_by_bucket.items()
            if count >= MIN_INITIAL_TIMEOUT_SHARE * self._request_count
        ]
        initial_timeouts: list[float] = []
        for initial_s in sorted(candidates, reverse=True):
            if (
                not initial_timeouts
                or initial_s < MAX_INITIAL_TIMEOUT_RATIO * initial_timeouts[-1]
            ):
                initial_timeouts.append(initial_s)
        return initial_timeouts

    def _halve(self) -> None:
        self._request_count /= 2.0
        for bucket, count in list(self._count_by_bucket.items()):
            if count < 1.0:
                del self._count_by_bucket[bucket], self._max_s_by_bucket[bucket]
            else:
                self._count_by_bucket[bucket] = count / 2.0


class RequestAges:
    """Estimates the ages of requests, by route."""

    def __init__(self) -> None:
        self._timeouts_by_route: dict[routing.RouteName, RouteTimeouts] = {}

    def age_s(self, route: routing.RouteName, remaining_s: float) -> float:
        """Return the seconds since the caller's first attempt, zero if unknown."""
        timeouts = self._timeouts_by_route.setdefault(route, RouteTimeouts())
        return timeouts.age_s(remaining_s)

    def forget_missing(self, routes: abc.Iterable[routing.Route]) -> None:
        """Drop the histograms of routes that are no longer configured."""
        names = {route.name for route in routes}
        for name in [known for known in self._timeouts_by_route if known not in names]:
            del self._timeouts_by_route[name]
