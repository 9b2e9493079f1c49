"""
How long ago a caller began to ask, from the time that it says it has left.

A caller that was refused comes back with less time left than it began with, and
says nothing else of its earlier tries. Callers of one route mostly begin with one
of few times, so these stand out among all that are stated; the age of a request
is what it lacks to the next of them. Pure; owns what was stated, by route.
"""

import math
from collections import abc

from spindlenotch.gateway.source import routing

#: Two stated times whose ratio is above this fall into one class, roughly.
BUCKET_RATIO = 0.97
LOG_BUCKET_RATIO = math.log(BUCKET_RATIO)
#: Share of a route's requests from which a class holds times that callers begin with.
#: Above what the tries of one age make, below what one of several kinds of caller
#: makes.
MIN_INITIAL_TIMEOUT_SHARE = 0.15
#: A common class is no time that callers begin with where another one lies above it
#: within this ratio: those are tries that come back after a usual wait.
MAX_INITIAL_TIMEOUT_RATIO = 0.75
#: Requests after which all counts are halved, so that they follow a change.
HALVE_COUNTS_AFTER = 400
#: Requests after which the common times are worked out anew, and before which nothing
#: is concluded.
REQUESTS_PER_UPDATE = 20
#: Stated times below this many seconds are not told apart: callers count milliseconds.
MIN_TIMEOUT_S = 0.001


class RouteTimeouts:
    """The stated times of one route's callers, in seconds."""

    def __init__(self) -> None:
        self._count_by_bucket: dict[int, float] = {}
        self._max_s_by_bucket: dict[int, float] = {}
        self._request_count = 0.0
        self._requests_until_update = REQUESTS_PER_UPDATE
        self._initial_timeouts: list[float] = []

    def age_s(self, remaining_s: float) -> float:
        """Return the age of a request with ``remaining_s``, and count it."""
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
        """Return the times that callers begin with, the longest first."""
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
    """The ages of requests, by route."""

    def __init__(self) -> None:
        self._timeouts_by_route: dict[routing.RouteName, RouteTimeouts] = {}

    def age_s(self, route: routing.RouteName, remaining_s: float) -> float:
        """Return for how many seconds a caller has asked, zero where not known."""
        timeouts = self._timeouts_by_route.setdefault(route, RouteTimeouts())
        return timeouts.age_s(remaining_s)

    def forget_missing(self, routes: abc.Iterable[routing.Route]) -> None:
        """Drop what was stated on routes that are gone."""
        names = {route.name for route in routes}
        for name in [known for known in self._timeouts_by_route if known not in names]:
            del self._timeouts_by_route[name]
