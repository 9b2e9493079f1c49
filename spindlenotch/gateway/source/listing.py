"""
The upstreams of each service, and when one that vanished is still believed in.

Pure. An upstream holds a lease in the source; the rule on expired leases is
``_is_expiry_in_outage``, that on evacuated zones ``decisions.evacuation``. Owns the
generation of each upstream, which rises when it is listed anew or its zone is taken
back into use.
"""

from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.decisions import evacuation
from spindlenotch.gateway.source import sources
from spindlenotch.kernel import upstreams

#: Leases that vanish this soon after the source was out of reach may have
#: expired because they could not be renewed. Chosen, not measured.
AFTER_OUTAGE_S = 4.0
#: How long an upstream whose lease expired in an outage still gets work. Those
#: that live are listed again about two seconds after the source's return, as
#: its operators say (commit 25a8df1).
GRACE_S = 2.2
#: More than this share of a service must vanish at once to count as expired
#: in the outage; fewer have left. Chosen, not measured.
EXPIRY_SHARE = 0.3


class Lease(msgspec.Struct):
    """
    One upstream as the source lists it.

    ``drop_at`` is NEVER while it is listed; else the end of its grace. ``leave_at``
    is NEVER unless its zone is evacuated.
    """

    listed: sources.ListedUpstream
    spec: upstreams.UpstreamSpec
    drop_at: ids.Instant = ids.NEVER
    leave_at: ids.Instant = ids.NEVER

    def holds(self, listed: sources.ListedUpstream) -> bool:
        """Tell whether it is still listed, and in the same words."""
        return self.drop_at == ids.NEVER and self.listed == listed


