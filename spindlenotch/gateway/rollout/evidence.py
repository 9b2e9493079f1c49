"""
Counts of a service's calls in one process since an order, by version and route.

Performs no I/O and reads no clock. Owns the counts and the record in which they are
sent to peers. Each upstream of the target is counted separately, so that a few bad ones
are not mistaken for a bad version.
"""

import statistics
from collections import abc

from spindlenotch import ids
from spindlenotch.decisions import traffic_split, verdicts
from spindlenotch.gateway.rollout import usual_times
from spindlenotch.kernel import upstreams
from spindlenotch.peers import rollout_notes

#: Multiple of its expected time above which a call is slow: above nearly all calls of a
#: service whose times vary, below "several times slower".
SLOW_FACTOR = 2.5
#: Routes that are counted separately; the others are counted as one, so that the record
#: fits into a message.
MAX_ROUTES = 8
#: Name under which the other routes are counted.
OTHER_ROUTES = ""
#: Id under which the target's upstreams beyond a record's rows are counted together.
OTHER_UPSTREAMS = ids.UpstreamId("*")
#: Id under which all upstreams of other versions are counted together.
OTHER_VERSIONS = ids.UpstreamId("")

#: Results that show whether the upstream did its work: 1 if it failed, 0 if not.
FAILED_BY_RESULT = {
    upstreams.Result.ANSWERED: 0,
    upstreams.Result.FAILED: 1,
    upstreams.Result.CONNECT_FAILED: 1,
}

#: Least upstreams of each version that must report a slowdown for a comparison.
MIN_REPORTING_UPSTREAMS = 3

Cell = tuple[str, ids.UpstreamId]


class Evidence:
    """
    The counts of one process by route and upstream.

    Invariant: counts only grow, and there are at most ``ROWS_PER_RECORD`` rows.
    """

    def __init__(self) -> None:
        self.counts_by_cell: dict[Cell, rollout_notes.Counts] = {}
        self._routes: set[str] = set()
        self._baseline_latency = usual_times.BaselineLatency()

    @property
    def is_folded(self) -> bool:
        """Return whether some routes are counted together."""
        return OTHER_ROUTES in self._routes

    def call_ended(
        self,
        grant: verdicts.Grant,
        result: upstreams.Result,
        *,
        is_target: bool,
        expected: traffic_split.ExpectedLatency,
        now: ids.Instant,
    ) -> None:
        """Count the end of a call; see ``traffic_split.Observer``."""
        route = grant.call.latency_key
        baseline_s = self._baseline_latency.seconds(route, expected.typical_s)
        expected_s = baseline_s * expected.slowdown * _overload(grant.upstream)
        counts = count_call(grant, result, expected_s, now)
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
        """Return the counts as rows of a record for peers."""
        return tuple(
            rollout_notes.Row(route, upstream_id, counts)
            for (route, upstream_id), counts in self.counts_by_cell.items()
        )

    def _cell(self, route: str, upstream_id: ids.UpstreamId) -> Cell:
        if route not in self._routes and len(self._routes) >= MAX_ROUTES:
            route = OTHER_ROUTES
        self._routes.add(route)
        cell = (route, upstream_id)
        # Rows are reserved for each route's other versions and other upstreams.
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
    Return the target's slowdown relative to that of the other versions.

    Upstreams report their slowdown. Noisy neighbours affect some upstreams; a slowdown
    that most of the target's report is caused by the version, and excuses no slow
    answer. 1 if too few upstreams report.
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


def _overload(upstream: upstreams.Upstream) -> float:
    """
    Return how many times its slots an upstream was using, 1 if no more than those.

    Processes do not see in time what others send it; its version is not to blame.
    """
    used = upstream.report.running + upstream.report.queued + 1
    return max(1.0, used / max(1, upstream.slots))


def count_call(
    grant: verdicts.Grant,
    result: upstreams.Result,
    expected_s: float,
    now: ids.Instant,
) -> rollout_notes.Counts:
    """
    Return the counts for the end of one call.

    A call whose caller left counts only if it was overdue by then; one that the
    upstream refused without running it does not count.
    """
    is_slow = now - grant.sent_at > SLOW_FACTOR * expected_s
    # Based on what was known when the call was sent, not at its end: a long call gets
    # its upstream ejected and, once answered, taken to be cold, so that no slow answer
    # would be timed.
    is_timed = not grant.to_cold
    if result is upstreams.Result.CANCELLED:
        overdue = int(is_slow and is_timed)
        return rollout_notes.Counts(timed=overdue, slow=overdue)
    failed = FAILED_BY_RESULT.get(result)
    if failed is None:
        return rollout_notes.NO_COUNTS
    timed = int(is_timed and not failed)
    return rollout_notes.Counts(1, failed, timed, int(is_slow and bool(timed)))
