"""
The rollout runs of this process, in step with orders, statuses and balancers.

Owns one run for each service that has an order, or whose order was withdrawn while
upstreams of its target are left. Performs no I/O except for log events.
"""

from collections import abc

from spindlenotch import events, ids, metrics
from spindlenotch.decisions import balancer
from spindlenotch.gateway.rollout import orders, runs
from spindlenotch.gateway.source import sources
from spindlenotch.kernel import upstream_pool
from spindlenotch.peers import rollout_notes

#: Reason for which upstreams of a replaced version get no new calls.
REPLACED = "its version was replaced"
#: Revision of a run without an order: it keeps calls from a version whose order was
#: withdrawn and whose status is not "completed".
NO_REVISION = 0


class Registry:
    """
    Runs by service.

    Invariant: the split of a service's balancer is that of its run, or None if there is
    no run or it is completed.
    """

    def __init__(self, share: float, gateway_metrics: metrics.Metrics) -> None:
        self.share = share
        self.metrics = gateway_metrics
        self.orders = orders.Orders()
        self.run_by_service: dict[ids.ServiceName, runs.Run] = {}

    def reconcile(
        self, balancer_by_service: abc.Mapping[ids.ServiceName, balancer.Balancer]
    ) -> None:
        """Bring runs and splits in line with the orders; called after each change."""
        services = self.orders.services() | set(self.run_by_service)
        for service in sorted(services):
            service_balancer = balancer_by_service.get(service)
            if service_balancer is not None:
                self._reconcile_service(service, service_balancer)

    def end_at(self, service: ids.ServiceName) -> ids.Instant:
        """Return the deadline of a service's order."""
        return self.orders.end_at_by_service.get(service, ids.NEVER)

    def status_of(self, run: runs.Run) -> sources.RolloutStatus | None:
        """Return the known status of a run's order, None if there is none."""
        return self.orders.status_of(run.order)

    def lacks_final_status(self, run: runs.Run) -> bool:
        """Return whether the source has lost the final status of a run's order."""
        if run.final is None:
            return False
        if self.orders.order_by_service.get(run.order.service) != run.order:
            return False
        status = self.orders.status_of(run.order)
        return status is None or status.state is sources.RolloutState.RUNNING

    def apply_note(self, note: rollout_notes.PhaseNote) -> runs.Run | None:
        """Apply a peer's phase; return the run if its phase has advanced."""
        run = self.run_by_service.get(note.service)
        if run is None or run.order.revision != note.revision:
            return None
        return run if run.raise_phase(note.phase) else None

    def _reconcile_service(
        self, service: ids.ServiceName, service_balancer: balancer.Balancer
    ) -> None:
        order = self.orders.order_by_service.get(service)
        if order is None:
            self._end_run(service, service_balancer.pool)
        else:
            self._ensure_run(order, service_balancer.pool)
        run = self.run_by_service.get(service)
        if run is None or run.final is sources.RolloutState.COMPLETED:
            service_balancer.split = None
        else:
            run.update_upstreams(service_balancer.pool)
            service_balancer.split = run.split

    def _ensure_run(
        self, order: sources.RolloutOrder, pool: upstream_pool.Pool
    ) -> None:
        """Start the run of an order if there is none, and apply its status."""
        run = self.run_by_service.get(order.service)
        status = self.orders.status_of(order)
        is_final = (
            status is not None and status.state is not sources.RolloutState.RUNNING
        )
        if run is None or not orders.is_same_order(run.order, order):
            run = self._begin(order, run)
            if not is_final:
                self._report_begin(run)
        elif is_final and run.final is None:
            self._retire_replaced(run, status, pool)
        # A rewritten order has another revision and era, but its run keeps its counts.
        run.order = order
        if status is not None and run.finish(status.state):
            events.emit(
                events.Event.ROLLOUT_ENDED,
                service=order.service,
                target=order.target,
                state=status.state.value,
            )

    def _begin(
        self, order: sources.RolloutOrder, previous: runs.Run | None
    ) -> runs.Run:
        excluded_versions = self._excluded_versions(order, previous)
        run = runs.Run(order, self.share, excluded_versions, self.metrics)
        self.run_by_service[order.service] = run
        return run

    def _excluded_versions(
        self, order: sources.RolloutOrder, previous: runs.Run | None
    ) -> frozenset[ids.SoftwareVersion]:
        """Return the versions of earlier orders that were not completed."""
        excluded_versions: set[ids.SoftwareVersion] = set()
        if (
            previous is not None
            and previous.final is not sources.RolloutState.COMPLETED
        ):
            excluded_versions |= {
                previous.order.target,
                *previous.split.excluded_versions,
            }
        status = self.orders.status_by_service.get(order.service)
        if status is not None and _is_incomplete(status):
            excluded_versions.add(status.target)
        return frozenset(excluded_versions - {order.target})

    def _report_begin(self, run: runs.Run) -> None:
        events.emit(
            events.Event.ROLLOUT_STARTED,
            service=run.order.service,
            target=run.order.target,
            by_s=run.order.by_s,
            revision=run.order.revision,
            share=run.split.share,
            held=",".join(sorted(run.split.excluded_versions)),
        )

    def _retire_replaced(
        self,
        run: runs.Run,
        status: sources.RolloutStatus | None,
        pool: upstream_pool.Pool,
    ) -> None:
        """Stop new calls to the upstreams that a completed order replaced."""
        if status is None or status.state is not sources.RolloutState.COMPLETED:
            return
        replaced = [
            candidate
            for candidate in pool.usable_order
            if candidate.spec.version != run.order.target
        ]
        for upstream in replaced:
            pool.leave(upstream.spec.id, upstream.spec.generation, REPLACED)

    def _end_run(self, service: ids.ServiceName, pool: upstream_pool.Pool) -> None:
        """Keep calls from the target of a withdrawn order while it has upstreams."""
        run = self.run_by_service.get(service)
        if run is None:
            run = self._begin_without_order(service)
        if run is None:
            return
        target = run.order.target
        has_target = any(
            candidate.spec.version == target for candidate in pool.usable_order
        )
        if run.final is sources.RolloutState.COMPLETED or not has_target:
            self.run_by_service.pop(service, None)
        elif run.finish(sources.RolloutState.ROLLED_BACK):
            events.emit(events.Event.ROLLOUT_WITHDRAWN, service=service, target=target)

    def _begin_without_order(self, service: ids.ServiceName) -> runs.Run | None:
        """Start a run that keeps calls from a version that was not completed."""
        status = self.orders.status_by_service.get(service)
        if status is None or not _is_incomplete(status):
            return None
        order = sources.RolloutOrder(service, status.target, 0.0, NO_REVISION)
        return self._begin(order, None)


def _is_incomplete(status: sources.RolloutStatus) -> bool:
    """Return whether a status is about a version that has not taken over."""
    is_completed = status.state is sources.RolloutState.COMPLETED
    return status.target != sources.NO_TARGET and not is_completed
