"""
Probes of upstreams whose load is not known from recent answers.

Owns the loop that sends probes. Relies on ``probe_lease`` for the permission
and the budget: a probe is sent only while this entry holds the service's
lease and the upstream's spaced budget allows it.
"""

import asyncio
from collections import abc

from spindlenotch import ids, ports
from spindlenotch.entry import entry_state, probe_lease
from spindlenotch.kernel import budgets, ejection, upstreams
from spindlenotch.peers import background

#: Seconds between two looks for upstreams to probe.
CHECK_PERIOD_S = 0.05
#: An upstream that answered or reported this recently, in seconds, needs no probe.
KNOWN_FOR_S = 1.0
#: How long a probe waits for its answer, in seconds.
PROBE_TIMEOUT_S = 0.5


class Prober:
    """
    Probes the upstreams of the services whose lease this entry holds.

    Invariant: lease and budget are both checked at the moment of sending.
    """

    def __init__(
        self,
        state: entry_state.EntryState,
        store: ports.Store,
        port: ports.UpstreamPort,
        spread_drain_notice: abc.Callable[[], None],
    ) -> None:
        self.state = state
        self.port = port
        self.spread_drain_notice = spread_drain_notice
        self.leases = probe_lease.ProbeLeases(state, store)
        self._tasks = background.BackgroundTasks()

    def start(self) -> None:
        """Start the loops."""
        self._tasks.spawn(self.leases.run())
        self._tasks.spawn(self._run())

    async def stop(self) -> None:
        """Stop the loops and all probes under way; the leases expire."""
        await self._tasks.stop()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            for service, lease in list(self.leases.lease_by_service.items()):
                self._probe_service(service, lease)

    def _probe_service(
        self, service: ids.ServiceName, lease: probe_lease.ProbeLease
    ) -> None:
        found = self.state.balancer_by_service.get(service)
        if found is None:
            return
        now = self.state.clock.now()
        for upstream in found.pool.usable_order:
            if (
                now - max(upstream.liveness.answered_at, upstream.report_at)
                < KNOWN_FOR_S
            ):
                continue
            if self._may_probe(lease, service, upstream.spec.id):
                self._tasks.spawn(self._probe(service, upstream))

    def _may_probe(
        self,
        lease: probe_lease.ProbeLease,
        service: ids.ServiceName,
        upstream: ids.UpstreamId,
    ) -> bool:
        """Check the lease and take one probe from the upstream's budget."""
        current = self.state.bundle
        now = self.state.clock.now()
        if current is None or not lease.is_held(now):
            return False
        definition = current.service_by_name.get(service)
        if definition is None:
            return False
        allowed = probe_lease.probes_per_window(current, definition)
        if allowed <= 0:
            return False
        budget = lease.budget_by_upstream.get(upstream)
        if budget is None:
            budget = budgets.SpacedBudget(
                allowed, probe_lease.WINDOW_S, lease.acquired_at
            )
            lease.budget_by_upstream[upstream] = budget
        budget.spacing_s = probe_lease.WINDOW_S / allowed
        return budget.spend(now)

    async def _probe(
        self, service: ids.ServiceName, upstream: upstreams.Upstream
    ) -> None:
        current = self.state.bundle
        cost_s = current.probe_ms / 1000 if current else 0.0
        self.state.metrics.probes.labels(service).inc()
        self.state.metrics.probe_slot_seconds.labels(service).inc(cost_s)
        report = await self.port.probe(upstream.spec.address, PROBE_TIMEOUT_S)
        now = self.state.clock.now()
        if isinstance(report, upstreams.LoadReport):
            upstream.reported(report, now)
            return
        if report is ports.UpstreamFault.DRAINING:
            self.state.leave_upstream(service, upstream.spec, "probe: draining")
            self.spread_drain_notice()
            return
        upstream.failures_in_row += 1
        found = self.state.balancer_by_service.get(service)
        if upstream.failures_in_row >= ejection.CONSECUTIVE_FAILURES and found:
            found.pool.eject(upstream, "probes fail", now)
