"""
The upstreams of each service, and when one that vanished is still believed in.

Pure. An upstream holds a lease in the source; the rule on expired leases is
``_is_expiry_in_outage``. Owns the generation of each upstream, which rises
when it is listed anew.
"""

from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.gateway import sources
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

    ``drop_at`` is NEVER while it is listed; else the end of its grace.
    """

    listed: sources.ListedUpstream
    spec: upstreams.UpstreamSpec
    drop_at: ids.Instant = ids.NEVER

    def holds(self, listed: sources.ListedUpstream) -> bool:
        """Tell whether it is still listed, and in the same words."""
        return self.drop_at == ids.NEVER and self.listed == listed


class Listing:
    """
    Upstreams by id.

    Invariants: an upstream that says it is draining, or whose lease vanished
    while the source was in reach, is not in ``specs``; one that is listed
    again gets a higher generation.
    """

    def __init__(self) -> None:
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
        for upstream_id in [i for i in self.lease_by_id if i not in listed_by_id]:
            del self.lease_by_id[upstream_id]
        self.add(listed_by_id.values(), now)

    def listed(self, now: ids.Instant) -> tuple[sources.ListedUpstream, ...]:
        """Return the whole list for a peer; ``cold_s`` counts from now."""
        return tuple(
            msgspec.structs.replace(
                lease.listed, cold_s=max(0.0, lease.spec.warming_up_until - now)
            )
            for lease in self.lease_by_id.values()
        )

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

    def specs(self) -> dict[ids.ServiceName, list[upstreams.UpstreamSpec]]:
        """Return the upstreams that may get work, by service."""
        specs_by_service: dict[ids.ServiceName, list[upstreams.UpstreamSpec]] = {}
        for lease in self.lease_by_id.values():
            specs = specs_by_service.setdefault(lease.listed.service, [])
            if lease.listed.state is sources.UpstreamState.READY:
                specs.append(lease.spec)
        return specs_by_service

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
            warming_up_until = lease.spec.warming_up_until
        spec = upstreams.UpstreamSpec(
            id=listed.id,
            zone=listed.zone,
            address=listed.address,
            generation=generation,
            slots=listed.slots,
            warming_up_until=warming_up_until,
        )
        return Lease(listed, spec)

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
