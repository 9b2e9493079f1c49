"""
Active health probing: polls upstreams for load reports.

Each upstream is probed by one gateway of its own zone, a standby one if there is any
(see ``duties``), so that probing takes no time from requests and does not cross zones.
Owns one task per upstream assigned to this gateway. Reports go into the upstream's pool
and from there to other gateways (see ``load_exchange``).
"""

import asyncio

import msgspec

from spindlenotch import ids, ports
from spindlenotch.gateway import jitter, service_defaults, state
from spindlenotch.gateway.cluster import duties, fleet
from spindlenotch.gateway.source import routing
from spindlenotch.kernel import hearing, service_policy, upstream_pool, upstreams

#: Timeout of a probe, in seconds.
PROBE_TIMEOUT_S = hearing.MAX_REPORT_LAG_S
#: Seconds between two checks which upstreams are assigned to this gateway.
RECONCILE_PERIOD_S = 0.2
#: Approximate lifetime of a probing task in seconds; the next one starts with the
#: settings then in force.
TASK_LIFETIME_S = 1.0
#: Probes per service time of a request on an idle upstream: the load of an upstream
#: changes as requests start and end there. Based on the mean over the service's routes,
#: because nearly every service may at times get the shortest requests. Not based on the
#: observed latency, which grows under load, when reports matter most.
PROBES_PER_SERVICE_TIME = 10.0
#: Upper bound of the seconds between two probes of an upstream: slowdowns come and go
#: within half a second.
MAX_PERIOD_S = 0.25
#: Lower bound of the probes per second, which keeps the period finite where the setting
#: is nearly zero.
MIN_PROBES_PER_S = 0.001


class Target(msgspec.Struct, frozen=True):
    """An upstream to probe, with its service and pool."""

    service: ids.ServiceName
    pool: upstream_pool.Pool
    upstream: upstreams.Upstream


def with_default_cold_s(
    report: upstreams.LoadReport, service: service_policy.ServicePolicy
) -> upstreams.LoadReport:
    """
    Return the report of a health response, with ``cold_s`` 0 where its absence says so.

    Where the request rate of cold upstreams is limited, a cold upstream states so in
    its response, and one that does not is warm. For other services only the entries of
    the upstreams in the source tell.
    """
    if report.cold_s is None and service.cold_rate_per_s is not None:
        return msgspec.structs.replace(report, cold_s=0.0)
    return report


class Prober:
    """
    Probes each upstream on its own schedule.

    Invariant: this gateway probes an upstream at most ``probes_per_s`` times per
    second; with equal views, no other gateway probes it as well.
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
        self._target_inputs: tuple[object, ...] = ()

    async def run(self) -> None:
        """Run one probing task per assigned upstream until cancelled."""
        try:
            while True:
                self._reconcile_tasks()
                await self.state.wakeups.sleep(RECONCILE_PERIOD_S)
        finally:
            for task in self.task_by_id.values():
                task.cancel()

    def _reconcile_tasks(self) -> None:
        inputs = self._inputs()
        if inputs != self._target_inputs:
            self._target_inputs = inputs
            previous, self._target_by_id = self._target_by_id, self._targets()
            for upstream_id in list(self.task_by_id):
                if _is_replaced(
                    previous[upstream_id], self._target_by_id.get(upstream_id)
                ):
                    self.task_by_id.pop(upstream_id).cancel()
        for upstream_id, target in self._target_by_id.items():
            task = self.task_by_id.get(upstream_id)
            if task is None or task.done():
                probing = self._probe(target)
                self.task_by_id[upstream_id] = asyncio.ensure_future(probing)

    def _inputs(self) -> tuple[object, ...]:
        """Return the inputs that determine the upstreams assigned to this gateway."""
        balancers = self.state.balancer_by_service.values()
        return (
            self.fleet.view(),
            self.state.ready,
            self.state.config.probes_per_s,
            *(balancer.pool.revision for balancer in balancers),
        )

    def _targets(self) -> dict[ids.UpstreamId, Target]:
        """Return the upstreams that this gateway is to probe."""
        if self.state.config.probes_per_s <= 0 or not self.state.ready:
            return {}
        hosts_by_zone = self.fleet.view().probing_by_zone
        local_host = self.state.local_member.host
        if local_host not in hosts_by_zone.get(self.state.local_member.zone, ()):
            return {}
        usable = [
            Target(name, service_balancer.pool, upstream)
            for name, service_balancer in self.state.balancer_by_service.items()
            for upstream in service_balancer.pool.usable_order
            if not self.state.is_remote(upstream.spec.zone)
        ]
        specs = [target.upstream.spec for target in usable]
        probers_by_zone = duties.probers(hosts_by_zone, specs)
        return {
            target.upstream.spec.id: target
            for target in usable
            if duties.is_prober(local_host, target.upstream.spec, probers_by_zone)
        }

    def _period_s(self, configuration: routing.Configuration, target: Target) -> float:
        """Return the time between two probes of an upstream, in seconds."""
        allowed_s = 1.0 / max(MIN_PROBES_PER_S, self.state.config.probes_per_s)
        service_times_s = [
            service_defaults.typical_latency_s(route)
            for route in configuration.routes
            if any(part.service == target.service for part in route.parts)
        ]
        wanted_s = (
            sum(service_times_s)
            / max(1, len(service_times_s))
            / PROBES_PER_SERVICE_TIME
        )
        return max(allowed_s, min(wanted_s, MAX_PERIOD_S))

    async def _probe(self, target: Target) -> None:
        rng = self.state.rng
        table = self.state.table
        if table is None:
            return
        period_s = self._period_s(table.configuration, target)
        await asyncio.sleep(rng.uniform(0, period_s))
        health_path = table.configuration.health_path(target.service)
        address = target.upstream.spec.address
        for _ in range(max(1, int(TASK_LIFETIME_S / period_s))):
            self.state.metrics.probes.labels(target.service).inc()
            report = await self.port.probe(address, PROBE_TIMEOUT_S, health_path)
            # After a failed probe the last report stays; selection takes its age into
            # account.
            if isinstance(report, upstreams.LoadReport):
                now = self.state.clock.now()
                effective_report = with_default_cold_s(report, target.pool.service)
                target.pool.probe_reported(target.upstream, effective_report, now)
                target.upstream.backpressure.record_well(now)
            await asyncio.sleep(jitter.jittered(period_s, rng))


def _is_replaced(previous: Target, current: Target | None) -> bool:
    """
    Tell whether the probing task of an upstream is obsolete.

    A restarted upstream counts as another one: its responses must not be attributed to
    its earlier start.
    """
    return current is None or current.upstream is not previous.upstream
