"""
What entries tell each other: who is alive, which documents are in force,
which upstreams are leaving.

A pure state machine: ``compose`` builds the next message, ``handle`` takes one
in and returns what it changes. Each entry asks a few others a period, in
turn, and expects an answer; one that does not answer is suspected, the
suspicion travels, and unless its bearer refutes it with a newer heartbeat it
is dropped. Messages have a bounded size whatever the size of the fleet, and
news travels in a number of periods that grows with the fleet's logarithm.
"""

import collections
import dataclasses
import math
import random
from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import ownership
from spindlenotch.peers import documents, messages, workload

FANOUT = 3
PERIOD_S = 1.0
#: A reply is due after this long.
REPLY_S = 0.7
#: A longer time between two sweeps means that this process stood still.
STOOD_STILL_PERIODS = 3
#: So many replies missed in a row raise a suspicion.
MISSED_BEFORE_SUSPECT = 2
#: A suspicion that is not refuted for this long, and this much longer for
#: each doubling of the fleet, drops its bearer.
SUSPECT_S = 3.0
SUSPECT_S_PER_DOUBLING = 0.4
#: News goes first in so many messages for each doubling of the fleet.
REPEATS_PER_DOUBLING = 1
#: A mark goes first in this many messages, then takes its turn with others.
DRAIN_NOTICE_REPEATS = 12
MAX_DRAIN_NOTICES = 4096
MAX_MEMBERS = 4096
MAX_TOMBSTONES = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """
    How fast a fleet finds out who is gone, in seconds.

    ``period_s`` lies between two rounds of questions, ``reply_s`` is when a
    reply is due, ``suspect_s`` how long a suspicion may stand.
    """

    period_s: float = PERIOD_S
    reply_s: float = REPLY_S
    suspect_s: float = SUSPECT_S


# The names under which callers use the messages.
Status = messages.Status
MemberRecord = messages.MemberRecord
DrainNotice = messages.DrainNotice
DocumentVersion = messages.DocumentVersion
Suspicion = messages.Suspicion
Message = messages.Message
LOADS_PER_MESSAGE = messages.LOADS_PER_MESSAGE


@dataclasses.dataclass(slots=True)
class Peer:
    """
    A member as known here.

    ``last_heard_at`` is when it was last heard of, ``suspect_until`` when an
    unrefuted suspicion drops it, or ``ids.NEVER``; ``missed`` counts the
    replies it owes in a row.
    """

    record: MemberRecord
    last_heard_at: ids.Instant
    suspect_until: ids.Instant = ids.NEVER
    missed: int = 0

    @property
    def suspected(self) -> bool:
        """Tell whether it failed to answer somebody and has not refuted that."""
        return self.suspect_until != ids.NEVER


@dataclasses.dataclass(frozen=True, slots=True)
class Handled:
    """What a message changed."""

    members_changed: bool
    newer: tuple[DocumentVersion, ...]
    drain_notices: tuple[DrainNotice, ...]
    reply: Message | None


