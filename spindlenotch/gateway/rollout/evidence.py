"""
What one process counts of a service's calls since an order, by version and route.

Pure. Owns the counts and the record that tells them to peers. Of the target each
upstream is counted by itself, so that a few bad ones are not taken for their version.
"""

import statistics
from collections import abc

from spindlenotch import ids
from spindlenotch.decisions import traffic_split, verdicts
from spindlenotch.gateway.rollout import usual_times
from spindlenotch.kernel import upstreams
from spindlenotch.peers import rollout_notes

#: A call is slow that takes longer than this many times what was expected of it: above
#: nearly all calls of a service whose times vary, below "several times slower".
SLOW_FACTOR = 2.5
#: Routes that are counted by themselves; the others are counted as one, so that the
#: record stays within a message.
MAX_ROUTES = 8
#: Name under which the other routes are counted.
OTHER_ROUTES = ""
#: Those upstreams of the target beyond the rows of a record are counted as one.
OTHER_UPSTREAMS = ids.UpstreamId("*")
#: The upstreams of other versions are not told apart.
OTHER_VERSIONS = ids.UpstreamId("")

#: Results that say whether the upstream did its work, and whether it failed.
FAILED_BY_RESULT = {
    upstreams.Result.ANSWERED: 0,
    upstreams.Result.FAILED: 1,
    upstreams.Result.CONNECT_FAILED: 1,
}

#: Upstreams of each version without which their reports are not compared.
MIN_REPORTING_UPSTREAMS = 3

Cell = tuple[str, ids.UpstreamId]


class Evidence:
    """
    The counts of one process by route and upstream.

    Invariant: they only grow, and there are at most ``ROWS_PER_RECORD`` of them.
    """

    def __init__(self) -> None:
        self.counts_by_cell: dict[Cell, rollout_notes.Counts] = {}
        self._routes: set[str] = set()
        self._baseline_latency = usual_times.BaselineLatency()

    @property
    def is_folded(self) -> bool:
        """Tell whether some routes are not counted by themselves."""
        return OTHER_ROUTES in self._routes

    def call_ended(
        self,
        grant: verdicts.Grant,
        result: upstreams.Result,
        *,
        is_target: bool,
        expected: traffic_split.Expected,
        now: ids.Instant,
    ) -> None:
        """Take in the end of a call; see ``traffic_split.Observer``."""
        route = grant.call.latency_key
        baseline_s = self._baseline_latency.seconds(route, expected.typical_s)
        counts = count_call(grant, result, baseline_s * expected.slowdown, now)
        if result is upstreams.Result.ANSWERED and not is_target:
            took_s = now - grant.sent_at
            self._baseline_latency.add(route, took_s / expected.slowdown)
        if counts == rollout_notes.NO_COUNTS:
            return
        upstream_id = grant.upstream.spec.id if is_target else OTHER_VERSIONS
        cell = self._cell(route, upstream_id)
        known = self.counts_by_cell.get(cell, rollout_notes.NO_COUNTS)
        self.counts_by_cell[cell] = known.plus(counts)

    def rows(self) -> tuple[rollout_notes.Row, ...]:
        """Return the counts in the form that goes to peers."""
        return tuple(
            rollout_notes.Row(route, upstream_id, counts)
            for (route, upstream_id), counts in self.counts_by_cell.items()
        )

    def _cell(self, route: str, upstream_id: ids.UpstreamId) -> Cell:
        if route not in self._routes and len(self._routes) >= MAX_ROUTES:
            route = OTHER_ROUTES
        self._routes.add(route)
        cell = (route, upstream_id)
        # Room is kept for each route's rows of other versions and other upstreams.
        max_cells = rollout_notes.ROWS_PER_RECORD - 2 * (MAX_ROUTES + 1)
        is_new = cell not in self.counts_by_cell
        if is_new and upstream_id and len(self.counts_by_cell) >= max_cells:
            return (route, OTHER_UPSTREAMS)
        return cell


def relative_slowdown(
    target: abc.Collection[upstreams.Upstream],
    others: abc.Collection[upstreams.Upstream],
) -> float:
    """
    Return how much slower than the others the target's upstreams say they work.

    Slow neighbours strike some upstreams; what most of the target's report is its own
    doing, and excuses no slow answer. 1 where too few tell to know.
    """
    target_slowdowns = _reported_slowdowns(target)
    other_slowdowns = _reported_slowdowns(others)
    if min(len(target_slowdowns), len(other_slowdowns)) < MIN_REPORTING_UPSTREAMS:
        return 1.0
    return max(
        1.0, statistics.median(target_slowdowns) / statistics.median(other_slowdowns)
    )


def _reported_slowdowns(group: abc.Iterable[upstreams.Upstream]) -> list[float]:
    """Return the mean slowdown of each upstream that has reported any."""
    reported = (upstream.reported_slowdown() for upstream in group)
    return [slowdown for slowdown in reported if slowdown is not None]


def count_call(
    grant: verdicts.Grant,
    result: upstreams.Result,
    expected_s: float,
    now: ids.Instant,
) -> rollout_notes.Counts:
    """
    Return what the end of one call counts.

    One whose caller left counts only if it was overdue by then, and one that the
    upstream refused without running it not at all.
    """
    is_slow = now - grant.sent_at > SLOW_FACTOR * expected_s
    # Not what is known by now: what takes long makes its upstream ejected and, with its
    # answer, taken to be cold, so that no slow answer would be timed.
    is_timed = not grant.to_cold
    if result is upstreams.Result.CANCELLED:
        overdue = int(is_slow and is_timed)
        return rollout_notes.Counts(timed=overdue, slow=overdue)
    failed = FAILED_BY_RESULT.get(result)
    if failed is None:
        return rollout_notes.NO_COUNTS
    timed = int(is_timed and not failed)
    return rollout_notes.Counts(1, failed, timed, int(is_slow and bool(timed)))
