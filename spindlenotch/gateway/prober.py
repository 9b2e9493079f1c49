"""
Asks upstreams how fast they work just now, and passes the answers on.

Each upstream is asked by one gateway of its own zone, one that callers are not
sent to if there is any: probing then takes no time from requests, and does not
cross zones. What is heard goes to the entries of the zone, and from there to
those of the others.
"""

import asyncio
import collections
import math

from spindlenotch import ids, ports
from spindlenotch.decisions import balancer
from spindlenotch.gateway import fleet as fleets, state as states
from spindlenotch.kernel import ownership, rendezvous, upstreams
from spindlenotch.peers import messages, workload

PROBE_TIMEOUT_S = 0.3
IDLE_S = 0.25
#: So many upstreams are worth a prober of their own: each one tells its zone's
#: entries many times a second, which must not grow with the fleet.
UPSTREAMS_PER_PROBER = 6
DUTY = "probes"
#: How often what was heard is passed on to the other entries.
TELL_S = 0.04
#: Reports older than this are not passed on.
TELL_FRESH_S = 0.5


class Prober:
    """
    Probes each upstream on its own schedule.

    Invariant: this gateway asks an upstream at most ``probes_per_s`` times a
    second; with equal views, no other gateway asks it too.
    """

    def __init__(
        self, state: states.GatewayState, fleet: fleets.Fleet, port: ports.UpstreamPort
    ) -> None:
        self.state = state
        self.fleet = fleet
        self.port = port
        self._task_by_id: dict[ids.UpstreamId, asyncio.Task[None]] = {}
        self._told_by_id: dict[ids.UpstreamId, ids.Instant] = {}

    async def run(self) -> None:
        """Keep one task for each upstream that falls to this gateway."""
        try:
            while True:
                self._match_tasks()
                await asyncio.sleep(IDLE_S)
        finally:
            for task in self._task_by_id.values():
                task.cancel()

    async def tell(self) -> None:
        """Pass on what was heard to the other entries until cancelled."""
        while True:
            zone_by_host = self.fleet.entry_zones()
            if self._task_by_id or self.state.local_member.host in zone_by_host:
                self._tell(zone_by_host)
                await asyncio.sleep(TELL_S)
            else:
                # Neither probes nor is told: most of a large fleet.
                await asyncio.sleep(IDLE_S)

    def take(self, message: messages.Message) -> None:
        """Take in what another entry heard."""
        now = self.state.clock.now()
        for load in message.loads:
            for service in self.state.balancer_by_service.values():
                upstream = service.pool.upstream_by_id.get(load.upstream)
                if upstream is not None:
                    said_at = ids.Instant(now - load.age_s)
                    if said_at > upstream.report_at:
                        report = upstreams.LoadReport(
                            load.running, load.queued, load.slowdown
                        )
                        service.pool.reported(upstream, report, said_at)

    def _tell(self, zone_by_host: dict[ids.HostId, ids.ZoneName]) -> None:
        now = self.state.clock.now()
        targets = self._audience(zone_by_host)
        news: list[workload.LoadRecord] = []
        for service in self.state.balancer_by_service.values():
            for upstream in service.pool.usable_order:
                if self._speaks_for(upstream, zone_by_host):
                    self._add_news(news, upstream, now)
        for start in range(0, len(news), messages.LOADS_PER_MESSAGE):
            loads = tuple(news[start : start + messages.LOADS_PER_MESSAGE])
            message = messages.Message(
                self.state.gossip.local,
                0,
                reads_source=self.state.reads_source,
                loads=loads,
            )
            self.fleet.link.send(message, targets)

    def _audience(
        self, zone_by_host: dict[ids.HostId, ids.ZoneName]
    ) -> list[ids.Address]:
        """Return whom to tell: entries tell entries, others those of their zone."""
        local_member = self.state.local_member
        known = self.state.gossip.known_by_host
        return [
            known[host].record.peer_address
            for host, zone in zone_by_host.items()
            if host in known
            and (local_member.host in zone_by_host or zone == local_member.zone)
        ]

    def _speaks_for(
        self,
        upstream: upstreams.Upstream,
        zone_by_host: dict[ids.HostId, ids.ZoneName],
    ) -> bool:
        """Tell whether news of an upstream is passed on from here."""
        if upstream.spec.id in self._task_by_id:
            return True
        local_member = self.state.local_member
        return (
            local_member.host in zone_by_host
            and upstream.spec.zone == local_member.zone
        )

    def _add_news(
        self,
        news: list[workload.LoadRecord],
        upstream: upstreams.Upstream,
        now: ids.Instant,
    ) -> None:
        upstream_id = upstream.spec.id
        age_s = now - upstream.report_at
        if age_s > TELL_FRESH_S:
            return
        if self._told_by_id.get(upstream_id) == upstream.report_at:
            return
        self._told_by_id[upstream_id] = upstream.report_at
        report = upstream.report
        news.append(
            workload.LoadRecord(
                upstream_id, report.running, report.queued, report.slowdown, age_s
            )
        )

    def _match_tasks(self) -> None:
        wanted: dict[ids.UpstreamId, tuple[balancer.Balancer, upstreams.Upstream]] = {}
        if self.state.config.probes_per_s > 0 and self.state.ready:
            probers = self._probers()
            for service in self.state.balancer_by_service.values():
                for upstream in service.pool.usable_order:
                    if self._is_mine(upstream, probers):
                        wanted[upstream.spec.id] = (service, upstream)
        period_s = 1.0 / max(0.001, self.state.config.probes_per_s)
        for gone in set(self._task_by_id) - set(wanted):
            self._task_by_id.pop(gone).cancel()
        for upstream_id, (service, upstream) in wanted.items():
            task = self._task_by_id.get(upstream_id)
            if task is None or task.done():
                work = self._probe(service, upstream, period_s)
                self._task_by_id[upstream_id] = asyncio.ensure_future(work)

    def _probers(self) -> dict[ids.ZoneName, list[ids.HostId]]:
        """Return who probes in each zone: as many as its upstreams are worth."""
        count_by_zone = collections.Counter(
            upstream.spec.zone
            for service in self.state.balancer_by_service.values()
            for upstream in service.pool.usable_order
        )
        return {
            zone: rendezvous.chosen(
                [ownership.Member(zone, host) for host in hosts],
                zone,
                DUTY,
                math.ceil(max(1, count_by_zone[zone]) / UPSTREAMS_PER_PROBER),
            )
            for zone, hosts in self.fleet.standing_by().items()
        }

    def _is_mine(
        self,
        upstream: upstreams.Upstream,
        probers: dict[ids.ZoneName, list[ids.HostId]],
    ) -> bool:
        hosts = probers.get(upstream.spec.zone)
        if hosts is None:
            hosts = sorted(h for some in probers.values() for h in some)
        if self.state.local_member.host not in hosts:
            return False
        members = [
            ownership.Member(self.state.local_member.zone, host) for host in hosts
        ]
        chosen = rendezvous.chosen(
            members, self.state.local_member.zone, upstream.spec.id, 1
        )
        return chosen == [self.state.local_member.host]

    async def _probe(
        self,
        service: balancer.Balancer,
        upstream: upstreams.Upstream,
        period_s: float,
    ) -> None:
        rng = self.state.rng
        await asyncio.sleep(rng.uniform(0, period_s))
        spec = upstream.spec
        table = self.state.table
        if table is None:
            return
        known = table.configuration.service_by_name.get(service.service.name)
        path = None if known is None else known.health_path
        name = service.service.name
        # Ended after a while, so that a new rate or path is taken in.
        for _ in range(max(1, int(1.0 / period_s))):
            self.state.metrics.probes.labels(name).inc()
            report = await self.port.probe(spec.address, PROBE_TIMEOUT_S, path)
            if isinstance(report, upstreams.LoadReport):
                service.pool.reported(upstream, report, self.state.clock.now())
            await asyncio.sleep(period_s * rng.uniform(0.9, 1.1))
