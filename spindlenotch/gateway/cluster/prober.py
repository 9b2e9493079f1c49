"""
Asks upstreams how fast they work at the moment.

Each upstream is asked by one gateway of its own zone, a standby one if there
is any (see ``duties``): probing then takes no time from requests and does not
cross zones. Owns one task for each upstream that falls to this gateway; what
upstreams report goes into their pools, and from there to other gateways (see
``load_sharing``).
"""

import asyncio

import msgspec

from spindlenotch import ids, ports
from spindlenotch.gateway import jitter, service_defaults, state
from spindlenotch.gateway.cluster import duties, fleet
from spindlenotch.gateway.source import routing
from spindlenotch.kernel import hearing, service_policy, upstream_pool, upstreams

#: Longest wait for the answer to a probe, in seconds.
PROBE_TIMEOUT_S = hearing.MAX_REPORT_LAG_S
#: Time between two looks at which upstreams fall to this gateway.
MATCH_PERIOD_S = 0.2
#: A probing task ends after about this long and is begun anew with the settings of that
#: moment.
TASK_S = 1.0
#: Probes in the time that the work of a service takes on an idle upstream: what one
#: has to do changes with the work that begins and ends there. By the mean of the
#: routes, as nearly every service may at times get the shortest work. Not by the
#: latency seen, which grows under load, when reports matter most.
PROBES_PER_WORK = 10.0
#: Most seconds between two probes of an upstream: slowdowns come and go within half a
#: second.
MOST_PERIOD_S = 0.25
#: Keeps the period finite where the setting is nearly zero.
LEAST_PROBES_PER_S = 0.001


class Target(msgspec.Struct, frozen=True):
    """An upstream to probe, with its service and pool."""

    service: ids.ServiceName
    pool: upstream_pool.Pool
    upstream: upstreams.Upstream


def with_coldness(
    report: upstreams.LoadReport, service: service_policy.ServicePolicy
) -> upstreams.LoadReport:
    """
    Return the report of a health answer, with what its silence on coldness says.

    Where what cold upstreams bear is bounded, they say that they are cold, and the
    others say nothing. Elsewhere only their entries in the source tell.
    """
    if report.cold_s is None and service.cold_rate_per_s is not None:
        return msgspec.structs.replace(report, cold_s=0.0)
    return report


class Prober:
    """
    Probes each upstream on its own schedule.

    Invariant: this gateway asks an upstream at most ``probes_per_s`` times a
    second; with equal views, no other gateway asks it too.
    """

    def __init__(
        self,
        gateway_state: state.GatewayState,
        gateway_fleet: fleet.Fleet,
        port: ports.UpstreamPort,
    ) -> None:
        self.state = gateway_state
        self.fleet = gateway_fleet
        self.port = port
        self.task_by_id: dict[ids.UpstreamId, asyncio.Task[None]] = {}
        self._target_by_id: dict[ids.UpstreamId, Target] = {}
        self._target_key: tuple[object, ...] = ()

    async def run(self) -> None:
        """Keep one task for each upstream that falls to this gateway."""
        try:
            while True:
                self._match_tasks()
                await self.state.wakeups.sleep(MATCH_PERIOD_S)
        finally:
            for task in self.task_by_id.values():
                task.cancel()

    def _match_tasks(self) -> None:
        key = self._inputs()
        if key != self._target_key:
            self._target_key = key
            before, self._target_by_id = self._target_by_id, self._targets()
            for upstream_id in list(self.task_by_id):
                if _is_other(before[upstream_id], self._target_by_id.get(upstream_id)):
                    self.task_by_id.pop(upstream_id).cancel()
        for upstream_id, target in self._target_by_id.items():
            task = self.task_by_id.get(upstream_id)
            if task is None or task.done():
                work = self._probe(target)
                self.task_by_id[upstream_id] = asyncio.ensure_future(work)

    def _inputs(self) -> tuple[object, ...]:
        """Return what decides which upstreams fall to this gateway."""
        balancers = self.state.balancer_by_service.values()
        return (
            self.fleet.view(),
            self.state.ready,
            self.state.config.probes_per_s,
            *(balancer.pool.revision for balancer in balancers),
        )

    def _targets(self) -> dict[ids.UpstreamId, Target]:
        """Return the upstreams that fall to this gateway."""
        if self.state.config.probes_per_s <= 0 or not self.state.ready:
            return {}
        standby_by_zone = self.fleet.view().standby_by_zone
        local_host = self.state.local_member.host
        if local_host not in standby_by_zone.get(self.state.local_member.zone, ()):
            return {}
        usable = [
            Target(name, service_balancer.pool, upstream)
            for name, service_balancer in self.state.balancer_by_service.items()
            for upstream in service_balancer.pool.usable_order
            if not self.state.is_remote(upstream.spec.zone)
        ]
        specs = [target.upstream.spec for target in usable]
        probers_by_zone = duties.probers(standby_by_zone, specs)
        return {
            target.upstream.spec.id: target
            for target in usable
            if duties.is_prober(local_host, target.upstream.spec, probers_by_zone)
        }

    def _period_s(self, configuration: routing.Configuration, target: Target) -> float:
        """Return the time between two probes of an upstream, in seconds."""
        allowed_s = 1.0 / max(LEAST_PROBES_PER_S, self.state.config.probes_per_s)
        work_s = [
            service_defaults.typical_latency_s(route)
            for route in configuration.routes
            if any(part.service == target.service for part in route.parts)
        ]
        wanted_s = sum(work_s) / max(1, len(work_s)) / PROBES_PER_WORK
        return max(allowed_s, min(wanted_s, MOST_PERIOD_S))

    async def _probe(self, target: Target) -> None:
        rng = self.state.rng
        table = self.state.table
        if table is None:
            return
        period_s = self._period_s(table.configuration, target)
        await asyncio.sleep(rng.uniform(0, period_s))
        spec = table.configuration.service_by_name.get(target.service)
        health_path = None if spec is None else spec.health_path
        address = target.upstream.spec.address
        for _ in range(max(1, int(TASK_S / period_s))):
            self.state.metrics.probes.labels(target.service).inc()
            report = await self.port.probe(address, PROBE_TIMEOUT_S, health_path)
            # A fault leaves the last report; how old it is counts where
            # upstreams are compared.
            if isinstance(report, upstreams.LoadReport):
                now = self.state.clock.now()
                told = with_coldness(report, target.pool.service)
                target.pool.probe_reported(target.upstream, told, now)
            await asyncio.sleep(jitter.jittered(period_s, rng))


def _is_other(before: Target, now: Target | None) -> bool:
    """
    Tell whether an upstream is no longer to be probed as it was before.

    One that has started again is another: what it answers is not of the earlier one.
    """
    return now is None or now.upstream is not before.upstream
