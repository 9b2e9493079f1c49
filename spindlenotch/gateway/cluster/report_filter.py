"""
Which load reports of upstreams are worth sending to other gateways.

Answers the calm of a large fleet: an upstream is probed many times in the time of its
work, and reports the same again and again. Pure; ``load_sharing`` asks it and sends.
Owns which report of each upstream was sent last.
"""

from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import contention, upstreams

#: Time after which a report is repeated that says the same as the one before. By
#: then the slowdown that it told counts for two thirds (``SLOWDOWN_DECAY_S``).
REPEAT_S = 0.2
#: Slowdowns within this share of each other count as the same. Below
#: ``least_latency.EQUAL_COST_SHARE`` they never decide.
SAME_SLOWDOWN_SHARE = 0.08
#: Reports older than this are not passed on.
MOST_AGE_S = 0.5


class _Sent(msgspec.Struct, frozen=True):
    """The report of an upstream that was sent last, and when to repeat it."""

    generation: int
    report: upstreams.LoadReport
    report_at: ids.Instant
    repeat_at: ids.Instant
    was_cold: bool


class ReportFilter:
    """
    Tells which reports are to be sent.

    Invariant: a report is sent at most once; nothing is kept of upstreams that are no
    longer among those whose reports are sent.
    """

    def __init__(self) -> None:
        self._sent_by_id: dict[ids.UpstreamId, _Sent] = {}

    def due(
        self, senders: abc.Collection[upstreams.Upstream], now: ids.Instant
    ) -> list[upstreams.Upstream]:
        """Return those whose reports are to be sent now; they count as sent."""
        if len(self._sent_by_id) > len(senders):
            self._forget_others(senders)
        return [upstream for upstream in senders if self._is_due(upstream, now)]

    def _forget_others(self, senders: abc.Collection[upstreams.Upstream]) -> None:
        kept = {upstream.spec.id for upstream in senders}
        for upstream_id in self._sent_by_id.keys() - kept:
            del self._sent_by_id[upstream_id]

    def _is_due(self, upstream: upstreams.Upstream, now: ids.Instant) -> bool:
        """
        Tell whether a report is recent and tells anything new; it counts as sent then.

        One that says the same as the last, and that there is room, is sent only now
        and then. That an upstream is full or slowed is repeated each time: what others
        estimate fades to a mean, and would let them send there.
        """
        if now - upstream.report_at > MOST_AGE_S:
            return False
        sent = self._sent_by_id.get(upstream.spec.id)
        if sent is not None and sent.generation == upstream.spec.generation:
            if sent.report_at == upstream.report_at:
                return False
            repeats = _says_the_same(upstream.report, sent.report)
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


def _says_the_same(report: upstreams.LoadReport, other: upstreams.LoadReport) -> bool:
    """Tell whether two reports differ in nothing that decides where calls go."""
    same_load = report.running + report.queued == other.running + other.queued
    change = abs(report.slowdown - other.slowdown)
    return same_load and change <= SAME_SLOWDOWN_SHARE * other.slowdown


def _has_room(upstream: upstreams.Upstream) -> bool:
    """Tell whether an upstream reports that it is neither nearly full nor slowed."""
    report = upstream.report
    if report.slowdown > upstreams.SLOWED_FACTOR:
        return False
    return report.running + report.queued < contention.NEARLY_FULL * upstream.slots
