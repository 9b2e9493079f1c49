"""
Exchange of upstream load reports between gateways.

Besides its load, a report states until when an upstream is cold, and the rate limit
that it names.

A prober sends the reports of its upstreams to the active gateways of its zone, which
send the reports of their zone to the active gateways of the other zones. The pools hold
the newest report of each upstream. A report carries its age, not a time stamp, because
the clocks of hosts differ.
"""

import asyncio
from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.gateway import state
from spindlenotch.gateway.cluster import fleet, limit_news, report_filter
from spindlenotch.kernel import backpressure, shared_rate, upstreams
from spindlenotch.peers import gossip, messages, peer_link, workload

#: Seconds between two rounds of sending.
SEND_PERIOD_S = 0.04
#: Maximum share of its time that a gateway spends on rounds of sending.
MAX_SENDING_SHARE = 0.1
#: Maximum of the period in seconds, whatever a round takes.
MAX_SEND_PERIOD_S = 0.2
#: The same for a gateway that has nothing to send, as most in a large fleet: idle loops
#: take CPU time.
IDLE_PERIOD_S = 0.2
#: Decimal places of what is sent: slowdowns in hundredths, the precision in which they
#: are reported, and ages in milliseconds. Twelve compressed reports take 333 bytes, not
#: 463 as with two digits each.
SLOWDOWN_DIGITS = 2
AGE_DIGITS = 3
#: Seconds for which it is announced that an upstream is warm again: several rounds,
#: because messages may be lost.
COLD_END_ANNOUNCED_S = 1.0


class LoadExchange:
    """
    Sends and receives load reports.

    ``probed`` holds the upstreams that this gateway probes itself. Invariant: each
    gateway sends a report at most once.
    """

    def __init__(
        self,
        gateway_state: state.GatewayState,
        gateway_fleet: fleet.Fleet,
        link: peer_link.PeerLink,
        probed: abc.Collection[ids.UpstreamId],
    ) -> None:
        self.state = gateway_state
        self.fleet = gateway_fleet
        self.link = link
        self.probed = probed
        self._filter = report_filter.ReportFilter()
        self._limit_announcements = limit_news.LimitAnnouncements()

    async def run(self) -> None:
        """Send new reports until cancelled."""
        while True:
            active_zones = self.fleet.active_zones()
            if self.probed or self.state.local_member.host in active_zones:
                began_at = self.state.clock.now()
                self._send(active_zones)
                took_s = self.state.clock.now() - began_at
                await asyncio.sleep(send_period_s(took_s))
            else:
                await self.state.wakeups.sleep(IDLE_PERIOD_S)

    def message_received(
        self, message: messages.Message, handled: gossip.Handled
    ) -> None:
        """Apply the reports of a message to the pools that hold older ones."""
        if not message.loads:
            return
        now = self.state.clock.now()
        for load in message.loads:
            for service_balancer in self.state.balancer_by_service.values():
                upstream = service_balancer.pool.upstream_by_id.get(load.upstream)
                if upstream is None:
                    continue
                _apply_cold_state(upstream, load, now)
                _apply_limit(upstream, load, now)
                _apply_health(upstream, load, now)
                report_at = ids.Instant(now - load.age_s)
                if not _is_of_current_start(load, report_at, upstream):
                    continue
                if report_at > upstream.report_at:
                    report = upstreams.LoadReport(
                        load.running, load.queued, load.slowdown
                    )
                    service_balancer.pool.probe_reported(upstream, report, report_at)

    def _send(self, active_zones: dict[ids.HostId, ids.ZoneName]) -> None:
        targets = self._targets(active_zones)
        records = self._records(active_zones)
        for start in range(0, len(records), messages.LOADS_PER_MESSAGE):
            message = messages.Message(
                self.state.gossip.local,
                0,
                reads_source=self.state.reads_source,
                loads=tuple(records[start : start + messages.LOADS_PER_MESSAGE]),
            )
            self.link.send(message, targets)

    def _targets(
        self, active_zones: dict[ids.HostId, ids.ZoneName]
    ) -> list[ids.Address]:
        """
        Return the addresses of the gateways to send to.

        An active gateway sends to all active ones, a standby one to those of its zone.
        """
        local_member = self.state.local_member
        known = self.state.gossip.known_by_host
        return [
            known[host].record.peer_address
            for host, zone in active_zones.items()
            if host in known
            and (local_member.host in active_zones or zone == local_member.zone)
        ]

    def _records(
        self, active_zones: dict[ids.HostId, ids.ZoneName]
    ) -> list[workload.LoadRecord]:
        """Return the records to send now: due reports and due limits."""
        now = self.state.clock.now()
        due = self._filter.due(self._reported_upstreams(active_zones), now)
        limited = self._limit_announcements.due(self._usable(), now)
        record_by_id = {one.spec.id: _record(one, now) for one in due}
        for upstream in limited:
            record = record_by_id.get(upstream.spec.id) or _record(upstream, now)
            record_by_id[upstream.spec.id] = _with_limit(record, upstream, now)
        return list(record_by_id.values())

    def _usable(self) -> abc.Iterator[upstreams.Upstream]:
        """Yield the usable upstreams of all services, those that are not leaving."""
        for service_balancer in self.state.balancer_by_service.values():
            yield from service_balancer.pool.usable_order

    def _reported_upstreams(
        self, active_zones: dict[ids.HostId, ids.ZoneName]
    ) -> list[upstreams.Upstream]:
        """Return the upstreams whose reports this gateway sends."""
        pools = [balancer.pool for balancer in self.state.balancer_by_service.values()]
        local_member = self.state.local_member
        if local_member.host not in active_zones:
            return [
                pool.upstream_by_id[upstream_id]
                for upstream_id in self.probed
                for pool in pools
                if upstream_id in pool.upstream_by_id
            ]
        return [
            upstream
            for upstream in self._usable()
            if upstream.spec.zone == local_member.zone
            or upstream.spec.id in self.probed
        ]


