"""
The upstreams of one service as one entry sees them.

Keeps the set in step with the host list, cuts out the entry's own slots,
ejects what fails or falls silent by the rules of ``ejection``, and answers what
the decisions ask: which upstreams may take work, how much they are estimated to
have, how long a request typically takes.
"""

import collections
import dataclasses
import random
from collections import abc

from spindlenotch import ids
from spindlenotch.kernel import (
    crowding,
    ejection,
    latency,
    ownership,
    schedule,
    service_policy,
    upstreams,
)

#: Beliefs about others' requests fade over this many usual request times.
BELIEF_FADES_AFTER = 2.0

#: Changes of state kept until somebody takes them.
CHANGES_KEPT = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """An upstream changed its state, and why."""

    upstream: ids.UpstreamId
    state: upstreams.State
    reason: str


class Pool:
    """
    Upstream beliefs by id, plus what is known of the service as a whole.

    Invariants: ``usable_order`` lists the upstreams that are not leaving;
    ``owned`` lists those of them in which this entry owns slots, in all
    ``owned_total``; ``under_way`` counts the calls sent and not ended,
    ``waiting`` those in the queue; at most
    ``eject_share`` of the pool (at least one) is ejected at a time.
    ``mean_foreign_load`` is what other entries usually have in an upstream where this
    one owns no slots; ``refusing`` the share of calls refused for overload.
    """

    def __init__(
        self,
        service: service_policy.ServicePolicy,
        local_member: ownership.Member,
        rng: random.Random,
        now: ids.Instant,
    ) -> None:
        self.service = service
        self.local_member = local_member
        self.rng = rng
        self.members: tuple[ownership.Member, ...] = (local_member,)
        self.upstream_by_id: dict[ids.UpstreamId, upstreams.Upstream] = {}
        self.usable_order: list[upstreams.Upstream] = []
        self.owned: list[upstreams.Upstream] = []
        self.ejected: list[upstreams.Upstream] = []
        self.zone_factor: dict[ids.ZoneName, float] = {}
        self.plan: dict[ids.ZoneName, float] = schedule.planned(
            service.zones, service.day, 0.0
        )
        self.mean_foreign_load = latency.Mean(0.0, 0.02)
        self.refusing = latency.Mean(0.0, 0.01)
        self.under_way = 0
        self.waiting = 0
        self.changes: collections.deque[Change] = collections.deque(maxlen=CHANGES_KEPT)
        self.owned_total = 0.0
        self.failing = latency.Mean(0.0, 0.05)
        #: The mean of all upstreams' slowness, by answers.
        self.latency_ratio = latency.Mean(1.0, 0.02)
        self.crowding = crowding.Crowding()
        typical_s = service.typical_s
        self.typical_by_operation = {
            key: latency.Mean(typical_s, 0.05) for key in service.latency_keys
        }
        self.p95_by_operation = {
            key: latency.QuantileTracker(0.95, typical_s * 3)
            for key in service.latency_keys
        }
        self.typical_s = latency.Mean(typical_s, 0.02)

    def set_members(self, members: abc.Iterable[ownership.Member]) -> None:
        """Take in the entries that are alive, this one included."""
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
        for upstream_id, known in self.upstream_by_id.items():
            if upstream_id not in spec_by_id:
                known.leave("not listed")
        for spec in spec_by_id.values():
            known_one = self.upstream_by_id.get(spec.id)
            if known_one is None or known_one.spec.generation < spec.generation:
                slots = spec.slots or self.service.slots
                self.upstream_by_id[spec.id] = upstreams.Upstream(
                    spec, slots, now, self._record_change
                )
        self._forget_gone(spec_by_id)
        self.refresh()

    def _record_change(self, upstream: upstreams.Upstream) -> None:
        self.changes.append(
            Change(upstream.spec.id, upstream.state, upstream.state_reason)
        )

    def take_changes(self) -> list[Change]:
        """Return the changes of state since the last time, oldest first."""
        taken = list(self.changes)
        self.changes.clear()
        return taken

    def set_plan(self, plan: dict[ids.ZoneName, float]) -> None:
        """Take in the day's weights by zone."""
        if plan != self.plan:
            self.plan = plan
            self.refresh()

    def leave(self, upstream_id: ids.UpstreamId, generation: int, reason: str) -> bool:
        """Mark an upstream as leaving; tell whether that was news."""
        known = self.upstream_by_id.get(upstream_id)
        if known is None or known.spec.generation > generation:
            return False
        if known.state is upstreams.State.LEAVING:
            return False
        known.leave(reason)
        self.refresh()
        return True

    def refresh(self) -> None:
        """Work out anew who is usable and which slots are this entry's own."""
        self.usable_order = [
            u
            for u in self.upstream_by_id.values()
            if u.state is not upstreams.State.LEAVING
        ]
        self.ejected = [
            u for u in self.usable_order if u.state is upstreams.State.EJECTED
        ]
        # Ejected slots count here: a zone that has lost most of its own must
        # not make the plan shrink the others.
        slots: dict[ids.ZoneName, float] = {}
        ready = {
            u.spec.zone
            for u in self.usable_order
            if u.state is not upstreams.State.EJECTED
        }
        for upstream in self.usable_order:
            zone = upstream.spec.zone
            if zone in ready:
                slots[zone] = slots.get(zone, 0.0) + upstream.slots
        self.zone_factor = schedule.effective(self.plan, slots)
        self._assign_slots()

    def _assign_slots(self) -> None:
        offers = [
            ownership.SlotOffer(
                u.spec.id,
                u.spec.zone,
                u.slots * self.zone_factor.get(u.spec.zone, 0.0),
            )
            for u in self.usable_order
            if u.state is not upstreams.State.EJECTED
        ]
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

    def learn_operation(self, operation: str, typical_s: float) -> None:
        """Begin to follow an operation that the service did not have before."""
        if operation not in self.typical_by_operation:
            self.typical_by_operation[operation] = latency.Mean(typical_s, 0.05)
            self.p95_by_operation[operation] = latency.QuantileTracker(
                0.95, typical_s * 3
            )

    def typical_latency_s(self, operation: str) -> float:
        """Return the usual time of one request of ``operation``, in seconds."""
        mean = self.typical_by_operation.get(operation, self.typical_s)
        return mean.value

    def p95_latency_s(self, operation: str) -> float:
        """Return the time that 95 in 100 requests of it stay under."""
        tracker = self.p95_by_operation.get(operation)
        return tracker.value if tracker else 3 * self.typical_s.value

    def estimated_load(self, upstream: upstreams.Upstream, now: ids.Instant) -> float:
        """
        Estimate the requests in ``upstream``, those of others included.

        Of an upstream where this entry owns slots it has heard enough to know
        what others usually have there; of the rest only what is usual for all.
        """
        fades = BELIEF_FADES_AFTER * self.typical_s.value
        usual = self.mean_foreign_load.value
        if upstream.owned_slots > 0:
            usual = upstream.foreign_load.value
        return upstream.outstanding + upstream.foreign_load_now(now, fades, usual)

    def reported(
        self,
        upstream: upstreams.Upstream,
        report: upstreams.LoadReport,
        now: ids.Instant,
    ) -> None:
        """Take in a load report that came with an answer or a probe."""
        upstream.reported(report, now)
        if upstream.owned_slots <= 0:
            total = report.running + report.queued
            self.mean_foreign_load.add(max(0, total - upstream.outstanding))

    def note(
        self,
        upstream: upstreams.Upstream,
        operation: str,
        result: upstreams.Result,
        took_s: float,
        now: ids.Instant,
    ) -> None:
        """Take in how a request ended, and eject the upstream where needed."""
        if result is upstreams.Result.CANCELLED:
            return
        bad = result not in (upstreams.Result.ANSWERED, upstreams.Result.SHED)
        self.failing.add(1.0 if bad else 0.0)
        if result is upstreams.Result.ANSWERED:
            self.typical_s.add(took_s)
            if operation in self.typical_by_operation:
                self.typical_by_operation[operation].add(took_s)
                self.p95_by_operation[operation].add(took_s)
        reason = ejection.reason_to_eject(
            failed=bad,
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
        self, upstream: upstreams.Upstream, operation: str, now: ids.Instant
    ) -> bool:
        """Tell whether its silence can only mean that it has stopped."""
        return ejection.is_frozen(upstream.silent_s(now), self.p95_latency_s(operation))

    def tick(self, now: ids.Instant) -> None:
        """Let ejections end; called a few times a second."""
        for upstream in self.usable_order:
            before = upstream.state
            upstream.tick(now)
            if upstream.state is not before:
                self.refresh()

    def busy(self) -> int:
        """Count the calls under way but for those stuck in ejected upstreams."""
        return self.under_way - sum(u.outstanding for u in self.ejected)

    def usable_again_at(self, now: ids.Instant) -> ids.Instant:
        """Return when the first ejection ends, or a moment where there is none."""
        ends = [
            u.state_until
            for u in self.usable_order
            if u.state is upstreams.State.EJECTED
        ]
        return min(ends, default=ids.later(now, ejection.RETRY_AFTER_S))