class Listing:
    """
    Upstreams by id.

    Invariants: an upstream that says it is draining, or whose lease vanished
    while the source was in reach, is not in ``specs``, nor is one of an evacuated
    zone once its time to leave has come; one that is listed again gets a higher
    generation. ``evacuate_s`` is the operator's bound on evacuations in seconds.
    """

    def __init__(self, evacuate_s: float = 0.0) -> None:
        self.evacuate_s = evacuate_s
        self.evacuated_zones: frozenset[ids.ZoneName] = frozenset()
        self._next_leave_at = ids.NEVER
        self.lease_by_id: dict[ids.UpstreamId, Lease] = {}
        self.fault_at = ids.Instant(float("-inf"))
        self._generation = 0

    def note_fault(self, now: ids.Instant) -> None:
        """Note that the source could not be read."""
        self.fault_at = now

    def replace(
        self, listed: abc.Iterable[sources.ListedUpstream], now: ids.Instant
    ) -> None:
        """Put the source's whole list in place of what is known."""
        listed_by_id = {upstream.id: upstream for upstream in listed}
        missing = [i for i in self.lease_by_id if i not in listed_by_id]
        self.add(listed_by_id.values(), now)
        self.remove(missing, now)

    def replace_by_peer(
        self, listed: abc.Iterable[sources.ListedUpstream], now: ids.Instant
    ) -> None:
        """Put a peer's whole list in place; the peer has judged expired leases."""
        listed_by_id = {upstream.id: upstream for upstream in listed}
        evacuated = [one for one in listed_by_id.values() if one.is_evacuated]
        self.evacuate(frozenset(one.zone for one in evacuated), now)
        for one in evacuated:
            listed_by_id[one.id] = msgspec.structs.replace(
                one, state=sources.UpstreamState.READY, is_evacuated=False
            )
        for upstream_id in [i for i in self.lease_by_id if i not in listed_by_id]:
            del self.lease_by_id[upstream_id]
        self.add(listed_by_id.values(), now)

    def listed(self, now: ids.Instant) -> tuple[sources.ListedUpstream, ...]:
        """Return the whole list for a peer; ``cold_s`` counts from now."""
        return tuple(self._for_peer(lease, now) for lease in self.lease_by_id.values())

    def evacuate(self, zones: frozenset[ids.ZoneName], now: ids.Instant) -> None:
        """
        Let the upstreams of just these zones get no new work.

        Those known already leave by and by; those of zones that are no longer
        evacuated are in use again at once.
        """
        if zones == self.evacuated_zones:
            return
        self.evacuated_zones = zones
        for lease in self.lease_by_id.values():
            if lease.listed.zone not in zones:
                self._take_back(lease, now)
            elif lease.leave_at == ids.NEVER:
                lease.leave_at = evacuation.leave_at(
                    lease.spec.id, now, self.evacuate_s
                )
        self._schedule_leaving(now)

    def leave_due(self, now: ids.Instant) -> bool:
        """Tell whether upstreams have left for an evacuation since the last call."""
        if now < self._next_leave_at:
            return False
        self._schedule_leaving(now)
        return True

    def add(
        self, listed: abc.Iterable[sources.ListedUpstream], now: ids.Instant
    ) -> None:
        """Add upstreams that are new or have changed; end the grace of all given."""
        for upstream in listed:
            lease = self.lease_by_id.get(upstream.id)
            if lease is None or not lease.holds(upstream):
                self.lease_by_id[upstream.id] = self._renewed(lease, upstream, now)

    def remove(self, gone: abc.Iterable[ids.UpstreamId], now: ids.Instant) -> None:
        """Drop upstreams that the source no longer lists, or begin their grace."""
        vanished = [i for i in gone if i in self.lease_by_id]
        for upstream_id in vanished:
            lease = self.lease_by_id[upstream_id]
            if not self._is_expiry_in_outage(lease, vanished, now):
                lease.drop_at = now
            elif lease.drop_at == ids.NEVER:
                lease.drop_at = ids.later(now, GRACE_S)
        self.drop_expired(now)

    def drop_expired(self, now: ids.Instant) -> bool:
        """Drop upstreams whose grace is over; tell whether there was any."""
        expired = [i for i, lease in self.lease_by_id.items() if lease.drop_at <= now]
        for upstream_id in expired:
            del self.lease_by_id[upstream_id]
        return bool(expired)

    def specs(
        self, now: ids.Instant
    ) -> dict[ids.ServiceName, list[upstreams.UpstreamSpec]]:
        """Return the upstreams that may get work, by service."""
        specs_by_service: dict[ids.ServiceName, list[upstreams.UpstreamSpec]] = {}
        for lease in self.lease_by_id.values():
            specs = specs_by_service.setdefault(lease.listed.service, [])
            is_ready = lease.listed.state is sources.UpstreamState.READY
            if is_ready and now < lease.leave_at:
                specs.append(lease.spec)
        return specs_by_service

    def _for_peer(self, lease: Lease, now: ids.Instant) -> sources.ListedUpstream:
        """Return what a peer is told of an upstream."""
        listed = msgspec.structs.replace(
            lease.listed, cold_s=max(0.0, lease.spec.warming_up_until - now)
        )
        is_ready = listed.state is sources.UpstreamState.READY
        if not is_ready or listed.zone not in self.evacuated_zones:
            return listed
        return msgspec.structs.replace(
            listed, state=sources.UpstreamState.DRAINING, is_evacuated=True
        )

    def _take_back(self, lease: Lease, now: ids.Instant) -> None:
        """Let an upstream whose zone is not evacuated get work if it did not."""
        if lease.leave_at <= now:
            self._generation += 1
            lease.spec = msgspec.structs.replace(
                lease.spec, generation=self._generation
            )
        lease.leave_at = ids.NEVER

    def _schedule_leaving(self, now: ids.Instant) -> None:
        """Note when the next upstream leaves for an evacuation."""
        coming = [one.leave_at for one in self.lease_by_id.values()]
        self._next_leave_at = min((at for at in coming if at > now), default=ids.NEVER)

    def _renewed(
        self,
        lease: Lease | None,
        listed: sources.ListedUpstream,
        now: ids.Instant,
    ) -> Lease:
        """Return the lease of a listed upstream that held ``lease`` before."""
        restarted = lease is not None and lease.listed.state is not listed.state
        if lease is None or restarted or lease.listed.address != listed.address:
            self._generation += 1
            generation = self._generation
        else:
            generation = lease.spec.generation
        warming_up_until = ids.later(now, listed.cold_s)
        if lease is not None and not restarted:
            # It may become cold again at any time, and tells that in its record.
            warming_up_until = max(warming_up_until, lease.spec.warming_up_until)
        spec = upstreams.UpstreamSpec(
            id=listed.id,
            zone=listed.zone,
            address=listed.address,
            generation=generation,
            slots=listed.slots,
            warming_up_until=warming_up_until,
            version=listed.version,
        )
        # One that is new in an evacuated zone never gets any work.
        leave_at = now if listed.zone in self.evacuated_zones else ids.NEVER
        if lease is not None and lease.leave_at != ids.NEVER:
            leave_at = lease.leave_at
        return Lease(listed, spec, leave_at=leave_at)

    def _is_expiry_in_outage(
        self, lease: Lease, vanished: list[ids.UpstreamId], now: ids.Instant
    ) -> bool:
        """
        Tell whether a lease expired in an outage of the source and its upstream lives.

        ``vanished`` are all upstreams that vanished at once. Many of one service
        that vanish together right after an outage could more likely not renew
        their leases than left; to drop them would leave the service without
        upstreams. One that was draining has left.
        """
        if now - self.fault_at >= AFTER_OUTAGE_S:
            return False
        if lease.listed.state is not sources.UpstreamState.READY:
            return False
        service = lease.listed.service
        gone = sum(self.lease_by_id[i].listed.service == service for i in vanished)
        total = sum(one.listed.service == service for one in self.lease_by_id.values())
        return gone > EXPIRY_SHARE * total