def send_period_s(round_s: float) -> float:
    """Return the seconds to the next round if the last one took ``round_s``."""
    period_s = max(SEND_PERIOD_S, round_s / MAX_SENDING_SHARE)
    return min(MAX_SEND_PERIOD_S, period_s)


def _is_of_current_start(
    load: workload.LoadRecord, at: ids.Instant, upstream: upstreams.Upstream
) -> bool:
    """
    Tell whether a report made at ``at`` is from the known start of an upstream.

    If its start is unknown on either side, reports from before this gateway knew the
    upstream are rejected, because they may be from an earlier start.
    """
    if load.born == upstream.spec.born:
        return True
    if load.born is None or upstream.spec.born is None:
        return at >= upstream.known_since
    return False


def _apply_cold_state(
    upstream: upstreams.Upstream, load: workload.LoadRecord, now: ids.Instant
) -> None:
    """Apply a peer's information on until when an upstream is cold, if it is newer."""
    if load.cold_s is None:
        return
    reported_at = ids.Instant(now - load.cold_age_s)
    if _is_of_current_start(load, reported_at, upstream):
        upstream.cold.update(ids.later(now, load.cold_s), reported_at)


def _apply_limit(
    upstream: upstreams.Upstream, load: workload.LoadRecord, now: ids.Instant
) -> None:
    """Apply a rate limit that a peer has received from an upstream, if it is newer."""
    if load.limit_age_s is None:
        return
    reported_at = ids.Instant(now - load.limit_age_s)
    if _is_of_current_start(load, reported_at, upstream):
        upstream.backpressure.limit.update(load.limit_per_s, reported_at, now)


def _apply_health(
    upstream: upstreams.Upstream, load: workload.LoadRecord, now: ids.Instant
) -> None:
    """Apply a health check by a peer that found an upstream well."""
    if load.well_age_s is None:
        return
    checked_at = ids.Instant(now - load.well_age_s)
    if _is_of_current_start(load, checked_at, upstream):
        upstream.backpressure.record_well(checked_at)


def _with_limit(
    record: workload.LoadRecord, upstream: upstreams.Upstream, now: ids.Instant
) -> workload.LoadRecord:
    """Return a copy of ``record`` that also states the upstream's rate limit."""
    limit = upstream.backpressure.limit
    return msgspec.structs.replace(
        record,
        limit_per_s=limit.per_s,
        limit_age_s=round(now - limit.heard_at, AGE_DIGITS),
    )


def _record(upstream: upstreams.Upstream, now: ids.Instant) -> workload.LoadRecord:
    record = _load_record(upstream, now)
    cold = upstream.cold
    if (
        cold.reported_at == shared_rate.LONG_AGO
        or cold.until + COLD_END_ANNOUNCED_S < now
    ):
        return record
    return msgspec.structs.replace(
        record,
        cold_s=round(max(0.0, cold.until - now), AGE_DIGITS),
        cold_age_s=round(now - cold.reported_at, AGE_DIGITS),
    )


def _load_record(upstream: upstreams.Upstream, now: ids.Instant) -> workload.LoadRecord:
    report, well_at = upstream.report, upstream.backpressure.well_at
    is_new = now < ids.later(upstream.known_since, backpressure.MAX_WITHHELD_S)
    was_checked = well_at >= upstream.known_since
    return workload.LoadRecord(
        upstream=upstream.spec.id,
        running=report.running,
        queued=report.queued,
        slowdown=round(report.slowdown, SLOWDOWN_DIGITS),
        age_s=round(now - upstream.report_at, AGE_DIGITS),
        born=upstream.spec.born,
        well_age_s=round(now - well_at, AGE_DIGITS) if is_new and was_checked else None,
    )
