"""
Gossip of one member: composes its messages and handles those of others.

A pure state machine without I/O or clock. ``membership`` tracks which members are
alive, ``probing`` selects the members to probe, ``drain_notices`` tracks the
upstreams that are leaving; this module combines them into messages of bounded size
and reports what a received message changed. The number of periods that a change
needs to reach all members grows with the logarithm of the fleet size.
"""

import random
from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import crash_records, ownership
from spindlenotch.peers import (
    documents,
    drain_notices,
    known_peer,
    learning,
    membership,
    messages,
    probing,
    rollout_notes,
    timing,
    workload,
)

#: Time between two sweeps, in periods, above which this process must have stalled.
STALL_PERIODS = 3


class Handled(msgspec.Struct, frozen=True):
    """
    What a message changed.

    ``newer`` are the documents of which the sender has a newer version,
    ``drain_notices`` those that were unknown here; ``reply`` is to be sent to the
    sender.
    """

    members_changed: bool
    newer: tuple[messages.DocumentVersion, ...]
    drain_notices: tuple[messages.DrainNotice, ...]
    reply: messages.Message | None


class Gossip:
    """
    One member's side of the gossip protocol.

    ``expected_members`` is the number of members in the host list; while fewer are
    known, seeds are probed and other members are asked for records.
    ``reads_source`` tells the others that this member reads the source itself.
    """

    def __init__(
        self,
        local: messages.MemberRecord,
        rng: random.Random,
        timeouts: timing.Timing | None = None,
    ) -> None:
        self.rng = rng
        self.timing = timeouts or timing.Timing()
        self.membership = membership.Membership(local, self.timing)
        near_zone = local.zone if self.timing.prefers_own_zone else None
        self.probes = probing.ProbeSchedule(rng, self.timing.reply_s, near_zone)
        self.drain_notices = drain_notices.DrainNotices(rng)
        self.version_by_kind: dict[
            documents.DocumentKind, messages.DocumentVersion
        ] = {}
        self.expected_members = 0
        self._discovery = learning.DiscoveryProgress()
        self.reads_source = False
        #: Phases of the rollout orders in force.
        self.rollout_phases: tuple[rollout_notes.PhaseNote, ...] = ()
        #: Requests under which upstreams crashed, carried by every message.
        self.crashes: tuple[crash_records.CrashRecord, ...] = ()
        self.sequence = 0
        self.swept_at = ids.NEVER

    # Known state

    @property
    def local(self) -> messages.MemberRecord:
        """Return this member's own record."""
        return self.membership.local

    @property
    def known_by_host(self) -> dict[ids.HostId, known_peer.Peer]:
        """Return the other members."""
        return self.membership.known_by_host

    @property
    def members_revision(self) -> int:
        """Return a counter that rises when the serving members or addresses change."""
        return self.membership.revision

    @property
    def demand_by_host(self) -> abc.Mapping[ids.HostId, workload.Work]:
        """Return the callers' demand on each member where it is not zero."""
        return self.membership.demand_by_host

    @property
    def demand_revision(self) -> int:
        """Return a counter that rises when the callers' demand on a member changes."""
        return self.membership.demand_revision

    @property
    def repeats_by_drain_notice(self) -> abc.Mapping[messages.DrainNotice, int]:
        """Return the drain notices that are in force."""
        return self.drain_notices.repeats_by_drain_notice

    def ready_members(self) -> list[ownership.Member]:
        """Return the members that are ready, and always this one."""
        return self.membership.ready_members()

    # Local changes

    def set_status(self, status: messages.Status, version: int) -> None:
        """Publish this member's state and the configuration version in force."""
        self.membership.set_status(status, version)

    def set_demand(self, demand: workload.Work) -> None:
        """Publish the callers' demand on this member."""
        self.membership.set_demand(demand)

    def set_isolated(self, *, is_isolated: bool) -> None:
        """Publish whether this member reaches no upstream."""
        self.membership.set_isolated(is_isolated=is_isolated)

    def set_addresses(self, address: ids.Address, peer_address: ids.Address) -> None:
        """Set this member's addresses, before the first message is sent."""
        self.membership.set_addresses(address, peer_address)

    def advertise(self, version: messages.DocumentVersion) -> None:
        """Publish which version of a document is in force here."""
        short = ids.Digest(version.digest[: messages.DIGEST_DIGITS])
        self.version_by_kind[version.kind] = msgspec.structs.replace(
            version, digest=short
        )

    def add_drain_notice(self, notice: messages.DrainNotice) -> bool:
        """Add a drain notice; return whether it was unknown."""
        return self.drain_notices.add(notice)

    def forget_drain_notices(
        self, superseded: abc.Iterable[messages.DrainNotice]
    ) -> None:
        """Drop drain notices whose generation is superseded."""
        self.drain_notices.forget(superseded)

    # Messages

    def targets(
        self, seeds: abc.Sequence[ids.Address], now: ids.Instant
    ) -> list[ids.Address]:
        """Return the members to probe this period, and a seed if few are known."""
        known = self.known_by_host
        hosts = self.probes.next_hosts(known, now)
        addresses = [known[host].record.peer_address for host in hosts]
        if len(known) < max(probing.FANOUT, self.expected_members):
            excluded = (*addresses, self.local.peer_address)
            unused = [seed for seed in seeds if seed not in excluded]
            addresses += self.rng.sample(unused, min(1, len(unused)))
        return addresses

    def random_targets(self, count: int) -> list[ids.Address]:
        """Return random members for an urgent message, which expects no replies."""
        everyone = list(self.known_by_host.values())
        chosen = self.rng.sample(everyone, min(count, len(everyone)))
        return [peer.record.peer_address for peer in chosen]

    def compose(
        self,
        *,
        wants_reply: bool = False,
        fill_for: messages.MemberRecord | None = None,
    ) -> messages.Message:
        """Build the next message; for ``fill_for``, fill it up with member records."""
        self.sequence += 1
        # Seeded tests rely on this order: both calls draw from ``rng``.
        records = self.membership.next_records(
            self.rng, fill_for, near=self.timing.prefers_own_zone
        )
        notices = self.drain_notices.next_batch()
        return messages.Message(
            sender=self.local,
            sequence=self.sequence,
            documents=tuple(self.version_by_kind.values()),
            members=records,
            drain_notices=notices,
            wants_reply=wants_reply,
            wants_members=self._wants_members(),
            suspicions=self.membership.next_suspicions(),
            reads_source=self.reads_source,
            rollout_phases=self.rollout_phases,
            crashes=self.crashes,
        )

    def handle(self, message: messages.Message, now: ids.Instant) -> Handled:
        """Process a message from a peer."""
        changed = self._update_members(message, now)
        for suspicion in message.suspicions:
            self.membership.handle_suspicion(suspicion, now)
        newer = tuple(
            version for version in message.documents if self._is_newer(version)
        )
        unknown = tuple(
            notice for notice in message.drain_notices if self.drain_notices.add(notice)
        )
        reply = None
        if message.wants_reply:
            requester = message.sender if message.wants_members else None
            reply = self.compose(fill_for=requester)
        return Handled(changed, newer, unknown, reply)

    def sweep(self, now: ids.Instant) -> list[messages.MemberRecord]:
        """
        Process overdue replies; return the members that are dropped.

        After this process has stalled, replies may still be unread: pending probes
        and suspicions are discarded.
        """
        self._discovery.period_ended(len(self.known_by_host))
        stalled = now - self.swept_at > STALL_PERIODS * self.timing.period_s
        self.swept_at = now
        if stalled:
            self.probes.cancel()
            self.membership.clear_suspicions()
        for host in self.probes.pop_overdue(now):
            self.membership.note_missed_reply(host, now)
        return self.membership.drop_expired(now)

    def _update_members(self, message: messages.Message, now: ids.Instant) -> bool:
        """Apply all records of a message; return whether the members changed."""
        self.probes.reply_arrived(message.sender.host)
        changed = self.membership.update(message.sender, now, direct=True)
        for record in message.members:
            changed |= self.membership.update(record, now, direct=False)
        return changed

    def _wants_members(self) -> bool:
        if self.timing.asks_while_discovering and self._discovery.in_progress:
            return True
        return len(self.known_by_host) + 1 < self.expected_members

    def _is_newer(self, offered: messages.DocumentVersion) -> bool:
        own = self.version_by_kind.get(offered.kind)
        return own is None or documents.is_newer(offered, own)
