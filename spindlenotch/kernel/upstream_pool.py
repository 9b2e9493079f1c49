"""
The upstreams of one service as one process sees them.

Keeps statistics over the whole service and ejects upstreams that fail or fall silent
(``ejection``); ``upstream_set`` has the upstreams and the owned slots. Provides the
decisions with estimates, such as the load of an upstream.
"""

import random

from spindlenotch import ids
from spindlenotch.kernel import (
    completion_rate,
    contention,
    dispatch_schedule,
    ejection,
    latency,
    latency_table,
    ownership,
    service_policy,
    shared_rate,
    upstream_set,
    upstreams,
)

#: Time constant with which a report of other processes' requests decays, as a multiple
#: of the typical latency.
REPORT_DECAY_FACTOR = 2.0
#: Weights of the newest sample in the means over the whole service.
FOREIGN_LOAD_WEIGHT = 0.02
REFUSED_WEIGHT = 0.01
FAILED_WEIGHT = 0.05
LATENCY_RATIO_WEIGHT = 0.02


class Pool(upstream_set.UpstreamSet):
    """
    The upstreams by id, and the running means of the service as a whole.

    Invariants: ``in_flight`` counts the calls sent and not ended, ``waiting`` those in
    the queue; at most ``eject_share`` of the pool (at least one) is ejected at a time.
    ``mean_foreign_load`` is the number of requests that other processes have in an
    upstream where this one owns no slots, ``local_region_used`` the share of the slots
    in use in this process's region, ``used_by_remote_region`` the same for other
    regions, as they report it; ``refused_share`` is the share of calls refused for
    overload, ``failed_share`` that of requests that failed.
    """

    def __init__(
        self,
        service: service_policy.ServicePolicy,
        local_member: ownership.Member,
        rng: random.Random,
    ) -> None:
        super().__init__(service, local_member)
        self.rng = rng
        self.mean_foreign_load = latency.Mean(0.0, FOREIGN_LOAD_WEIGHT)
        self.local_region_used = 0.0
        self.used_by_remote_region: dict[ids.RegionName, float] = {}
        self.refused_share = latency.Mean(0.0, REFUSED_WEIGHT)
        self.in_flight = 0
        self.waiting = 0
        self.failed_share = latency.Mean(0.0, FAILED_WEIGHT)
        #: The mean over all upstreams; ``Upstream.latency_ratio`` is that of one.
        self.latency_ratio = latency.Mean(1.0, LATENCY_RATIO_WEIGHT)
        self.contention = contention.Contention()
        self._dispatch_schedule_at = shared_rate.LONG_AGO
        self._dispatch_schedule: dispatch_schedule.DispatchSchedule | None = None
        self.completions = completion_rate.CompletionRate()
        self.latencies = latency_table.LatencyTable(
            service.typical_s, service.latency_keys
        )

    def estimated_load(self, upstream: upstreams.Upstream, now: ids.Instant) -> float:
        """
        Estimate the requests in ``upstream``, those of other processes included.

        Upstreams where this process owns slots report often enough to have a
        mean of their own; for the others the mean over all of them is used, for those
        of other regions the utilisation that their region reports.
        """
        decay_s = REPORT_DECAY_FACTOR * self.latencies.overall.value
        typical = self.mean_foreign_load.value
        if self.remote_order and self.is_remote(upstream):
            used = self.used_by_remote_region.get(self.region_of(upstream), 0.0)
            typical = used * upstream.slots
        if upstream.owned_slots > 0:
            typical = upstream.foreign_load.value
        return upstream.outstanding + upstream.foreign_load_now(now, decay_s, typical)

    def reported(
        self,
        upstream: upstreams.Upstream,
        report: upstreams.LoadReport,
        now: ids.Instant,
    ) -> None:
        """Apply a load report that came with a response or a probe."""
        upstream.reported(report, now)
        if self.remote_order and self.is_remote(upstream):
            # It came with the response to a call that still counts as outstanding
            # here; no later probe will correct the estimate.
            upstream.outstanding_at_report -= 1
        elif upstream.owned_slots <= 0:
            total = report.running + report.queued
            self.mean_foreign_load.add(max(0, total - upstream.outstanding))

    def probe_reported(
        self,
        upstream: upstreams.Upstream,
        report: upstreams.LoadReport,
        at: ids.Instant,
    ) -> None:
        """Apply a load report made at ``at`` for a probe, own or of a peer."""
        upstream.liveness.probe_reported(at)
        self.reported(upstream, report, at)

    def record_service_result(self, result: upstreams.Result) -> None:
        """Record how a request ended in the statistics of the whole service."""
        if result is not upstreams.Result.CANCELLED:
            self.failed_share.add(1.0 if _is_failure(result) else 0.0)

    def record_result(
        self,
        upstream: upstreams.Upstream,
        latency_key: str,
        result: upstreams.Result,
        took_s: float,
        now: ids.Instant,
    ) -> None:
        """Record how a request ended, and eject the upstream if needed."""
        if result is upstreams.Result.CANCELLED:
            if self._was_overdue_on_probation(upstream, latency_key, took_s):
                self.eject(upstream, ejection.SILENT, now)
            return
        failed = _is_failure(result)
        if result is upstreams.Result.ANSWERED:
            self.latencies.add(latency_key, took_s)
        reason = ejection.reason_to_eject(
            failed=failed,
            failures_in_row=upstream.failures_in_row,
            on_probation=upstream.state is upstreams.State.PROBATION,
        )
        if reason is not None:
            self.eject(upstream, reason, now)

    def _was_overdue_on_probation(
        self, upstream: upstreams.Upstream, latency_key: str, took_s: float
    ) -> bool:
        """Return whether the cancelled request on probation had waited too long."""
        on_probation = upstream.state is upstreams.State.PROBATION
        return on_probation and took_s > self.latencies.p95_s(latency_key)

    def eject(
        self, upstream: upstreams.Upstream, reason: str, now: ids.Instant
    ) -> bool:
        """Eject an upstream unless too many are ejected; return whether it was."""
        ejected = sum(u.state is upstreams.State.EJECTED for u in self.ejected)
        usable = len(self.usable_order)
        if not ejection.may_eject(ejected, usable, self.service.eject_share):
            return False
        upstream.eject(reason, now)
        self.refresh()
        return True

    def is_hung(
        self, upstream: upstreams.Upstream, latency_key: str, now: ids.Instant
    ) -> bool:
        """Return whether only a hung upstream explains its silence."""
        return ejection.is_hung(
            upstream.silent_s(now), self.latencies.p95_s(latency_key)
        )

    def tick(self, now: ids.Instant) -> None:
        """
        End ejections that are over and apply state changes.

        Called a few times per second. An ejection may also end while an upstream is
        selected for a call; until that change is applied, this process owns no slots
        of the upstream and sends it no trial request.
        """
        for upstream in self.usable_order:
            upstream.tick(now)
        if self._changed:
            self.refresh()

    def busy(self) -> int:
        """Count the calls in flight except those waiting in ejected upstreams."""
        return self.in_flight - sum(u.outstanding for u in self.ejected)

    def dispatch_schedule(
        self, now: ids.Instant
    ) -> dispatch_schedule.DispatchSchedule | None:
        """
        Return when calls are sent if every upstream advertises a limit, else None.

        Computed once for each instant, as it is needed for many waiting calls.
        """
        if now != self._dispatch_schedule_at:
            self._dispatch_schedule_at = now
            self._dispatch_schedule = dispatch_schedule.create(self.usable_order, now)
        return self._dispatch_schedule

    def usable_again_at(self, now: ids.Instant) -> ids.Instant:
        """Return when the first may be used again, a default if that is not known."""
        free_at = min((u.free_at(now) for u in self.usable_order), default=ids.NEVER)
        if free_at in (now, ids.NEVER):
            return ids.later(now, ejection.RETRY_AFTER_S)
        return free_at


def _is_failure(result: upstreams.Result) -> bool:
    return result not in (upstreams.Result.ANSWERED, upstreams.Result.SHED)
