"""
The known upstreams, and how long one whose lease vanished stays in use.

Pure. An upstream holds a lease in the source. ``lease_expiry`` has the rule on expired
leases, ``decisions.evacuation`` that on evacuated zones, and ``leases`` decides whether
an entry is of the same upstream. Owns the generation of each upstream, which rises when
it is listed again, restarts or the evacuation of its zone ends.
"""

from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.decisions import evacuation
from spindlenotch.gateway.source import lease_expiry, leases, sources, withdrawals
from spindlenotch.kernel import upstreams


class EndedUpstream(msgspec.Struct, frozen=True):
    """An upstream that has ended; ``is_replaced``: it restarted under the same id."""

    listed: sources.ListedUpstream
    is_replaced: bool


class Listing:
    """
    The leases of all known upstreams, by id.

    Invariants: ``specs`` excludes upstreams that are draining, those whose lease
    vanished while the source was reachable, and those of an evacuated zone from their
    ``leave_at`` on; an upstream that is listed again or has restarted gets a higher
    generation. ``evacuate_s`` is the operator's time limit for evacuations in seconds;
    ``revision`` and ``era`` are those of the source when the list was read.
    """

    def __init__(self, evacuate_s: float = 0.0) -> None:
        self.evacuate_s = evacuate_s
        self.evacuated_zones: frozenset[ids.ZoneName] = frozenset()
        self._retained_zones: frozenset[ids.ZoneName] = frozenset()
        self._next_leave_at = ids.NEVER
        self.lease_by_id: dict[ids.UpstreamId, leases.Lease] = {}
        self.grace_until = ids.Instant(float("-inf"))
        self.revision = 0
        self.era: int | None = None
        self.withdrawals = withdrawals.Withdrawals()
        self._generation = 0
        self._ended: list[EndedUpstream] = []

    def set_position(self, revision: int, era: int | None, now: ids.Instant) -> None:
        """
        Set the revision and era of the source at which the next list was read.

        Must be called before that list replaces the known one.
        """
        self.withdrawals.note_era(era, self.lease_by_id.values(), now)
        self.revision = revision
        self.era = era

    def is_newer_than(self, revision: int, era: int | None) -> bool:
        """Tell whether the list was read at a later position of the source."""
        if era is not None and self.era is not None and era != self.era:
            return self.era > era
        return self.revision > revision

    def note_outage_end(self, now: ids.Instant) -> None:
        """Record that the source is back after an outage in which leases may expire."""
        self.grace_until = ids.later(now, lease_expiry.GRACE_S)

    def replace(
        self, listed: abc.Iterable[sources.ListedUpstream], now: ids.Instant
    ) -> None:
        """Replace the known upstreams by the source's full list."""
        listed_by_id = {upstream.id: upstream for upstream in listed}
        missing = [
            upstream_id
            for upstream_id in self.lease_by_id
            if upstream_id not in listed_by_id
        ]
        self.add(listed_by_id.values(), now)
        self.remove(missing, now)

    def replace_by_peer(
        self, listed: abc.Iterable[sources.ListedUpstream], now: ids.Instant
    ) -> None:
        """
        Replace the known upstreams by a peer's full list.

        The peer has applied the rule on expired leases already; ``grace_s`` tells which
        upstreams it keeps although their leases have expired, and for how long.
        """
        listed_by_id = {
            upstream.id: leases.with_known_start(
                upstream, self.lease_by_id.get(upstream.id)
            )
            for upstream in listed
        }
        self._retained_zones = frozenset()
        evacuated = [entry for entry in listed_by_id.values() if entry.is_evacuated]
        self.evacuate(frozenset(entry.zone for entry in evacuated), now)
        for entry in evacuated:
            listed_by_id[entry.id] = msgspec.structs.replace(
                entry, state=sources.UpstreamState.READY, is_evacuated=False
            )
        self.discard(
            [
                upstream_id
                for upstream_id in self.lease_by_id
                if upstream_id not in listed_by_id
            ],
            now,
        )
        drop_at_by_id: dict[ids.UpstreamId, ids.Instant] = {}
        for entry in [one for one in listed_by_id.values() if one.grace_s > 0.0]:
            known = self.lease_by_id.get(entry.id)
            known_drop_at = ids.NEVER if known is None else known.drop_at
            drop_at_by_id[entry.id] = min(known_drop_at, ids.later(now, entry.grace_s))
            listed_by_id[entry.id] = msgspec.structs.replace(
                entry, grace_s=sources.NO_GRACE_S
            )
        self.add(listed_by_id.values(), now)
        for upstream_id, drop_at in drop_at_by_id.items():
            self.lease_by_id[upstream_id].drop_at = drop_at
        for lease in self.lease_by_id.values():
            # Peers of earlier releases omit the start.
            lease.is_start_known = lease.listed.born is not None

    def listed(self, now: ids.Instant) -> tuple[sources.ListedUpstream, ...]:
        """Return the full list for a peer; its durations count from ``now``."""
        return tuple(
            self._for_peer(lease, now)
            for lease in self.lease_by_id.values()
            if lease.drop_at > now
        )

    def evacuate(self, zones: frozenset[ids.ZoneName], now: ids.Instant) -> None:
        """
        Set the evacuated zones, whose upstreams get no new work.

        The known upstreams of a newly evacuated zone are taken out of use gradually;
        those of zones that are no longer evacuated are in use again at once.
        """
        if zones == self.evacuated_zones:
            return
        self.evacuated_zones = zones
        for lease in self.lease_by_id.values():
            if lease.listed.zone not in zones:
                self._cancel_evacuation(lease, now)
            elif lease.leave_at == ids.NEVER:
                lease.leave_at = evacuation.leave_at(
                    lease.spec.id, now, self.evacuate_s
                )
        self._schedule_leaving(now)

    def replace_evacuated_zones(
        self, zones: frozenset[ids.ZoneName], now: ids.Instant
    ) -> None:
        """
        Replace the evacuated zones by those of a snapshot of the source.

        Evacuated zones that are missing after a restore are retained until withheld
        upstreams are released, as the backup may be older than the evacuation.
        """
        is_withholding = self.withdrawals.is_withholding(now)
        retained = self.evacuated_zones if is_withholding else frozenset()
        self._retained_zones = retained - zones
        self.evacuate(zones | self._retained_zones, now)

    def update_evacuated_zones(
        self,
        evacuated: frozenset[ids.ZoneName],
        restored: frozenset[ids.ZoneName],
        now: ids.Instant,
    ) -> bool:
        """Apply changes to the evacuated zones; tell whether any zone changed."""
        self._retained_zones -= evacuated | restored
        zones = (self.evacuated_zones | evacuated) - restored
        is_changed = zones != self.evacuated_zones
        self.evacuate(zones, now)
        return is_changed

    def release_due(self, now: ids.Instant) -> bool:
        """Release withheld upstreams and retained zones; tell whether they were due."""
        if not self.withdrawals.release_due(now):
            return False
        released, self._retained_zones = self._retained_zones, frozenset()
        self.evacuate(self.evacuated_zones - released, now)
        return True

    def leave_due(self, now: ids.Instant) -> bool:
        """Tell whether any upstream was evacuated since the last call."""
        if now < self._next_leave_at:
            return False
        self._schedule_leaving(now)
        return True

    def is_settled(self, now: ids.Instant) -> bool:
        """Tell whether the list for peers holds just what the source lists."""
        if self._retained_zones or self.withdrawals.is_withholding(now):
            return False
        return all(lease.drop_at == ids.NEVER for lease in self.lease_by_id.values())

    def add(
        self, listed: abc.Iterable[sources.ListedUpstream], now: ids.Instant
    ) -> None:
        """Add new or changed upstreams; end the grace period of all that are given."""
        for upstream in listed:
            lease = self.lease_by_id.get(upstream.id)
            if lease is not None and not lease.is_same_start(upstream):
                self._end(lease, now, is_replaced=True)
                lease = None
            if lease is None or not lease.is_unchanged(upstream):
                lease = self._renewed(lease, upstream, now)
                self.lease_by_id[upstream.id] = lease
            lease.is_start_known = True

    def remove(self, gone: abc.Iterable[ids.UpstreamId], now: ids.Instant) -> None:
        """Drop upstreams no longer listed, or start their grace period."""
        vanished = [
            self.lease_by_id[upstream_id]
            for upstream_id in gone
            if upstream_id in self.lease_by_id
        ]
        for lease in vanished:
            if lease.drop_at != ids.NEVER:
                # It is in its grace period, perhaps by a peer's list.
                continue
            if not lease_expiry.is_in_outage(
                lease, vanished, self.lease_by_id.values(), self.grace_until, now
            ):
                lease.drop_at = now
            else:
                lease.drop_at = self.grace_until
        self.drop_expired(now)

    def drop_expired(self, now: ids.Instant) -> bool:
        """Drop upstreams whose grace period is over; tell whether there was any."""
        expired = [
            upstream_id
            for upstream_id, lease in self.lease_by_id.items()
            if lease.drop_at <= now
        ]
        self.discard(expired, now)
        return bool(expired)

    def discard(
        self, upstream_ids: abc.Iterable[ids.UpstreamId], now: ids.Instant
    ) -> bool:
        """
        Drop upstreams without a grace period; tell whether there was any.

        Includes those whose entries are invalid: such an entry was written recently, so
        its upstream did not just fail to renew its lease.
        """
        dropped = [
            upstream_id
            for upstream_id in upstream_ids
            if upstream_id in self.lease_by_id
        ]
        for dropped_id in dropped:
            self._end(self.lease_by_id.pop(dropped_id), now, is_replaced=False)
        return bool(dropped)

    def take_ended(self) -> list[EndedUpstream]:
        """Return the upstreams that have ended since the last call."""
        ended, self._ended = self._ended, []
        return ended

    def _end(self, lease: leases.Lease, now: ids.Instant, *, is_replaced: bool) -> None:
        self.withdrawals.note_ended(lease.listed, now)
        self._ended.append(EndedUpstream(lease.listed, is_replaced))

    def _renewed(
        self,
        lease: leases.Lease | None,
        listed: sources.ListedUpstream,
        now: ids.Instant,
    ) -> leases.Lease:
        """Return the renewed lease of a listed upstream, or a new one."""
        self._generation += 1
        renewed_lease = leases.renewed(lease, listed, now, self._generation)
        if renewed_lease.leave_at == ids.NEVER and listed.zone in self.evacuated_zones:
            # An upstream that starts in an evacuated zone gets no work at all.
            renewed_lease.leave_at = now
        return renewed_lease

    def in_use(self, now: ids.Instant) -> frozenset[ids.UpstreamId]:
        """Return the ids of the upstreams that may get new work."""
        return frozenset(
            upstream_id
            for upstream_id, lease in self.lease_by_id.items()
            if self._is_in_use(lease, now)
        )

    def _is_in_use(self, lease: leases.Lease, now: ids.Instant) -> bool:
        return lease.is_in_use(now) and not self.withdrawals.is_withheld(
            lease.listed, now
        )

    def specs(
        self, now: ids.Instant
    ) -> dict[ids.ServiceName, list[upstreams.UpstreamSpec]]:
        """Return the upstreams that may get work, by service."""
        specs_by_service: dict[ids.ServiceName, list[upstreams.UpstreamSpec]] = {}
        for lease in self.lease_by_id.values():
            specs = specs_by_service.setdefault(lease.listed.service, [])
            if self._is_in_use(lease, now):
                specs.append(lease.spec)
        return specs_by_service

    def _for_peer(
        self, lease: leases.Lease, now: ids.Instant
    ) -> sources.ListedUpstream:
        """Return the entry of an upstream in the list for peers."""
        listed = msgspec.structs.replace(
            lease.listed, cold_s=max(0.0, lease.spec.warming_up_until - now)
        )
        if lease.drop_at != ids.NEVER:
            listed = msgspec.structs.replace(listed, grace_s=lease.drop_at - now)
        if self.withdrawals.is_withheld(lease.listed, now):
            return msgspec.structs.replace(listed, state=sources.UpstreamState.DRAINING)
        is_ready = listed.state is sources.UpstreamState.READY
        if not is_ready or listed.zone not in self.evacuated_zones:
            return listed
        return msgspec.structs.replace(
            listed, state=sources.UpstreamState.DRAINING, is_evacuated=True
        )

    def _cancel_evacuation(self, lease: leases.Lease, now: ids.Instant) -> None:
        """
        Put an upstream whose zone is not evacuated back in use.

        It gets a new generation if it was out of use.
        """
        if lease.leave_at <= now:
            self._generation += 1
            lease.spec = msgspec.structs.replace(
                lease.spec, generation=self._generation
            )
        lease.leave_at = ids.NEVER

    def _schedule_leaving(self, now: ids.Instant) -> None:
        """Record when the next upstream of an evacuated zone goes out of use."""
        leave_times = [entry.leave_at for entry in self.lease_by_id.values()]
        self._next_leave_at = min(
            (at for at in leave_times if at > now), default=ids.NEVER
        )
