"""
What entries tell each other: who is alive, which documents are in force,
which upstreams are leaving.

A pure state machine: ``compose`` builds the next message, ``take`` takes one
in and returns what it changes. Each entry asks a few others a period, in
turn, and expects an answer; one that does not answer is suspected, the
suspicion travels, and unless its bearer refutes it with a newer heartbeat it
is dropped. Messages have a bounded size whatever the size of the fleet, and
news travels in a number of periods that grows with the fleet's logarithm.
"""

import collections
import dataclasses
import enum
import math
import random
from collections import abc

from spindlenotch import ids
from spindlenotch.kernel import ownership
from spindlenotch.peers import documents, workload

FANOUT = 3
PERIOD_S = 1.0
#: A reply is due after this long.
REPLY_S = 0.7
#: A longer time between two sweeps means that this process stood still.
STOOD_STILL_PERIODS = 3
MEMBERS_PER_MESSAGE = 4
#: An entry that knows less than the host list names is told more at a time.
MEMBERS_FOR_HUNGRY = 10
MARKS_PER_MESSAGE = 12
SUSPICIONS_PER_MESSAGE = 4
#: So many replies missed in a row raise a suspicion.
MISSED_BEFORE_SUSPECT = 2
#: A suspicion that is not refuted for this long, and this much longer for
#: each doubling of the fleet, drops its bearer.
SUSPECT_S = 3.0
SUSPECT_S_PER_DOUBLING = 0.4
#: News goes first in so many messages for each doubling of the fleet.
REPEATS_PER_DOUBLING = 1
#: A mark goes first in this many messages, then takes its turn with others.
MARK_REPEATS = 12
MAX_MARKS = 4096
MAX_MEMBERS = 4096
MAX_BURIED = 4096
DIGEST_DIGITS = 16
LOADS_PER_MESSAGE = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Tempo:
    """
    How fast a fleet finds out who is gone, in seconds.

    ``period_s`` lies between two rounds of questions, ``reply_s`` is when a
    reply is due, ``suspect_s`` how long a suspicion may stand.
    """

    period_s: float = PERIOD_S
    reply_s: float = REPLY_S
    suspect_s: float = SUSPECT_S


class Status(enum.Enum):
    """What an entry says of itself; the value is its number on the wire."""

    STARTING = 0
    READY = 1
    LEAVING = 2


@dataclasses.dataclass(frozen=True, slots=True)
class MemberNews:
    """
    What is said of one entry. Higher (epoch, heartbeat) is newer.

    ``capacity`` is what its host can carry, ``demand`` what callers ask of it.
    """

    host: ids.HostId
    zone: ids.ZoneName
    incarnation: ids.Incarnation
    address: ids.Address
    peer_address: ids.Address
    epoch: int
    heartbeat: int
    status: Status
    bundle_version: int
    capacity: workload.Work = workload.NO_WORK
    demand: workload.Work = workload.NO_WORK


@dataclasses.dataclass(frozen=True, slots=True)
class Mark:
    """An upstream of this generation is leaving and gets no new work."""

    service: ids.ServiceName
    upstream: ids.UpstreamId
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentNews:
    """Which version of a document the sender has in force."""

    kind: documents.DocumentKind
    version: int
    digest: ids.Digest


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """Somebody did not answer when its news was of this age."""

    host: ids.HostId
    epoch: int
    heartbeat: int


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """
    One datagram between entries.

    ``wants_reply`` asks for one back; ``hungry`` says that the sender knows
    too few members; ``reads_source`` that it hears what is accepted from the
    store itself.
    """

    sender: MemberNews
    sequence: int
    documents: tuple[DocumentNews, ...] = ()
    members: tuple[MemberNews, ...] = ()
    marks: tuple[Mark, ...] = ()
    wants_reply: bool = False
    hungry: bool = False
    suspicions: tuple[Suspicion, ...] = ()
    reads_source: bool = False
    loads: tuple[workload.LoadNews, ...] = ()


@dataclasses.dataclass(slots=True)
class Known:
    """
    A member as known here.

    ``heard_at`` is when it was last heard of, ``suspect_until`` when an
    unrefuted suspicion drops it, or ``ids.NEVER``; ``missed`` counts the
    replies it owes in a row.
    """

    news: MemberNews
    heard_at: ids.Instant
    suspect_until: ids.Instant = ids.NEVER
    missed: int = 0

    @property
    def suspected(self) -> bool:
        """Tell whether it failed to answer somebody and has not refuted that."""
        return self.suspect_until != ids.NEVER


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """What a message changed."""

    members_changed: bool
    newer: tuple[DocumentNews, ...]
    marks: tuple[Mark, ...]
    reply: Message | None


