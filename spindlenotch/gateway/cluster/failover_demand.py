"""
Expected demand on a region after failover or failback, before it can be measured.

Covers two cases: a region is lost, and its callers move to the others at once; a region
is back, and its callers return to gateways that have not received requests yet. Pure;
owns the times since when regions are lost and this one was last idle.
"""

from collections import abc

from spindlenotch import ids
from spindlenotch.peers import workload

#: Seconds for which moved demand is expected before it is measured: callers keep an
#: address for several seconds, and the meter then holds its busiest second for eight.
EXPECTED_S = 10.0


class FailoverDemand:
    """Tracks which regions are reachable and estimates the demand that moves here."""

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
        Return the demand that this region must be able to serve.

        ``own`` is the demand measured here; ``reachable`` and ``lost`` are the last
        known demands of the other regions. The demand of a recently lost region is
        divided evenly among the remaining ones. A region that was idle recently expects
        at least an even share of the demand on all reachable ones.
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
