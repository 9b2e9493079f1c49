"""
Asks upstreams how fast they work just now, and passes the answers on.

Only gateways that callers are sent to ask: each the upstreams of its own zone
(and those of zones without such a gateway), so that an upstream is asked by
few and little of it crosses zones. What they hear they tell each other.
"""

import asyncio

from spindlenotch import balancer, gossip, ids, ports, upstreams
from spindlenotch.gateway import fleet as fleets, state as states

PROBE_TIMEOUT_S = 0.3
IDLE_S = 0.25
#: How often what was heard is passed on to the other entries.
TELL_S = 0.06
#: Reports older than this are not passed on.
TELL_FRESH_S = 0.5


class Prober:
    """
    Probes each upstream on its own schedule.

    Invariant: this gateway asks one upstream at most ``probes_per_s`` times a
    second, divided by the number of gateways that ask it too.
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
        """Keep one task for each upstream, while callers are sent here."""
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
            await asyncio.sleep(TELL_S)
            if self._task_by_id:
                self._tell()

    def take(self, message: gossip.Message) -> None:
        """Take in what another entry heard."""
        now = self.state.clock.now()
        for load in message.loads:
            for service in self.state.balancer_by_service.values():
                upstream = service.pool.upstream_by_id.get(load.upstream)
                if upstream is not None:
                    said_at = ids.Instant(now - load.age_s)
                    if said_at > upstream.report_at:
                        report = upstreams.LoadReport(
                            load.running, load.queued, load.pace
                        )
                        service.pool.reported(upstream, report, said_at)

    def _tell(self) -> None:
        now = self.state.clock.now()
        news: list[gossip.LoadNews] = []
        for service in self.state.balancer_by_service.values():
            for upstream in service.pool.usable_order:
                if upstream.spec.id in self._task_by_id:
                    self._add_news(news, upstream, now)
        if not news:
            return
        entries = self.fleet.entries()
        known = self.state.gossip.known_by_host
        targets = [known[h].news.peer_address for h in entries if h in known]
        for start in range(0, len(news), gossip.LOADS_PER_MESSAGE):
            loads = tuple(news[start : start + gossip.LOADS_PER_MESSAGE])
            message = gossip.Message(
                self.state.gossip.me,
                0,
                reads_source=self.state.reads_source,
                loads=loads,
            )
            self.fleet.link.tell(message, targets)

    def _add_news(
        self,
        news: list[gossip.LoadNews],
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
            gossip.LoadNews(
                upstream_id, report.running, report.queued, report.pace, age_s
            )
        )

    def _match_tasks(self) -> None:
        zone_by_host = self.fleet.entry_zones()
        me = self.state.me
        zones = set(zone_by_host.values())
        beside = sum(zone == me.zone for zone in zone_by_host.values())
        wanted: dict[
            ids.UpstreamId, tuple[balancer.Balancer, upstreams.Upstream, int]
        ] = {}
        if me.host in zone_by_host and self.state.config.probes_per_s > 0:
            for service in self.state.balancer_by_service.values():
                for upstream in service.pool.usable_order:
                    if upstream.spec.zone == me.zone:
                        wanted[upstream.spec.id] = (service, upstream, beside)
                    elif upstream.spec.zone not in zones:
                        everyone = len(zone_by_host)
                        wanted[upstream.spec.id] = (service, upstream, everyone)
        for gone in set(self._task_by_id) - set(wanted):
            self._task_by_id.pop(gone).cancel()
        for upstream_id, (service, upstream, askers) in wanted.items():
            task = self._task_by_id.get(upstream_id)
            if task is None or task.done():
                period_s = askers / max(0.001, self.state.config.probes_per_s)
                work = self._probe(service, upstream, period_s)
                self._task_by_id[upstream_id] = asyncio.ensure_future(work)

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
