"""
Log events and metrics on the contents of the source and their changes.

Relies on ``bad_items`` for which invalid items are logged; decides nothing itself.
"""

from collections import abc

from spindlenotch import events, ids, metrics
from spindlenotch.gateway.source import bad_items, routing, sources

#: Maximum number of upstream ids in one log line.
MAX_LOGGED_UPSTREAMS = 20


class SourceEvents:
    """Logs and counts invalid items of the source and restarts of upstreams."""

    def __init__(self, gateway_metrics: metrics.Metrics) -> None:
        self.metrics = gateway_metrics
        self.bad_items = bad_items.BadItemLog()

    def report_bad(
        self, items: abc.Collection[sources.BadItem], now: ids.Instant
    ) -> None:
        """Count the invalid items, and log those whose fault is new."""
        for item in items:
            self.metrics.bad_items.labels(item.key.partition("/")[0]).inc()
        for item in self.bad_items.select_for_log(items, now):
            events.emit(
                events.Event.SOURCE_ITEM_REFUSED, key=item.key, reason=item.reason
            )

    def report_restart(self, ended: sources.ListedUpstream) -> None:
        """Count and log the restart of an upstream under the same id."""
        self.metrics.upstream_restarts.labels(ended.service).inc()
        events.emit(
            events.Event.UPSTREAM_RESTARTED, service=ended.service, upstream=ended.id
        )


def report_withdrawn(
    upstream_ids: abc.Collection[ids.UpstreamId], learned_from: str, revision: int
) -> None:
    """Log the upstreams that get no new work after a list was applied, if any."""
    if not upstream_ids:
        return
    events.emit(
        events.Event.UPSTREAMS_WITHDRAWN,
        learned_from=learned_from,
        revision=revision,
        count=len(upstream_ids),
        upstreams=",".join(sorted(upstream_ids)[:MAX_LOGGED_UPSTREAMS]),
    )


def report_restored(previous_era: int, era: int, revision: int) -> None:
    """Log that the source was restored from a backup."""
    events.emit(
        events.Event.SOURCE_RESTORED,
        era=era,
        before=previous_era,
        revision=revision,
    )


def report_evacuations(
    before: frozenset[ids.ZoneName], now: frozenset[ids.ZoneName]
) -> None:
    """Log the zones whose evacuation has started or ended."""
    for zone in sorted(now - before):
        events.emit(events.Event.ZONE_EVACUATED, zone=zone)
    for zone in sorted(before - now):
        events.emit(events.Event.ZONE_RESTORED, zone=zone)


def report_remarks(configuration: routing.Configuration) -> None:
    """Log the refused routes of a configuration and the remarks on it."""
    for route in configuration.refused_routes:
        events.emit(
            events.Event.ROUTE_REFUSED,
            version=configuration.version,
            route=route.name,
            host=route.host,
            prefix=route.prefix,
            reason=route.reason,
        )
    for remark in configuration.remarks:
        events.emit(
            events.Event.CONFIGURATION_REMARK,
            version=configuration.version,
            reason=remark,
        )
