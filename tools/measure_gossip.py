"""
Measure gossip: bytes, processor time, spread, and how a death is noticed.

A whole fleet of the product's own gossip state machines, period by period.
"""

import random

from spindlenotch import ids
from spindlenotch.peers import documents, gossip, peer_codec, peer_seal
from tools import slopes


def member(number: int) -> gossip.MemberRecord:
    """Return a member as its news would look."""
    return gossip.MemberRecord(
        ids.HostId(f"entry-{number:04}"),
        ids.ZoneName(f"zone-{number % 5}"),
        ids.Incarnation(f"{number:016x}"),
        ids.Address(f"10.0.{number // 250}.{number % 250}:8080"),
        ids.Address(f"10.0.{number // 250}.{number % 250}:8081"),
        1_700_000_000_000,
        1000 + number,
        gossip.Status.READY,
        12,
    )


def gossiper(fleet: int, number: int = 0) -> gossip.Gossip:
    """Return an entry's gossip that knows the whole fleet."""
    made = gossip.Gossip(member(number), random.Random(number))
    for other in range(fleet):
        if other != number:
            made.known_by_host[member(other).host] = gossip.Peer(
                member(other), slopes.NOW
            )
    made.advertise(
        gossip.DocumentVersion(documents.DocumentKind.BUNDLE, 12, ids.Digest("a" * 64))
    )
    made.advertise(
        gossip.DocumentVersion(documents.DocumentKind.HOSTS, 99, ids.Digest(""))
    )
    return made


class Fleet:
    """Gossip of a whole fleet, period by period, with lost messages."""

    def __init__(self, size: int, lost: float = 0.01) -> None:
        self.rng = random.Random(size)
        self.lost = lost
        self.everyone = [gossiper(size, n) for n in range(size)]
        self.by_address = {g.local.peer_address: g for g in self.everyone}
        self.dead: set[gossip.Gossip] = set()
        self.now = slopes.NOW
        self.bytes = 0
        self.messages = 0
        self.drops: list[tuple[float, ids.HostId]] = []

    def period(self) -> None:
        """Let every living entry ask around and everybody answer."""
        self.now = ids.later(self.now, gossip.PERIOD_S)
        for one in self.everyone:
            if one in self.dead:
                continue
            for news in one.sweep(self.now):
                self.drops.append((self.now, news.host))
            targets = one.targets([], self.now)
            message = one.compose(wants_reply=True)
            for target in targets:
                self._send(message, self.by_address[target])

    def _send(self, message: gossip.Message, target: gossip.Gossip) -> None:
        self.bytes += len(peer_codec.CAPNP.encode_gossip(message)) + OVERHEAD
        self.messages += 1
        if target in self.dead or self.rng.random() < self.lost:
            return
        taken = target.handle(message, self.now)
        if taken.reply is not None:
            self._send(taken.reply, self.by_address[message.sender.peer_address])


#: Authentication code, UDP and IP headers.
OVERHEAD = 16 + 28


def gossip_costs() -> None:
    """Bytes and processor time of gossip per second and node."""
    sealer = peer_seal.Sealer((slopes.KEY,))
    sizes, cpu, drops = [], [], []
    for fleet in slopes.FLEETS:
        everyone = Fleet(fleet)
        for _ in range(30):
            everyone.period()
        # Each byte is sent by one node and received by another.
        sizes.append(2 * everyone.bytes / fleet / 30)
        drops.append(float(len(everyone.drops)))
        one = everyone.everyone[0]
        message = everyone.everyone[1].compose(wants_reply=True)
        data = sealer.seal(peer_codec.CAPNP.encode_gossip(message))

        def period(g: gossip.Gossip = one, d: bytes = data) -> None:
            """Ask three, be asked by three: six messages out, six in."""
            g.sweep(slopes.NOW)
            g.targets([], slopes.NOW)
            g.probes.cancel()
            sealer.seal(peer_codec.CAPNP.encode_gossip(g.compose(wants_reply=True)))
            for _ in range(2 * gossip.FANOUT):
                payload = sealer.open(d, peer_seal.MAX_DATAGRAM)
                assert isinstance(payload, bytes)
                heard = peer_codec.CAPNP.decode_gossip(payload)
                assert isinstance(heard, gossip.Message)
                reply = g.handle(heard, slopes.NOW).reply
                assert reply is not None
                sealer.seal(peer_codec.CAPNP.encode_gossip(reply))
            g.ready_members()

        cpu.append(slopes.timed(period, 200) * 1e6)
    slopes.show(
        "gossip at rest, sent and received, B/s per node", "B/s", slopes.FLEETS, sizes
    )
    slopes.show("gossip, processor time us/s per node", "us/s", slopes.FLEETS, cpu)
    slopes.show(
        "living members dropped in 30 periods, 1% lost", "", slopes.FLEETS, drops
    )


def spread() -> None:
    """Periods until news has reached a whole fleet, by the real state machine."""
    rounds, gone, loud = [], [], []
    for fleet in slopes.FLEETS:
        everyone = Fleet(fleet)
        notice = gossip.DrainNotice(ids.ServiceName("s"), ids.UpstreamId("u"), 1)
        everyone.everyone[0].add_drain_notice(notice)
        steps = 0
        # The worst case: only the periodic messages, none of the eager ones.
        while not all(notice in g.repeats_by_drain_notice for g in everyone.everyone):
            steps += 1
            everyone.period()
        rounds.append(float(steps))
        victim = everyone.everyone[-1]
        everyone.dead.add(victim)
        steps, before = 0, everyone.bytes
        living = [g for g in everyone.everyone if g is not victim]
        while any(victim.local.host in g.known_by_host for g in living):
            steps += 1
            everyone.period()
        gone.append(float(steps))
        loud.append(2 * (everyone.bytes - before) / fleet / steps)
    slopes.show(
        "periods of 1 s until a mark is everywhere, no eager sends",
        "",
        slopes.FLEETS,
        rounds,
    )
    slopes.show(
        "seconds until a killed entry is dropped everywhere", "s", slopes.FLEETS, gone
    )
    slopes.show("gossip meanwhile, B/s per node", "B/s", slopes.FLEETS, loud)