class Gossip:
    """
    One entry's view of its peers.

    Invariants: news of a member never replaces newer news; the own entry is
    never in ``known_by_host``; a dropped member comes back only by newer news
    or by its own word; a mark, once known, stays until its generation is
    superseded (``forget_drain_notices``).
    """

    def __init__(
        self, local: MemberRecord, rng: random.Random, timing: Timing | None = None
    ) -> None:
        self.local = local
        self.rng = rng
        self.timing = timing or Timing()
        self.sequence = 0
        self.expected_members = 0
        self.reads_source = False
        self.swept_at = ids.NEVER
        self.known_by_host: dict[ids.HostId, Peer] = {}
        self.reply_due_by_host: dict[ids.HostId, ids.Instant] = {}
        self.probe_order: list[ids.HostId] = []
        self.repeats_by_host: dict[ids.HostId, int] = {}
        self.tombstone_by_host: collections.OrderedDict[ids.HostId, tuple[int, int]] = (
            collections.OrderedDict()
        )
        self.repeats_by_drain_notice: collections.OrderedDict[DrainNotice, int] = (
            collections.OrderedDict()
        )
        self.version_by_kind: dict[documents.DocumentKind, DocumentVersion] = {}

    def set_status(self, status: Status, version: int) -> None:
        """Change what is said of this entry."""
        self.local = msgspec.structs.replace(
            self.local,
            status=status,
            configuration_version=version,
            heartbeat=self.local.heartbeat + 1,
        )

    def set_demand(self, demand: workload.Work) -> None:
        """Change what callers are said to ask of this entry."""
        self.local = msgspec.structs.replace(
            self.local, demand=demand, heartbeat=self.local.heartbeat + 1
        )

    def advertise(self, version: DocumentVersion) -> None:
        """Tell peers from now on which version of a document is in force here."""
        short = ids.Digest(version.digest[: messages.DIGEST_DIGITS])
        self.version_by_kind[version.kind] = dataclasses.replace(version, digest=short)

    def add_drain_notice(self, notice: DrainNotice) -> bool:
        """Take in a mark; tell whether it was new."""
        if notice in self.repeats_by_drain_notice:
            return False
        if len(self.repeats_by_drain_notice) >= MAX_DRAIN_NOTICES:
            self.repeats_by_drain_notice.popitem(last=False)
        self.repeats_by_drain_notice[notice] = DRAIN_NOTICE_REPEATS
        return True

    def forget_drain_notices(self, stale: abc.Iterable[DrainNotice]) -> None:
        """Drop marks of generations that are gone."""
        for notice in stale:
            self.repeats_by_drain_notice.pop(notice, None)

    def targets(
        self, seeds: abc.Sequence[ids.Address], now: ids.Instant
    ) -> list[ids.Address]:
        """
        Pick whom to ask this period; their replies are awaited from now on.

        One that missed a reply, the next in turn, a seed where few are known.
        """
        hosts = [h for h, k in self.known_by_host.items() if k.missed][:1]
        while len(hosts) < min(FANOUT, len(self.known_by_host)):
            host = self._next_to_probe()
            if host not in hosts:
                hosts.append(host)
        for host in hosts:
            self.reply_due_by_host.setdefault(host, ids.later(now, self.timing.reply_s))
        found = [self.known_by_host[h].record.peer_address for h in hosts]
        if len(self.known_by_host) < max(FANOUT, self.expected_members):
            fresh = [a for a in seeds if a not in (*found, self.local.peer_address)]
            found += self.rng.sample(fresh, min(1, len(fresh)))
        return found

    def random_targets(self, count: int) -> list[ids.Address]:
        """Pick members to pass urgent news to; no replies are awaited."""
        everyone = list(self.known_by_host.values())
        picked = self.rng.sample(everyone, min(count, len(everyone)))
        return [known.record.peer_address for known in picked]

    def compose(
        self, *, wants_reply: bool = False, wants_members: bool = False
    ) -> Message:
        """Build the next message."""
        self.sequence += 1
        return Message(
            self.local,
            self.sequence,
            tuple(self.version_by_kind.values()),
            self._members_to_send(wants_members),
            self._drain_notices_to_send(),
            wants_reply,
            len(self.known_by_host) + 1 < self.expected_members,
            self._suspicions_to_send(),
            self.reads_source,
        )

    def handle(self, message: Message, now: ids.Instant) -> Handled:
        """Take in a message from a peer."""
        changed = self._update_member(message.sender, now, direct=True)
        for record in message.members:
            changed |= self._update_member(record, now, direct=False)
        for suspicion in message.suspicions:
            self._handle_suspicion(suspicion, now)
        newer = tuple(n for n in message.documents if self._is_newer(n))
        fresh = tuple(m for m in message.drain_notices if self.add_drain_notice(m))
        reply = None
        if message.wants_reply:
            reply = self.compose(wants_members=message.wants_members)
        return Handled(changed, newer, fresh, reply)

    def sweep(self, now: ids.Instant) -> list[MemberRecord]:
        """Suspect who owes a reply; drop and return who did not refute."""
        stood_still = now - self.swept_at > STOOD_STILL_PERIODS * self.timing.period_s
        self.swept_at = now
        if stood_still:
            # It was this process that did not listen.
            self.reply_due_by_host.clear()
            for known in self.known_by_host.values():
                known.suspect_until = ids.NEVER
                known.missed = 0
        for host, due in list(self.reply_due_by_host.items()):
            if due <= now:
                del self.reply_due_by_host[host]
                self._note_missed_reply(host, now)
        dead = [k.record for k in self.known_by_host.values() if k.suspect_until <= now]
        for record in dead:
            self._drop(record)
        return dead

    def suspect_s(self) -> float:
        """Return how long a suspicion may stand before its bearer is dropped."""
        return self.timing.suspect_s + SUSPECT_S_PER_DOUBLING * self._doublings()

    def ready_members(self) -> list[ownership.Member]:
        """Return the entries that serve, this one included."""
        ready = [
            ownership.Member(k.record.zone, k.record.host)
            for k in self.known_by_host.values()
            if k.record.status is Status.READY
        ]
        return [*ready, ownership.Member(self.local.zone, self.local.host)]

    def _update_member(
        self, record: MemberRecord, now: ids.Instant, *, direct: bool
    ) -> bool:
        if record.host == self.local.host:
            return False
        age = (record.epoch, record.heartbeat)
        if direct:
            self.reply_due_by_host.pop(record.host, None)
            self.tombstone_by_host.pop(record.host, None)
        elif self.tombstone_by_host.get(record.host, (0, 0)) >= age:
            return False
        known = self.known_by_host.get(record.host)
        if known is None:
            return self._add_member(record, now)
        old = known.record
        old_age = (old.epoch, old.heartbeat)
        if age < old_age or (age == old_age and not direct):
            return False
        if direct:
            known.missed = 0
        if known.suspected and (direct or age > old_age):
            known.suspect_until = ids.NEVER
            self._spread(record.host)
        known.record = record
        known.last_heard_at = now
        changed = (
            record.incarnation != old.incarnation or record.status is not old.status
        )
        if changed or record.demand != old.demand:
            self._spread(record.host)
        return changed

    def _add_member(self, record: MemberRecord, now: ids.Instant) -> bool:
        if len(self.known_by_host) >= MAX_MEMBERS:
            return False
        self.known_by_host[record.host] = Peer(record, now)
        self._spread(record.host)
        return True

    def _note_missed_reply(self, host: ids.HostId, now: ids.Instant) -> None:
        """Ask once more before saying anything: one message may get lost."""
        known = self.known_by_host.get(host)
        if known is None:
            return
        known.missed += 1
        if known.missed >= MISSED_BEFORE_SUSPECT:
            self._suspect(host, now)

    def _suspect(self, host: ids.HostId, now: ids.Instant) -> None:
        known = self.known_by_host.get(host)
        if known is not None and not known.suspected:
            known.suspect_until = ids.later(now, self.suspect_s())
            self._spread(host)

    def _handle_suspicion(self, suspicion: Suspicion, now: ids.Instant) -> None:
        age = (suspicion.epoch, suspicion.heartbeat)
        if suspicion.host == self.local.host:
            if age >= (self.local.epoch, self.local.heartbeat):
                self.set_status(self.local.status, self.local.configuration_version)
            return
        known = self.known_by_host.get(suspicion.host)
        if known is not None and age == (known.record.epoch, known.record.heartbeat):
            self._suspect(suspicion.host, now)

    def _drop(self, record: MemberRecord) -> None:
        del self.known_by_host[record.host]
        self.repeats_by_host.pop(record.host, None)
        self.tombstone_by_host[record.host] = (record.epoch, record.heartbeat)
        if len(self.tombstone_by_host) > MAX_TOMBSTONES:
            self.tombstone_by_host.popitem(last=False)

    def _spread(self, host: ids.HostId) -> None:
        self.repeats_by_host[host] = REPEATS_PER_DOUBLING * self._doublings()

    def _doublings(self) -> int:
        return math.ceil(math.log2(len(self.known_by_host) + 2))

    def _suspects(self) -> list[ids.HostId]:
        return [host for host, k in self.known_by_host.items() if k.suspected]

    def _next_to_probe(self) -> ids.HostId:
        while self.probe_order:
            host = self.probe_order.pop()
            if host in self.known_by_host:
                return host
        self.probe_order = list(self.known_by_host)
        self.rng.shuffle(self.probe_order)
        return self.probe_order.pop()

    def _is_newer(self, offered: DocumentVersion) -> bool:
        own = self.version_by_kind.get(offered.kind)
        return own is None or offered.version > own.version

    def _members_to_send(self, wants_members: bool) -> tuple[MemberRecord, ...]:
        picked = list(self.repeats_by_host)[-messages.MEMBERS_PER_MESSAGE :]
        for host in picked:
            self.repeats_by_host[host] -= 1
            if self.repeats_by_host[host] <= 0:
                del self.repeats_by_host[host]
        if wants_members:
            rest = list(self.known_by_host)
            room = messages.MAX_MEMBERS_PER_MESSAGE - len(picked)
            picked += self.rng.sample(rest, min(room, len(rest)))
        return tuple(self.known_by_host[h].record for h in dict.fromkeys(picked))

    def _suspicions_to_send(self) -> tuple[Suspicion, ...]:
        picked = self._suspects()[-messages.SUSPICIONS_PER_MESSAGE :]
        found = [self.known_by_host[host].record for host in picked]
        return tuple(Suspicion(n.host, n.epoch, n.heartbeat) for n in found)

    def _drain_notices_to_send(self) -> tuple[DrainNotice, ...]:
        """Pick fresh marks first, then some of the rest for newcomers."""
        fresh = [m for m, left in self.repeats_by_drain_notice.items() if left > 0]
        picked = fresh[-messages.DRAIN_NOTICES_PER_MESSAGE :]
        for notice in picked:
            self.repeats_by_drain_notice[notice] -= 1
        room = messages.DRAIN_NOTICES_PER_MESSAGE - len(picked)
        if room and len(picked) < len(self.repeats_by_drain_notice):
            rest = [m for m, left in self.repeats_by_drain_notice.items() if left <= 0]
            picked += self.rng.sample(rest, min(room, len(rest)))
        return tuple(dict.fromkeys(picked))
