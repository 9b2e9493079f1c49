"""
Asks upstreams how fast they work just now.

Only gateways that callers are sent to ask, each its part of the rate that the
fleet may use.
"""

import asyncio

from spindlenotch import balancer, ids, ports, upstreams
from spindlenotch.gateway import fleet as fleets, state as states

PROBE_TIMEOUT_S = 0.3
IDLE_S = 0.25


class Prober:
    """
    Probes each upstream on its own schedule.

    Invariant: this gateway asks one upstream at most ``probes_per_s`` times a
    second, divided by the number of gateways that callers are sent to.
    """

    def __init__(
        self, state: states.GatewayState, fleet: fleets.Fleet, port: ports.UpstreamPort
    ) -> None:
        self.state = state
        self.fleet = fleet
        self.port = port
        self._task_by_id: dict[ids.UpstreamId, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Keep one task for each upstream, while callers are sent here."""
        try:
            while True:
                self._match_tasks()
                await asyncio.sleep(IDLE_S)
        finally:
            for task in self._task_by_id.values():
                task.cancel()

    def _match_tasks(self) -> None:
        entries = self.fleet.entries()
        wanted: dict[ids.UpstreamId, tuple[balancer.Balancer, upstreams.Upstream]] = {}
        if self.state.config.host in entries and self.state.config.probes_per_s > 0:
            for service in self.state.balancer_by_service.values():
                for upstream in service.pool.usable_order:
                    wanted[upstream.spec.id] = (service, upstream)
        period_s = len(entries) / max(0.001, self.state.config.probes_per_s)
        for gone in set(self._task_by_id) - set(wanted):
            self._task_by_id.pop(gone).cancel()
        for upstream_id, (service, upstream) in wanted.items():
            task = self._task_by_id.get(upstream_id)
            if task is None or task.done():
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
