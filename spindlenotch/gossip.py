"""
What entries tell each other: who is alive, which documents are in force,
which upstreams are leaving, who holds the right to measure.

A pure state machine: ``compose`` builds the next message, ``take`` takes one
in and returns what it changes. Each message has a bounded size whatever the
size of the fleet; news travels in a number of steps that grows with the
fleet's logarithm.
"""

import collections
import dataclasses
import enum
import random
from collections import abc

from spindlenotch import documents, ids, ownership

FANOUT = 3
PERIOD_S = 1.0
MEMBERS_PER_MESSAGE = 6
MARKS_PER_MESSAGE = 12
#: A member is dropped when its heartbeat has stood still for so many periods,
#: plus a share of the fleet's size: news of one member comes round in turns.
DEAD_AFTER_PERIODS = 6
DEAD_AFTER_PERIODS_PER_MEMBER = 0.15
#: A mark goes first in this many messages, then takes its turn with others.
MARK_REPEATS = 12
MAX_MARKS = 4096
MAX_MEMBERS = 4096


class Status(enum.Enum):
    """What an entry says of itself; the value is its number on the wire."""

    STARTING = 0
    READY = 1
    LEAVING = 2


@dataclasses.dataclass(frozen=True, slots=True)
class MemberNews:
    """What is said of one entry. Higher (epoch, heartbeat) is newer."""

    host: ids.HostId
    zone: ids.ZoneName
    incarnation: ids.Incarnation
    address: ids.Address
    peer_address: ids.Address
    epoch: int
    heartbeat: int
    status: Status
    bundle_version: int


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
class Message:
    """One datagram between entries."""

    sender: MemberNews
    sequence: int
    documents: tuple[DocumentNews, ...] = ()
    members: tuple[MemberNews, ...] = ()
    marks: tuple[Mark, ...] = ()


@dataclasses.dataclass(slots=True)
class Known:
    """A member as known here; ``heard_at`` is when its news last advanced."""

    news: MemberNews
    heard_at: ids.Instant


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """What a message changed."""

    members_changed: bool
    newer: tuple[DocumentNews, ...]
    marks: tuple[Mark, ...]


class Gossip:
    """
    One entry's view of its peers.

    Invariants: news of a member never replaces newer news; the own entry is
    never in ``known_by_host``; a mark, once known, stays until its
    generation is superseded (``forget_marks``).
    """

    def __init__(self, me: MemberNews, rng: random.Random) -> None:
        self.me = me
        self.rng = rng
        self.sequence = 0
        self.known_by_host: dict[ids.HostId, Known] = {}
        self.repeats_by_mark: collections.OrderedDict[Mark, int] = (
            collections.OrderedDict()
        )
        self.news_by_kind: dict[documents.DocumentKind, DocumentNews] = {}

    def beat(self) -> None:
        """Advance the own heartbeat; called once a period."""
        self.me = dataclasses.replace(self.me, heartbeat=self.me.heartbeat + 1)

    def become(self, status: Status, bundle_version: int) -> None:
        """Change what is said of this entry."""
        self.me = dataclasses.replace(
            self.me,
            status=status,
            bundle_version=bundle_version,
            heartbeat=self.me.heartbeat + 1,
        )

    def have(self, news: DocumentNews) -> None:
        """Note which document is in force here."""
        self.news_by_kind[news.kind] = news

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

    def targets(self, seeds: abc.Sequence[ids.Address]) -> list[ids.Address]:
        """Pick whom to tell: random members, or seeds where few are known."""
        known = [k.news.peer_address for k in self.known_by_host.values()]
        options = known if len(known) >= FANOUT else list({*known, *seeds})
        options = [a for a in options if a != self.me.peer_address]
        return self.rng.sample(options, min(FANOUT, len(options)))

    def compose(self) -> Message:
        """Build the next message."""
        self.sequence += 1
        everyone = list(self.known_by_host.values())
        picked = self.rng.sample(everyone, min(MEMBERS_PER_MESSAGE, len(everyone)))
        return Message(
            self.me,
            self.sequence,
            tuple(self.news_by_kind.values()),
            tuple(known.news for known in picked),
            self._marks_to_send(),
        )

    def take(self, message: Message, now: ids.Instant) -> Taken:
        """Take in a message from a peer."""
        changed = self._hear(message.sender, now)
        for news in message.members:
            changed |= self._hear(news, now)
        newer = tuple(n for n in message.documents if self._is_newer(n))
        fresh = tuple(m for m in message.marks if self.mark(m))
        return Taken(changed, newer, fresh)

    def sweep(self, now: ids.Instant) -> list[MemberNews]:
        """Drop members that have fallen silent; return them."""
        limit = self.dead_after_s()
        dead = [k.news for k in self.known_by_host.values() if now - k.heard_at > limit]
        for news in dead:
            del self.known_by_host[news.host]
        return dead

    def dead_after_s(self) -> float:
        """Return how long a member may be silent before it is dropped."""
        extra = DEAD_AFTER_PERIODS_PER_MEMBER * len(self.known_by_host)
        return PERIOD_S * (DEAD_AFTER_PERIODS + extra)

    def ready_members(self) -> list[ownership.Member]:
        """Return the entries that serve, this one included."""
        ready = [
            ownership.Member(k.news.zone, k.news.host)
            for k in self.known_by_host.values()
            if k.news.status is Status.READY
        ]
        return [*ready, ownership.Member(self.me.zone, self.me.host)]

    def _hear(self, news: MemberNews, now: ids.Instant) -> bool:
        if news.host == self.me.host:
            return False
        known = self.known_by_host.get(news.host)
        if known is None:
            if len(self.known_by_host) >= MAX_MEMBERS:
                return False
            self.known_by_host[news.host] = Known(news, now)
            return True
        old = known.news
        if (news.epoch, news.heartbeat) <= (old.epoch, old.heartbeat):
            return False
        known.news = news
        known.heard_at = now
        return news.incarnation != old.incarnation or news.status is not old.status

    def _is_newer(self, news: DocumentNews) -> bool:
        have = self.news_by_kind.get(news.kind)
        return have is None or news.version > have.version

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


def readers(
    members: abc.Iterable[ownership.Member],
    zone: ids.ZoneName,
    duty: str,
    count: int,
) -> list[ids.HostId]:
    """
    Return which hosts of ``zone`` carry a duty, the same for equal views.

    Rendezvous hashing: a member that joins or leaves moves no other's duty.
    Differing views give too many or too few holders for a while; every duty
    given out here must be harmless then.
    """
    hosts = [m.host for m in members if m.zone == zone]
    scored = sorted(hosts, key=lambda h: _score(duty, h), reverse=True)
    return scored[:count]


def _score(duty: str, host: ids.HostId) -> tuple[int, str]:
    return random.Random(f"{duty}/{host}").getrandbits(64), host
