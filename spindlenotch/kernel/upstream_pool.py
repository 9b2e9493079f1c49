"""
The upstreams of one service as one process sees them.

Measures the service as a whole and ejects what fails or falls silent (``ejection``);
which upstreams there are and which slots are the own ones lies in ``upstream_set``.
Answers what the decisions ask: how much an upstream is estimated to have.
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

#: Time constant with which a report of other processes' requests fades, as a multiple
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

    Invariants: ``in_flight`` counts the calls sent and not ended,
    ``waiting`` those in the queue; at most ``eject_share`` of the pool (at least
    one) is ejected at a time. ``mean_foreign_load`` is the number of requests
    that other processes have in an upstream where this one owns no slots,
    ``near_used`` the share of their slots that upstreams of the own region have in
    use, ``far_used_by_region`` the same of other regions as these say;
    ``refused_share`` is the share of calls refused for overload,
    ``failed_share`` that of answers that are failures.
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
        self.near_used = 0.0
        self.far_used_by_region: dict[ids.RegionName, float] = {}
        self.refused_share = latency.Mean(0.0, REFUSED_WEIGHT)
        self.in_flight = 0
        self.waiting = 0
        self.failed_share = latency.Mean(0.0, FAILED_WEIGHT)
        #: The mean over all answers; ``Upstream.latency_ratio`` is that of one.
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
        mean of their own; the others count with the mean over all of them, those of
        other regions with what their region says.
        """
        decay_s = REPORT_DECAY_FACTOR * self.latencies.overall.value
        typical = self.mean_foreign_load.value
        if self.far_order and self.is_far(upstream):
            used = self.far_used_by_region.get(self.region_of(upstream), 0.0)
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
        """Take in a load report that came with an answer or a probe."""
        upstream.reported(report, now)
        if self.far_order and self.is_far(upstream):
            # It came with an answer, whose call still counts as outstanding here; no
            # probe will tell better.
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
        """Take in a load report of ``at`` that a probe brought, own or of a peer."""
        upstream.liveness.probe_reported(at)
        self.reported(upstream, report, at)

    def record_service_result(self, result: upstreams.Result) -> None:
        """Record how a request ended, for the state of the service as a whole."""
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
        """Record how a request ended, and eject the upstream where needed."""
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
        """Tell whether the one request that decides waited in vain for long enough."""
        on_probation = upstream.state is upstreams.State.PROBATION
        return on_probation and took_s > self.latencies.p95_s(latency_key)

    def eject(
        self, upstream: upstreams.Upstream, reason: str, now: ids.Instant
    ) -> bool:
        """Eject an upstream unless too many are out already."""
        ejected = sum(u.state is upstreams.State.EJECTED for u in self.ejected)
        usable = len(self.usable_order)
        if not ejection.may_eject(ejected, usable, self.service.eject_share):
            return False
        upstream.eject(reason, now)
        self.refresh()
        return True

    def frozen(
        self, upstream: upstreams.Upstream, latency_key: str, now: ids.Instant
    ) -> bool:
        """Tell whether its silence can only mean that it has stopped."""
        return ejection.is_frozen(
            upstream.silent_s(now), self.latencies.p95_s(latency_key)
        )

    def tick(self, now: ids.Instant) -> None:
        """
        Let ejections end and take in changes of state; called a few times a second.

        An ejection may also end while upstreams are looked at for a call; until it
        is taken in, that upstream has no own slots and gets no trial request.
        """
        for upstream in self.usable_order:
            upstream.tick(now)
        if self._changed:
            self.refresh()

    def busy(self) -> int:
        """Count the calls in flight but for those stuck in ejected upstreams."""
        return self.in_flight - sum(u.outstanding for u in self.ejected)

    def dispatch_schedule(
        self, now: ids.Instant
    ) -> dispatch_schedule.DispatchSchedule | None:
        """
        Return when calls get their turns where every upstream names a limit, else None.

        Worked out once for each instant, as many waiting calls ask.
        """
        if now != self._dispatch_schedule_at:
            self._dispatch_schedule_at = now
            self._dispatch_schedule = dispatch_schedule.create(self.usable_order, now)
        return self._dispatch_schedule

    def usable_again_at(self, now: ids.Instant) -> ids.Instant:
        """Return when the first may be used again, or a moment where none is known."""
        free_at = min((u.free_at(now) for u in self.usable_order), default=ids.NEVER)
        if free_at in (now, ids.NEVER):
            return ids.later(now, ejection.RETRY_AFTER_S)
        return free_at


def _is_failure(result: upstreams.Result) -> bool:
    return result not in (upstreams.Result.ANSWERED, upstreams.Result.SHED)
