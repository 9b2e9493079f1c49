"""
The upstreams of one service as one process sees them.

Keeps the set in step with the host list, works out the own slots (``ownership``)
and ejects what fails or falls silent (``ejection``). Answers what the decisions
ask: which upstreams may take work and how much they are estimated to have.
"""

import random
from collections import abc

from spindlenotch import ids
from spindlenotch.kernel import (
    cold_start,
    completion_rate,
    crowding,
    ejection,
    latency,
    latency_table,
    ownership,
    regions,
    schedule,
    service_policy,
    slot_division,
    state_changes,
    upstreams,
    waiting,
)

#: Time constant with which a report of other processes' requests fades, as a
#: multiple of the typical latency. Chosen, not measured.
REPORT_DECAY_FACTOR = 2.0
#: Weights of the newest sample in the means over the whole service. Chosen, not
#: measured.
FOREIGN_LOAD_WEIGHT = 0.02
REFUSED_WEIGHT = 0.01
FAILED_WEIGHT = 0.05
LATENCY_RATIO_WEIGHT = 0.02


class Pool:
    """
    The upstreams by id, and the running means of the service as a whole.

    Invariants: ``usable_order`` lists the upstreams that are not leaving,
    ``local_order`` those of them in this process's own zone, ``near_order`` in its
    region and ``far_order`` in others;
    ``owned`` lists those of them in which this process owns slots, in all
    ``owned_total``; ``in_flight`` counts the calls sent and not ended,
    ``waiting`` those in the queue; at most ``eject_share`` of the pool (at least
    one) is ejected at a time. ``mean_foreign_load`` is the number of requests
    that other processes have in an upstream where this one owns no slots,
    ``near_used`` the share of their slots that upstreams of the own region have in
    use, ``far_used_by_region`` the same of other regions as these say;
    ``refused_share`` is the share of calls refused for overload,
    ``failed_share`` that of answers that are failures. ``revision`` rises with each
    change of ``usable_order``. ``cold_senders`` are the processes that share what cold
    upstreams bear.
    """

    def __init__(
        self,
        service: service_policy.ServicePolicy,
        local_member: ownership.Member,
        rng: random.Random,
    ) -> None:
        self.service = service
        self.local_member = local_member
        self.rng = rng
        self.cold_senders: tuple[ids.HostId, ...] = ()
        self.members: tuple[ownership.Member, ...] = (local_member,)
        self.upstream_by_id: dict[ids.UpstreamId, upstreams.Upstream] = {}
        self.usable_order: list[upstreams.Upstream] = []
        self.local_order: list[upstreams.Upstream] = []
        self.near_order: list[upstreams.Upstream] = []
        self.far_order: list[upstreams.Upstream] = []
        self.owned: list[upstreams.Upstream] = []
        self.ejected: list[upstreams.Upstream] = []
        self.zone_factor: dict[ids.ZoneName, float] = {}
        self.plan: dict[ids.ZoneName, float] = schedule.planned(
            service.zones, service.day, 0.0
        )
        self.mean_foreign_load = latency.Mean(0.0, FOREIGN_LOAD_WEIGHT)
        self.near_used = 0.0
        self.far_used_by_region: dict[ids.RegionName, float] = {}
        self.refused_share = latency.Mean(0.0, REFUSED_WEIGHT)
        self.in_flight = 0
        self.waiting = 0
        self.changes = state_changes.ChangeLog()
        self._changed = False
        self.owned_total = 0.0
        self.revision = 0
        self.failed_share = latency.Mean(0.0, FAILED_WEIGHT)
        #: The mean over all answers; ``Upstream.latency_ratio`` is that of one.
        self.latency_ratio = latency.Mean(1.0, LATENCY_RATIO_WEIGHT)
        self.crowding = crowding.Crowding()
        self.completions = completion_rate.CompletionRate()
        self.latencies = latency_table.LatencyTable(
            service.typical_s, service.latency_keys
        )

    def set_members(self, members: abc.Iterable[ownership.Member]) -> None:
        """Take in the live members, this process included."""
        ordered = tuple(sorted({*members, self.local_member}))
        if ordered != self.members:
            self.members = ordered
            self.refresh()

    def set_listed(
        self, specs: abc.Iterable[upstreams.UpstreamSpec], now: ids.Instant
    ) -> None:
        """
        Take in the host list.

        An upstream that is no longer listed leaves. One that is listed with a
        higher generation starts anew. Calls in flight are not touched.
        """
        spec_by_id = {s.id: s for s in specs if s.zone in self.service.zones}
        for upstream_id, upstream in self.upstream_by_id.items():
            if upstream_id not in spec_by_id:
                upstream.leave("not listed")
        for spec in spec_by_id.values():
            known = self.upstream_by_id.get(spec.id)
            if known is None or known.spec.generation < spec.generation:
                slots = spec.slots or self.service.slots
                self.upstream_by_id[spec.id] = upstreams.Upstream(
                    spec, slots, now, self._state_changed
                )
            else:
                known.cold.listed(spec.warming_up_until, now)
        self._forget_gone(spec_by_id)
        self._limit_cold(now)
        self.refresh()

    def set_cold_senders(self, hosts: tuple[ids.HostId, ...], now: ids.Instant) -> None:
        """Take in which processes share what cold upstreams bear."""
        if hosts != self.cold_senders:
            self.cold_senders = hosts
            self._limit_cold(now)

    def set_plan(self, plan: dict[ids.ZoneName, float]) -> None:
        """Take in the day's weights by zone."""
        if plan != self.plan:
            self.plan = plan
            self.refresh()

    def leave(self, upstream_id: ids.UpstreamId, generation: int, reason: str) -> bool:
        """Mark an upstream as leaving; tell whether it was not before."""
        known = self.upstream_by_id.get(upstream_id)
        if known is None or known.spec.generation > generation:
            return False
        if known.state is upstreams.State.LEAVING:
            return False
        known.leave(reason)
        self.refresh()
        return True

    def refresh(self) -> None:
        """Work out anew which upstreams are usable and which slots are the own ones."""
        self._changed = False
        self.revision += 1
        self.usable_order = [
            u
            for u in self.upstream_by_id.values()
            if u.state is not upstreams.State.LEAVING
        ]
        zone = self.local_member.zone
        self.local_order = [u for u in self.usable_order if u.spec.zone == zone]
        self.near_order = [u for u in self.usable_order if not self.is_far(u)]
        self.far_order = [u for u in self.usable_order if self.is_far(u)]
        self.ejected = [
            u for u in self.usable_order if u.state is upstreams.State.EJECTED
        ]
        slots = slot_division.slots_by_zone(self.usable_order)
        self.zone_factor = schedule.effective(self.plan, slots)
        self._assign_slots()

    def _state_changed(self, upstream: upstreams.Upstream) -> None:
        self.changes.record(upstream)
        self._changed = True

    def _limit_cold(self, now: ids.Instant) -> None:
        """Work out anew what this process may send to cold upstreams."""
        for upstream in self.upstream_by_id.values():
            upstream.cold.lasts_s = self.service.cold_start_s
            rate_per_s = cold_start.rate_per_s(
                upstream.spec.id,
                self.service.cold_rate_per_s,
                () if self.is_far(upstream) else self.cold_senders,
                self.local_member.host,
            )
            upstream.cold.limit(rate_per_s, now)

    def _assign_slots(self) -> None:
        offers = slot_division.offers(self.usable_order, self.zone_factor)
        own = ownership.owned(offers, self.members, self.local_member)
        for upstream in self.upstream_by_id.values():
            upstream.owned_slots = own.get(upstream.spec.id, 0.0)
        self.owned = [u for u in self.usable_order if u.owned_slots > 0]
        self.owned_total = sum(own.values())

    def _forget_gone(self, listed: abc.Container[ids.UpstreamId]) -> None:
        gone = [
            upstream_id
            for upstream_id, u in self.upstream_by_id.items()
            if upstream_id not in listed and not u.sent_at_by_call
        ]
        for upstream_id in gone:
            del self.upstream_by_id[upstream_id]

    def is_far(self, upstream: upstreams.Upstream) -> bool:
        """Tell whether an upstream lies in another region."""
        known = self.service.region_map
        distance = known.distance(self.local_member.zone, upstream.spec.zone)
        return distance is regions.Distance.FAR

    def region_of(self, upstream: upstreams.Upstream) -> ids.RegionName:
        """Return the region of an upstream."""
        return self.service.region_map.region(upstream.spec.zone)

    def far_regions(self) -> set[ids.RegionName]:
        """Return the other regions that have upstreams."""
        return {self.region_of(upstream) for upstream in self.far_order}

    def allows(self, call: waiting.Call, upstream: upstreams.Upstream) -> bool:
        """Tell whether a call may run in the region of an upstream."""
        allowed = call.allowed_regions
        return allowed is None or self.region_of(upstream) in allowed

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
            return
        failed = result not in (upstreams.Result.ANSWERED, upstreams.Result.SHED)
        self.failed_share.add(1.0 if failed else 0.0)
        if result is upstreams.Result.ANSWERED:
            self.latencies.add(latency_key, took_s)
        reason = ejection.reason_to_eject(
            failed=failed,
            failures_in_row=upstream.failures_in_row,
            on_probation=upstream.state is upstreams.State.PROBATION,
        )
        if reason is not None:
            self.eject(upstream, reason, now)

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

    def usable_again_at(self, now: ids.Instant) -> ids.Instant:
        """Return when the first may be used again, or a moment where none is known."""
        ends = [
            u.state_until if u.state is upstreams.State.EJECTED else u.cold.until
            for u in self.usable_order
            if u.state is upstreams.State.EJECTED or u.cold.is_cold(now)
        ]
        return min(ends, default=ids.later(now, ejection.RETRY_AFTER_S))
