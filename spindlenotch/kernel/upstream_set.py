"""
The upstreams of one service: which are usable, and which slots this process owns.

Keeps the set in step with the host list and computes the owned slots (``ownership``).
An upstream that restarts under its id is treated as a new one, of which nothing is
known. ``upstream_pool`` adds the statistics over all of them.
"""

from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import (
    cold_start,
    hearing,
    named_limit,
    ownership,
    regions,
    said,
    service_policy,
    shared_rate,
    slot_division,
    state_changes,
    upstreams,
    wait_queue,
    zone_schedule,
)

#: Reason for sending no new requests to an upstream that signals that it is leaving.
ANNOUNCED_LEAVING = "says that it leaves"


class UpstreamSet:
    """
    The upstreams by id, and those that may be sent requests.

    Invariants: ``usable_order`` lists the upstreams that are not leaving,
    ``local_zone_order`` those of them in this process's zone, ``local_region_order`` in
    its region and ``remote_order`` in other regions, ``ejected`` those that are
    ejected; ``owned`` lists those of them in which this process owns slots,
    ``owned_total`` in all. ``revision`` grows with each change of ``usable_order``.
    ``views`` are the views of which processes share rates: recent ones first, the
    current one last.
    """

    def __init__(
        self, service: service_policy.ServicePolicy, local_member: ownership.Member
    ) -> None:
        self.service = service
        self.local_member = local_member
        self.views: tuple[shared_rate.View, ...] = (shared_rate.EMPTY_VIEW,)
        self.members: tuple[ownership.Member, ...] = (local_member,)
        self.upstream_by_id: dict[ids.UpstreamId, upstreams.Upstream] = {}
        self.usable_order: list[upstreams.Upstream] = []
        self.local_zone_order: list[upstreams.Upstream] = []
        self.local_region_order: list[upstreams.Upstream] = []
        self.remote_order: list[upstreams.Upstream] = []
        self.owned: list[upstreams.Upstream] = []
        self.ejected: list[upstreams.Upstream] = []
        self.zone_factor: dict[ids.ZoneName, float] = {}
        self.plan: dict[ids.ZoneName, float] = zone_schedule.planned_shares(
            service.zones, service.day, 0.0
        )
        self.changes = state_changes.ChangeLog()
        self.probing = hearing.ProbeActivity()
        self.owned_total = 0.0
        self.revision = 0
        self._changed = False
        self._backpressures = said.BackpressureRegistry(local_member.host)

    def set_members(self, members: abc.Iterable[ownership.Member]) -> None:
        """Set the live members; this process is always included."""
        ordered = tuple(sorted({*members, self.local_member}))
        if ordered != self.members:
            self.members = ordered
            self.refresh()

    def set_listed(
        self, specs: abc.Iterable[upstreams.UpstreamSpec], now: ids.Instant
    ) -> None:
        """
        Apply the host list.

        An upstream that is no longer listed is leaving. One that is listed with a
        higher generation is replaced by a new one. Calls in flight are not affected.
        """
        spec_by_id = {s.id: s for s in specs if s.zone in self.service.zones}
        for upstream_id, upstream in self.upstream_by_id.items():
            if upstream_id not in spec_by_id:
                upstream.leave("not listed")
        for spec in spec_by_id.values():
            known = self.upstream_by_id.get(spec.id)
            if known is None or known.spec.generation < spec.generation:
                self.upstream_by_id[spec.id] = self._create(spec, known, now)
            else:
                if known.spec.born != spec.born:
                    # It is the same incarnation, which could not be identified before.
                    known.spec = msgspec.structs.replace(known.spec, born=spec.born)
                known.cold.listed(spec.warming_up_until, now)
        self._remove_unlisted(spec_by_id)
        self._backpressures.evict_expired(self.upstream_by_id, now)
        self._update_shared_rates(now)
        self.refresh()

    def set_rate_view(self, view: shared_rate.View, now: ids.Instant) -> None:
        """Set the current view of which processes share rates."""
        before = self.views[-1]
        if view == before:
            return
        ended = msgspec.structs.replace(before, until=now)
        since = now - named_limit.WINDOW.seconds
        recent = [one for one in self.views[:-1] if one.until > since]
        self.views = (*recent, ended, view)
        self._update_shared_rates(now)

    def set_plan(self, plan: dict[ids.ZoneName, float]) -> None:
        """Set the weights by zone of the day's plan."""
        if plan != self.plan:
            self.plan = plan
            self.refresh()

    def leave(self, upstream_id: ids.UpstreamId, generation: int, reason: str) -> bool:
        """Mark an upstream as leaving; return whether this changed its state."""
        known = self.upstream_by_id.get(upstream_id)
        if known is None:
            return False
        if known.spec.generation > generation and not known.backpressure.is_leaving:
            return False
        if known.state is upstreams.State.LEAVING:
            return False
        known.leave(reason)
        self.refresh()
        return True

    def pass_on_signals(self, upstream: upstreams.Upstream, now: ids.Instant) -> None:
        """
        Apply the signals of an upstream to the one that has replaced it, if any.

        A request that was sent before the replacement may have been answered by it.
        """
        current = self.upstream_by_id.get(upstream.spec.id)
        if current is not None and current.backpressure is not upstream.backpressure:
            current.backpressure.inherit(upstream.backpressure, now)

    def is_remote(self, upstream: upstreams.Upstream) -> bool:
        """Return whether an upstream is in another region."""
        known = self.service.region_map
        distance = known.distance(self.local_member.zone, upstream.spec.zone)
        return distance is regions.Distance.REMOTE

    def region_of(self, upstream: upstreams.Upstream) -> ids.RegionName:
        """Return the region of an upstream."""
        return self.service.region_map.region(upstream.spec.zone)

    def remote_regions(self) -> set[ids.RegionName]:
        """Return the other regions that have upstreams."""
        return {self.region_of(upstream) for upstream in self.remote_order}

    def allows(self, call: wait_queue.Call, upstream: upstreams.Upstream) -> bool:
        """Return whether a call may run in the region of an upstream."""
        allowed = call.allowed_regions
        return allowed is None or self.region_of(upstream) in allowed

    def refresh(self) -> None:
        """Recompute which upstreams are usable and which slots this process owns."""
        self._changed = False
        self.revision += 1
        self.usable_order = [
            u
            for u in self.upstream_by_id.values()
            if u.state is not upstreams.State.LEAVING
        ]
        zone = self.local_member.zone
        self.local_zone_order = [u for u in self.usable_order if u.spec.zone == zone]
        self.local_region_order = [
            u for u in self.usable_order if not self.is_remote(u)
        ]
        self.remote_order = [u for u in self.usable_order if self.is_remote(u)]
        self.ejected = [
            u for u in self.usable_order if u.state is upstreams.State.EJECTED
        ]
        slots = slot_division.slots_by_zone(self.usable_order)
        self.zone_factor = zone_schedule.slot_factors(self.plan, slots)
        self._assign_slots()

    def _create(
        self,
        spec: upstreams.UpstreamSpec,
        known: upstreams.Upstream | None,
        now: ids.Instant,
    ) -> upstreams.Upstream:
        """Return a new upstream that replaces the one ``known`` by its id, if any."""
        slots = spec.slots or self.service.slots
        upstream = upstreams.Upstream(
            spec,
            slots,
            now,
            self._state_changed,
            self.probing,
            self._backpressures.get(spec, now),
        )
        if upstream.backpressure.is_leaving:
            # It signalled so itself; its entry is outdated, or has another writer.
            upstream.leave(ANNOUNCED_LEAVING)
        if known is None:
            return upstream
        known.retire()
        if known.spec.born != spec.born:
            # Its entry may date from when it was warm again, or not say.
            upstream.cold.assumed_duration_s = self.service.cold_start_s
            upstream.cold.assume_cold_since(now, now)
        return upstream

    def _state_changed(self, upstream: upstreams.Upstream) -> None:
        self.changes.record(upstream)
        self._changed = True

    def _update_shared_rates(self, now: ids.Instant) -> None:
        """Recompute what this process may send where all processes share a rate."""
        hosts = tuple(member.host for member in self.views[-1].members)
        for upstream in self.upstream_by_id.values():
            is_remote = self.is_remote(upstream)
            upstream.cold.assumed_duration_s = self.service.cold_start_s
            rate_per_s = cold_start.rate_per_s(
                upstream.spec.id,
                self.service.cold_rate_per_s,
                () if is_remote else hosts,
                self.local_member.host,
            )
            upstream.cold.limit(rate_per_s, now)
            # Only processes of its own region share the limit: they know each other.
            views = (shared_rate.EMPTY_VIEW,) if is_remote else self.views
            upstream.backpressure.limit.set_views(views)

    def _assign_slots(self) -> None:
        offers = slot_division.offers(self.usable_order, self.zone_factor)
        own = ownership.owned(offers, self.members, self.local_member)
        for upstream in self.upstream_by_id.values():
            upstream.owned_slots = own.get(upstream.spec.id, 0.0)
        self.owned = [u for u in self.usable_order if u.owned_slots > 0]
        self.owned_total = sum(own.values())

    def _remove_unlisted(self, listed: abc.Container[ids.UpstreamId]) -> None:
        gone = [
            upstream_id
            for upstream_id, u in self.upstream_by_id.items()
            if upstream_id not in listed and not u.sent_at_by_call
        ]
        for upstream_id in gone:
            del self.upstream_by_id[upstream_id]
