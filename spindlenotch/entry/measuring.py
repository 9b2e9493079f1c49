"""
Probes, within a budget that holds whoever believes what.

The right to probe a service is one lease in the store. Its holder stops by
its own clock before the store can give the right to another, checks that
again before each probe, and spaces its probes so that no window of a second
holds more than the bundle allows. Probes go only where passive knowledge has
run out. Without the store there are no probes, only passive knowledge.
"""

import asyncio
import dataclasses
from collections import abc

from spindlenotch import events, ids, ports
from spindlenotch.bundles import bundle
from spindlenotch.entry import entry_state
from spindlenotch.kernel import budgets, ejection, rendezvous, upstreams

LEASE_S = 10.0
#: The holder stops this long before the lease ends.
MARGIN_S = 2.0
CANDIDATES = 2
WINDOW_S = 1.0
LOOP_S = 0.05
RENEW_S = 3.0
#: An upstream that answered this recently needs no probe.
KNOWN_FOR_S = 1.0
PROBE_TIMEOUT_S = 0.5


def per_window(current: bundle.Bundle, service: bundle.Service) -> int:
    """Return how many probes one upstream may get in any second."""
    allowed_s = current.measuring_share * service.slots * WINDOW_S
    return int(allowed_s / (current.probe_ms / 1000) + 1e-9)


@dataclasses.dataclass(slots=True)
class Right:
    """
    The right to probe one service.

    ``until`` is reckoned from before the request that renewed it was sent,
    so it ends here before it ends in the store. ``revision`` is the one of
    the lease key, zero where this entry does not hold it.
    """

    until: ids.Instant
    revision: int
    budget_by_upstream: dict[ids.UpstreamId, budgets.SpacedBudget]
    since: ids.Instant

    def holds(self, now: ids.Instant) -> bool:
        """Tell whether probes may be sent now."""
        return self.revision > 0 and now < self.until


class Measuring:
    """
    Probes the upstreams of the services this entry holds the right for.

    Invariant: a probe is sent only while ``Right.holds`` and its upstream's
    spaced budget allows it, both checked at the moment of sending.
    """

    def __init__(
        self,
        state: entry_state.EntryState,
        store: ports.Store,
        port: ports.UpstreamPort,
        spread_drain_notice: abc.Callable[[], None],
    ) -> None:
        self.state = state
        self.store = store
        self.port = port
        self.spread_drain_notice = spread_drain_notice
        self.right_by_service: dict[ids.ServiceName, Right] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Start the loops."""
        self._spawn(self._keep_rights())
        self._spawn(self._probe_on())

    async def stop(self) -> None:
        """Stop the loops; the leases lapse."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, work: abc.Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _keep_rights(self) -> None:
        while True:
            await asyncio.sleep(RENEW_S * self.state.rng.uniform(0.8, 1.2))
            current = self.state.bundle
            if current is None or not self.state.readiness.handed_out:
                continue
            for name, service in current.service_by_name.items():
                if per_window(current, service) > 0 and self._candidate(name):
                    await self.renew(name)

    def _candidate(self, service: ids.ServiceName) -> bool:
        members = self.state.gossip.ready_members()
        zones = {m.zone for m in members}
        hosts = [
            host
            for zone in sorted(zones)
            for host in rendezvous.chosen(members, zone, f"measure/{service}", 1)
        ]
        if service in self.right_by_service:
            return True
        return self.state.config.host in hosts[:CANDIDATES]

    async def renew(self, service: ids.ServiceName) -> None:
        """Take or renew the right to probe ``service``."""
        key = f"measure/{service}"
        asked_at = self.state.clock.now()
        right = self.right_by_service.get(service)
        revision = right.revision if right else 0
        self.state.metrics.store_calls.labels("measure").inc()
        holder = self.state.incarnation.encode()
        result = await self.store.swap(key, holder, revision, LEASE_S)
        if isinstance(result, ports.Stored):
            self._granted(service, result.revision, asked_at)
        elif isinstance(result, ports.Conflict):
            self._lost(service)
        # On a fault nothing is known; the right runs out by itself. The next
        # renewal then meets a conflict and begins anew.

    def _granted(
        self, service: ids.ServiceName, revision: int, asked_at: ids.Instant
    ) -> None:
        until = ids.later(asked_at, LEASE_S - MARGIN_S)
        right = self.right_by_service.get(service)
        if right is not None and right.holds(self.state.clock.now()):
            right.until = until
            right.revision = revision
            return
        now = self.state.clock.now()
        self.right_by_service[service] = Right(until, revision, {}, now)
        events.emit(events.Event.MEASURING_STARTED, service=service)

    def _lost(self, service: ids.ServiceName) -> None:
        if self.right_by_service.pop(service, None) is not None:
            events.emit(events.Event.MEASURING_ENDED, service=service)

    async def _probe_on(self) -> None:
        while True:
            await asyncio.sleep(LOOP_S)
            for service in list(self.right_by_service):
                self._probe_service(service)

    def _probe_service(self, service: ids.ServiceName) -> None:
        found = self.state.balancer_by_service.get(service)
        right = self.right_by_service[service]
        if found is None:
            return
        now = self.state.clock.now()
        for upstream in found.pool.usable_order:
            if now - max(upstream.answered_at, upstream.report_at) < KNOWN_FOR_S:
                continue
            if self.may_probe(right, service, upstream.spec.id):
                self._spawn(self._probe(service, upstream))

    def may_probe(
        self, right: Right, service: ids.ServiceName, upstream: ids.UpstreamId
    ) -> bool:
        """Check the right and take one probe from the upstream's budget."""
        current = self.state.bundle
        now = self.state.clock.now()
        if current is None or not right.holds(now):
            return False
        settings = current.service_by_name.get(service)
        allowed = per_window(current, settings) if settings else 0
        if allowed <= 0:
            return False
        budget = right.budget_by_upstream.get(upstream)
        if budget is None:
            budget = budgets.SpacedBudget(allowed, WINDOW_S, right.since)
            right.budget_by_upstream[upstream] = budget
        budget.spacing_s = WINDOW_S / allowed
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
        if upstream.failures_in_row >= ejection.FAILURES_IN_ROW and found:
            found.pool.eject(upstream, "probes fail", now)
