"""
Filter of the upstream load reports that are sent to other gateways.

Drops repeated reports: an upstream is probed many times per service time of a request
and, in a large fleet with little load, mostly reports the same. Pure; used by
``load_exchange``. Owns the last report sent of each upstream.
"""

from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import contention, upstreams

#: Seconds after which a report equivalent to the last one is sent again. By then the
#: slowdown of the last one has a weight of two thirds (``SLOWDOWN_DECAY_S``).
REPEAT_S = 0.2
#: Slowdowns whose relative difference is at most this count as equal. Differences below
#: ``least_latency.EQUAL_COST_SHARE`` never decide a selection.
SAME_SLOWDOWN_SHARE = 0.08
#: Age in seconds above which reports are not sent.
MAX_AGE_S = 0.5


class _Sent(msgspec.Struct, frozen=True):
    """The report of an upstream that was sent last, and when it is sent again."""

    generation: int
    report: upstreams.LoadReport
    report_at: ids.Instant
    repeat_at: ids.Instant
    was_cold: bool


class ReportFilter:
    """
    Selects the reports that are to be sent.

    Invariant: a report is sent at most once. The state of upstreams that are no longer
    candidates is discarded once there are more entries than candidates.
    """

    def __init__(self) -> None:
        self._sent_by_id: dict[ids.UpstreamId, _Sent] = {}

    def due(
        self, candidates: abc.Collection[upstreams.Upstream], now: ids.Instant
    ) -> list[upstreams.Upstream]:
        """Return the candidates whose reports are due, and mark these as sent."""
        if len(self._sent_by_id) > len(candidates):
            self._discard_others(candidates)
        return [upstream for upstream in candidates if self._is_due(upstream, now)]

    def _discard_others(self, candidates: abc.Collection[upstreams.Upstream]) -> None:
        kept = {upstream.spec.id for upstream in candidates}
        for upstream_id in self._sent_by_id.keys() - kept:
            del self._sent_by_id[upstream_id]

    def _is_due(self, upstream: upstreams.Upstream, now: ids.Instant) -> bool:
        """
        Tell whether a report is recent and new, and mark it as sent if so.

        A report equivalent to the last one is sent only every ``REPEAT_S`` while the
        upstream has room. Reports of a full or slowed upstream are always sent: the
        estimates of other gateways decay to a mean, and they would send requests there.
        """
        if now - upstream.report_at > MAX_AGE_S:
            return False
        sent = self._sent_by_id.get(upstream.spec.id)
        if sent is not None and sent.generation == upstream.spec.generation:
            if sent.report_at == upstream.report_at:
                return False
            repeats = _is_equivalent(upstream.report, sent.report)
            repeats = repeats and upstream.cold.is_cold(now) == sent.was_cold
            if now < sent.repeat_at and repeats and _has_room(upstream):
                return False
        repeat_at = ids.later(now, REPEAT_S)
        self._sent_by_id[upstream.spec.id] = _Sent(
            upstream.spec.generation,
            upstream.report,
            upstream.report_at,
            repeat_at,
            upstream.cold.is_cold(now),
        )
        return True


def _is_equivalent(report: upstreams.LoadReport, other: upstreams.LoadReport) -> bool:
    """Tell whether two reports do not differ in anything that affects selection."""
    same_load = report.running + report.queued == other.running + other.queued
    change = abs(report.slowdown - other.slowdown)
    return same_load and change <= SAME_SLOWDOWN_SHARE * other.slowdown


def _has_room(upstream: upstreams.Upstream) -> bool:
    """Tell whether an upstream reports to be neither nearly full nor slowed."""
    report = upstream.report
    if report.slowdown > upstreams.SLOWED_FACTOR:
        return False
    return report.running + report.queued < contention.NEARLY_FULL * upstream.slots
