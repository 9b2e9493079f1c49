"""
What callers of one region will ask of another before that can be measured.

Answers two moments: a region is lost, and its callers come to the others at once; a
region is back, and its callers return to gateways that nobody has asked anything yet.
Pure. Owns since when that is so.
"""

from collections import abc

from spindlenotch import ids
from spindlenotch.peers import workload

#: Seconds for which demand is expected that is not measured yet: callers keep an
#: address for some seconds, and the meter then holds its busiest second for eight.
EXPECTED_S = 10.0


class FailoverDemand:
    """Follows which regions are heard, and adds what is expected of their callers."""

    def __init__(self) -> None:
        self._lost_at_by_region: dict[ids.RegionName, ids.Instant] = {}
        self._idle_at = ids.Instant(float("-inf"))

    def expected(
        self,
        own: workload.Work,
        reachable: abc.Mapping[ids.RegionName, workload.Work],
        lost: abc.Mapping[ids.RegionName, workload.Work],
        now: ids.Instant,
    ) -> workload.Work:
        """
        Return the demand for which this region must be able to serve.

        ``own`` is measured here; ``reachable`` and ``lost`` are the last demands of the
        regions that are and that are no longer heard of.
        """
        self._update(own, reachable, lost, now)
        moved = [
            demand
            for region, demand in lost.items()
            if now - self._lost_at_by_region[region] < EXPECTED_S
        ]
        parts = len(reachable) + 1
        needed = _sum([own, _even_share(_sum(moved), parts)])
        if now - self._idle_at < EXPECTED_S:
            return _max(needed, _even_share(_sum([own, *reachable.values()]), parts))
        return needed

    def _update(
        self,
        own: workload.Work,
        reachable: abc.Mapping[ids.RegionName, workload.Work],
        lost: abc.Mapping[ids.RegionName, workload.Work],
        now: ids.Instant,
    ) -> None:
        for region in lost:
            self._lost_at_by_region.setdefault(region, now)
        for region in reachable:
            self._lost_at_by_region.pop(region, None)
        if own == workload.NO_WORK:
            self._idle_at = now


def _sum(works: abc.Iterable[workload.Work]) -> workload.Work:
    requests_per_s = bytes_per_s = 0.0
    for work in works:
        requests_per_s += work.requests_per_s
        bytes_per_s += work.bytes_per_s
    return workload.Work(requests_per_s, bytes_per_s)


def _even_share(work: workload.Work, parts: int) -> workload.Work:
    return workload.Work(work.requests_per_s / parts, work.bytes_per_s / parts)


def _max(one: workload.Work, other: workload.Work) -> workload.Work:
    return workload.Work(
        max(one.requests_per_s, other.requests_per_s),
        max(one.bytes_per_s, other.bytes_per_s),
    )
