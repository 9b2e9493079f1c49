"""
The members of the fleet, as one member knows them.

Holds this member's own record and the newest record of each other member.
Failures are detected as in SWIM: a member that misses replies is suspected, the
suspicion is disseminated, and unless the member refutes it with a newer record it
is dropped and leaves a tombstone. Changed records take precedence in the next
messages. No I/O, and no clock: callers pass the time.
"""

import random

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import ownership
from spindlenotch.peers import (
    known_peer,
    messages,
    record_spread,
    timing,
    tombstones,
    workload,
)

#: Consecutive missed replies before a member is suspected: single datagrams get lost,
#: and live members would be dropped.
MISSED_BEFORE_SUSPECT = 2
#: Seconds added to the suspicion timeout for each doubling of the fleet, since a
#: refutation needs more periods to reach all members.
SUSPECT_S_PER_DOUBLING = 0.4
#: Maximum number of other members; records of further ones are ignored.
MAX_MEMBERS = 4096


class Membership:
    """
    This member's record, and the other members that it knows.

    Invariants: a record never replaces a newer one; this member's record is never
    in ``known_by_host``; a dropped member is added again only with a newer record or
    a message of its own; ``revision`` rises with each change of which members are
    believed to serve and at which addresses, ``demand_revision`` with each change of
    a demand; ``demand_by_host`` holds all demands that are not zero;
    ``_suspected_hosts`` are the suspected hosts in ``known_by_host``, the newest
    last.
    """

    def __init__(self, local: messages.MemberRecord, timeouts: timing.Timing) -> None:
        self.local = local
        self.timeouts = timeouts
        self.known_by_host: dict[ids.HostId, known_peer.Peer] = {}
        self.spread = record_spread.RecordSpread()
        self._suspected_hosts: dict[ids.HostId, None] = {}
        self.tombstones = tombstones.Tombstones()
        self.revision = 0
        self.demand_revision = 0
        self.demand_by_host: dict[ids.HostId, workload.Work] = {}

    # This member's record

    def set_status(self, status: messages.Status, version: int) -> None:
        """Publish this member's state and the configuration version in force."""
        if status is not self.local.status:
            self.revision += 1
        self.local = msgspec.structs.replace(
            self.local,
            status=status,
            configuration_version=version,
            heartbeat=self.local.heartbeat + 1,
        )

    def set_demand(self, demand: workload.Work) -> None:
        """Publish the callers' demand on this member."""
        self._take_demand(self.local.host, demand)
        self.local = msgspec.structs.replace(
            self.local, demand=demand, heartbeat=self.local.heartbeat + 1
        )

    def set_isolated(self, *, is_isolated: bool) -> None:
        """Publish whether this member reaches no upstream."""
        self.revision += 1
        self.local = msgspec.structs.replace(
            self.local,
            is_isolated=True if is_isolated else msgspec.UNSET,
            heartbeat=self.local.heartbeat + 1,
        )

    def set_addresses(self, address: ids.Address, peer_address: ids.Address) -> None:
        """Set this member's addresses, before the first message is sent."""
        self.revision += 1
        self.local = msgspec.structs.replace(
            self.local, address=address, peer_address=peer_address
        )

    def refute(self, suspicion: messages.Suspicion) -> None:
        """Publish a newer own record if the suspicion is about the current one."""
        if suspicion.record_version >= self.local.record_version:
            self.set_status(self.local.status, self.local.configuration_version)

    # Other members

    def ready_members(self) -> list[ownership.Member]:
        """Return the members that are ready, and always this one."""
        ready = [
            ownership.Member(peer.record.zone, peer.record.host)
            for peer in self.known_by_host.values()
            if peer.record.status is messages.Status.READY
        ]
        return [*ready, ownership.Member(self.local.zone, self.local.host)]

    def update(
        self, record: messages.MemberRecord, now: ids.Instant, *, direct: bool
    ) -> bool:
        """
        Apply a record; return whether the member is new, restarted or changed state.

        ``direct``: it comes from the member itself.
        """
        if record.host == self.local.host:
            return False
        if direct:
            self.tombstones.discard(record.host)
        elif self.tombstones.covers(record):
            return False
        peer = self.known_by_host.get(record.host)
        if peer is None:
            return self._add(record, now)
        if not known_peer.replaces(record, peer.record, direct=direct):
            return False
        return self._replace(peer, record, now, direct=direct)

    def note_missed_reply(self, host: ids.HostId, now: ids.Instant) -> None:
        """Count a missed reply; suspect the member if it missed several in a row."""
        peer = self.known_by_host.get(host)
        if peer is None:
            return
        peer.missed += 1
        self.revision += 1
        if peer.missed >= MISSED_BEFORE_SUSPECT:
            self._suspect(peer, now)

    def handle_suspicion(self, suspicion: messages.Suspicion, now: ids.Instant) -> None:
        """Adopt another member's suspicion, or refute one about this member."""
        if suspicion.host == self.local.host:
            self.refute(suspicion)
            return
        peer = self.known_by_host.get(suspicion.host)
        if peer is None:
            return
        if suspicion.record_version == peer.record.record_version:
            self._suspect(peer, now)

    def clear_suspicions(self) -> None:
        """Discard all missed replies and suspicions."""
        self.revision += 1
        for peer in self.known_by_host.values():
            peer.suspect_until = ids.NEVER
            peer.missed = 0
        self._suspected_hosts.clear()

    def drop_expired(self, now: ids.Instant) -> list[messages.MemberRecord]:
        """Drop the members whose suspicion expired unrefuted; return their records."""
        suspects = [self.known_by_host[host] for host in self._suspected_hosts]
        expired = [peer.record for peer in suspects if peer.suspect_until <= now]
        for record in expired:
            self._drop(record)
        return expired

    def suspect_s(self) -> float:
        """Return the suspicion timeout in seconds at the current fleet size."""
        return (
            self.timeouts.suspect_s
            + SUSPECT_S_PER_DOUBLING * record_spread.doublings(self._fleet_size())
        )

    # Contents of the next message

    def next_records(
        self,
        rng: random.Random,
        fill_for: messages.MemberRecord | None,
        *,
        near: bool,
    ) -> tuple[messages.MemberRecord, ...]:
        """
        Return changed records, and random ones up to the limit for ``fill_for``.

        With ``near`` the random ones are from the zone of ``fill_for``: it shares
        duties with these members, and has to know them soon in a large fleet that
        starts together.
        """
        if fill_for is None:
            hosts = self.spread.next_hosts()
        elif near:
            zone_hosts = known_peer.hosts_in_zone(self.known_by_host, fill_for.zone)
            hosts = self.spread.next_hosts_filled(zone_hosts, rng)
        else:
            hosts = self.spread.next_hosts_filled(self.known_by_host, rng)
        return tuple(self.known_by_host[host].record for host in hosts)

    def next_suspicions(self) -> tuple[messages.Suspicion, ...]:
        """Return the latest suspicions, as many as a message may carry."""
        suspects = list(self._suspected_hosts)[-messages.SUSPICIONS_PER_MESSAGE :]
        records = [self.known_by_host[host].record for host in suspects]
        return tuple(
            messages.Suspicion(record.host, record.epoch, record.heartbeat)
            for record in records
        )

    def _add(self, record: messages.MemberRecord, now: ids.Instant) -> bool:
        if len(self.known_by_host) >= MAX_MEMBERS:
            return False
        self.known_by_host[record.host] = known_peer.Peer(record, now)
        self._take_demand(record.host, record.demand)
        self.revision += 1
        self._send_first(record.host)
        return True

    def _replace(
        self,
        peer: known_peer.Peer,
        record: messages.MemberRecord,
        now: ids.Instant,
        *,
        direct: bool,
    ) -> bool:
        old = peer.record
        if direct and peer.missed:
            peer.missed = 0
            self.revision += 1
        if peer.suspected:
            # Only a direct message or a newer record gets here, and either refutes.
            peer.suspect_until = ids.NEVER
            del self._suspected_hosts[record.host]
            self.revision += 1
            self._send_first(record.host)
        peer.record = record
        peer.updated_at = now
        restarted = record.incarnation != old.incarnation
        changed = (
            restarted
            or record.status is not old.status
            or record.is_isolated is not old.is_isolated
        )
        if changed:
            self.revision += 1
        if record.demand != old.demand:
            self._take_demand(record.host, record.demand)
        if changed or record.demand != old.demand:
            self._send_first(record.host)
        return changed

    def _suspect(self, peer: known_peer.Peer, now: ids.Instant) -> None:
        if not peer.suspected:
            peer.suspect_until = ids.later(now, self.suspect_s())
            self._suspected_hosts[peer.record.host] = None
            self.revision += 1
            self._send_first(peer.record.host)

    def _drop(self, record: messages.MemberRecord) -> None:
        del self.known_by_host[record.host]
        self._take_demand(record.host, workload.NO_WORK)
        self.revision += 1
        self.spread.forget(record.host)
        self._suspected_hosts.pop(record.host, None)
        self.tombstones.add(record)

    def _take_demand(self, host: ids.HostId, demand: workload.Work) -> None:
        self.demand_revision += 1
        if demand == workload.NO_WORK:
            self.demand_by_host.pop(host, None)
        else:
            self.demand_by_host[host] = demand

    def _send_first(self, host: ids.HostId) -> None:
        """Give the member's record precedence in the next messages."""
        self.spread.changed(host, self._fleet_size())

    def _fleet_size(self) -> int:
        return len(self.known_by_host) + 1