class Gossip:
    """
    One entry's view of its peers.

    Invariants: news of a member never replaces newer news; the own entry is
    never in ``known_by_host``; a dropped member comes back only by newer news
    or by its own word; a mark, once known, stays until its generation is
    superseded (``forget_marks``).
    """

    def __init__(
        self, me: MemberNews, rng: random.Random, tempo: Tempo | None = None
    ) -> None:
        self.me = me
        self.rng = rng
        self.tempo = tempo or Tempo()
        self.sequence = 0
        self.listed = 0
        self.reads_source = False
        self.swept_at = ids.NEVER
        self.known_by_host: dict[ids.HostId, Known] = {}
        self.due_by_host: dict[ids.HostId, ids.Instant] = {}
        self.turn: list[ids.HostId] = []
        self.repeats_by_host: dict[ids.HostId, int] = {}
        self.buried_by_host: collections.OrderedDict[ids.HostId, tuple[int, int]] = (
            collections.OrderedDict()
        )
        self.repeats_by_mark: collections.OrderedDict[Mark, int] = (
            collections.OrderedDict()
        )
        self.news_by_kind: dict[documents.DocumentKind, DocumentNews] = {}

    def become(self, status: Status, bundle_version: int) -> None:
        """Change what is said of this entry."""
        self.me = dataclasses.replace(
            self.me,
            status=status,
            bundle_version=bundle_version,
            heartbeat=self.me.heartbeat + 1,
        )

    def ask_of_me(self, demand: workload.Work) -> None:
        """Change what callers are said to ask of this entry."""
        self.me = dataclasses.replace(
            self.me, demand=demand, heartbeat=self.me.heartbeat + 1
        )

    def have(self, news: DocumentNews) -> None:
        """Note which document is in force here."""
        short = ids.Digest(news.digest[:DIGEST_DIGITS])
        self.news_by_kind[news.kind] = dataclasses.replace(news, digest=short)

    def mark(self, mark: Mark) -> bool:
        """Take in a mark; tell whether it was new."""
        if mark in self.repeats_by_mark:
            return False
        if len(self.repeats_by_mark) >= MAX_MARKS:
            self.repeats_by_mark.popitem(last=False)
        self.repeats_by_mark[mark] = MARK_REPEATS
        return True

    def forget_marks(self, stale: abc.Iterable[Mark]) -> None:
        """Drop marks of generations that are gone."""
        for mark in stale:
            self.repeats_by_mark.pop(mark, None)

    def targets(
        self, seeds: abc.Sequence[ids.Address], now: ids.Instant
    ) -> list[ids.Address]:
        """
        Pick whom to ask this period; their replies are awaited from now on.

        One that missed a reply, the next in turn, a seed where few are known.
        """
        hosts = [h for h, k in self.known_by_host.items() if k.missed][:1]
        while len(hosts) < min(FANOUT, len(self.known_by_host)):
            host = self._next_in_turn()
            if host not in hosts:
                hosts.append(host)
        for host in hosts:
            self.due_by_host.setdefault(host, ids.later(now, self.tempo.reply_s))
        found = [self.known_by_host[h].news.peer_address for h in hosts]
        if len(self.known_by_host) < max(FANOUT, self.listed):
            fresh = [a for a in seeds if a not in (*found, self.me.peer_address)]
            found += self.rng.sample(fresh, min(1, len(fresh)))
        return found

    def random_targets(self, count: int) -> list[ids.Address]:
        """Pick members to pass urgent news to; no replies are awaited."""
        everyone = list(self.known_by_host.values())
        picked = self.rng.sample(everyone, min(count, len(everyone)))
        return [known.news.peer_address for known in picked]

    def compose(
        self, *, wants_reply: bool = False, for_hungry: bool = False
    ) -> Message:
        """Build the next message."""
        self.sequence += 1
        return Message(
            self.me,
            self.sequence,
            tuple(self.news_by_kind.values()),
            self._members_to_send(for_hungry),
            self._marks_to_send(),
            wants_reply,
            len(self.known_by_host) + 1 < self.listed,
            self._suspicions_to_send(),
            self.reads_source,
        )

    def take(self, message: Message, now: ids.Instant) -> Taken:
        """Take in a message from a peer."""
        changed = self._hear(message.sender, now, direct=True)
        for news in message.members:
            changed |= self._hear(news, now, direct=False)
        for suspicion in message.suspicions:
            self._suspected(suspicion, now)
        newer = tuple(n for n in message.documents if self._is_newer(n))
        fresh = tuple(m for m in message.marks if self.mark(m))
        reply = None
        if message.wants_reply:
            reply = self.compose(for_hungry=message.hungry)
        return Taken(changed, newer, fresh, reply)

    def sweep(self, now: ids.Instant) -> list[MemberNews]:
        """Suspect who owes a reply; drop and return who did not refute."""
        stood_still = now - self.swept_at > STOOD_STILL_PERIODS * self.tempo.period_s
        self.swept_at = now
        if stood_still:
            # It was this process that did not listen.
            self.due_by_host.clear()
            for known in self.known_by_host.values():
                known.suspect_until = ids.NEVER
                known.missed = 0
        for host, due in list(self.due_by_host.items()):
            if due <= now:
                del self.due_by_host[host]
                self._missed(host, now)
        dead = [k.news for k in self.known_by_host.values() if k.suspect_until <= now]
        for news in dead:
            self._bury(news)
        return dead

    def suspect_s(self) -> float:
        """Return how long a suspicion may stand before its bearer is dropped."""
        return self.tempo.suspect_s + SUSPECT_S_PER_DOUBLING * self._doublings()

    def ready_members(self) -> list[ownership.Member]:
        """Return the entries that serve, this one included."""
        ready = [
            ownership.Member(k.news.zone, k.news.host)
            for k in self.known_by_host.values()
            if k.news.status is Status.READY
        ]
        return [*ready, ownership.Member(self.me.zone, self.me.host)]

    def _hear(self, news: MemberNews, now: ids.Instant, *, direct: bool) -> bool:
        if news.host == self.me.host:
            return False
        age = (news.epoch, news.heartbeat)
        if direct:
            self.due_by_host.pop(news.host, None)
            self.buried_by_host.pop(news.host, None)
        elif self.buried_by_host.get(news.host, (0, 0)) >= age:
            return False
        known = self.known_by_host.get(news.host)
        if known is None:
            return self._meet(news, now)
        old = known.news
        old_age = (old.epoch, old.heartbeat)
        if age < old_age or (age == old_age and not direct):
            return False
        if direct:
            known.missed = 0
        if known.suspected and (direct or age > old_age):
            known.suspect_until = ids.NEVER
            self._spread(news.host)
        known.news = news
        known.heard_at = now
        changed = news.incarnation != old.incarnation or news.status is not old.status
        if changed or news.demand != old.demand:
            self._spread(news.host)
        return changed

    def _meet(self, news: MemberNews, now: ids.Instant) -> bool:
        if len(self.known_by_host) >= MAX_MEMBERS:
            return False
        self.known_by_host[news.host] = Known(news, now)
        self._spread(news.host)
        return True

    def _missed(self, host: ids.HostId, now: ids.Instant) -> None:
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

    def _suspected(self, suspicion: Suspicion, now: ids.Instant) -> None:
        age = (suspicion.epoch, suspicion.heartbeat)
        if suspicion.host == self.me.host:
            if age >= (self.me.epoch, self.me.heartbeat):
                self.become(self.me.status, self.me.bundle_version)
            return
        known = self.known_by_host.get(suspicion.host)
        if known is not None and age == (known.news.epoch, known.news.heartbeat):
            self._suspect(suspicion.host, now)

    def _bury(self, news: MemberNews) -> None:
        del self.known_by_host[news.host]
        self.repeats_by_host.pop(news.host, None)
        self.buried_by_host[news.host] = (news.epoch, news.heartbeat)
        if len(self.buried_by_host) > MAX_BURIED:
            self.buried_by_host.popitem(last=False)

    def _spread(self, host: ids.HostId) -> None:
        self.repeats_by_host[host] = REPEATS_PER_DOUBLING * self._doublings()

    def _doublings(self) -> int:
        return math.ceil(math.log2(len(self.known_by_host) + 2))

    def _suspects(self) -> list[ids.HostId]:
        return [host for host, k in self.known_by_host.items() if k.suspected]

    def _next_in_turn(self) -> ids.HostId:
        while self.turn:
            host = self.turn.pop()
            if host in self.known_by_host:
                return host
        self.turn = list(self.known_by_host)
        self.rng.shuffle(self.turn)
        return self.turn.pop()

    def _is_newer(self, news: DocumentNews) -> bool:
        have = self.news_by_kind.get(news.kind)
        return have is None or news.version > have.version

    def _members_to_send(self, for_hungry: bool) -> tuple[MemberNews, ...]:
        picked = [
            host
            for host in list(self.repeats_by_host)[-MEMBERS_PER_MESSAGE:]
            if host in self.known_by_host
        ]
        for host in picked:
            self.repeats_by_host[host] -= 1
            if self.repeats_by_host[host] <= 0:
                del self.repeats_by_host[host]
        if for_hungry:
            rest = list(self.known_by_host)
            room = MEMBERS_FOR_HUNGRY - len(picked)
            picked += self.rng.sample(rest, min(room, len(rest)))
        return tuple(self.known_by_host[h].news for h in dict.fromkeys(picked))

    def _suspicions_to_send(self) -> tuple[Suspicion, ...]:
        picked = self._suspects()[-SUSPICIONS_PER_MESSAGE:]
        found = [self.known_by_host[host].news for host in picked]
        return tuple(Suspicion(n.host, n.epoch, n.heartbeat) for n in found)

    def _marks_to_send(self) -> tuple[Mark, ...]:
        """Pick fresh marks first, then some of the rest for newcomers."""
        fresh = [m for m, left in self.repeats_by_mark.items() if left > 0]
        picked = fresh[-MARKS_PER_MESSAGE:]
        for mark in picked:
            self.repeats_by_mark[mark] -= 1
        room = MARKS_PER_MESSAGE - len(picked)
        if room and len(picked) < len(self.repeats_by_mark):
            rest = [m for m, left in self.repeats_by_mark.items() if left <= 0]
            picked += self.rng.sample(rest, min(room, len(rest)))
        return tuple(dict.fromkeys(picked))
