"""
Measure gossip: bytes, processor time, spread, and how a failure is detected.

Simulates a whole fleet of the product's own gossip state machines, period by
period, with lost messages. ``measure_capacity`` runs it for docs/CAPACITY.md.
"""

import random

from spindlenotch import ids
from spindlenotch.peers import (
    capnp_codec,
    documents,
    gossip,
    known_peer,
    messages,
    peer_seal,
    probing,
    timing,
    wire_format,
)
from tools import slopes

#: Bytes around a message: authentication code, UDP and IP headers.
OVERHEAD_BYTES = peer_seal.MAC_BYTES + 28
#: Share of messages that get lost.
LOST_SHARE = 0.01
#: Periods of a fleet without failures.
STEADY_PERIODS = 30


def member(number: int) -> messages.MemberRecord:
    """Return the record of a member."""
    return messages.MemberRecord(
        ids.HostId(f"entry-{number:04}"),
        ids.ZoneName(f"zone-{number % 5}"),
        ids.Incarnation(f"{number:016x}"),
        ids.Address(f"10.0.{number // 250}.{number % 250}:8080"),
        ids.Address(f"10.0.{number // 250}.{number % 250}:8081"),
        1_700_000_000_000,
        1000 + number,
        messages.Status.READY,
        12,
    )


def gossiper(fleet: int, number: int = 0) -> gossip.Gossip:
    """Return the gossip of one member that knows the whole fleet."""
    state = gossip.Gossip(member(number), random.Random(number))
    for other in range(fleet):
        if other != number:
            state.known_by_host[member(other).host] = known_peer.Peer(
                member(other), slopes.NOW
            )
    state.advertise(
        messages.DocumentVersion(
            documents.DocumentKind.BUNDLE, 12, ids.Digest("a" * 64)
        )
    )
    state.advertise(
        messages.DocumentVersion(documents.DocumentKind.HOSTS, 99, ids.Digest(""))
    )
    return state


class Fleet:
    """Gossip of a whole fleet, period by period, with lost messages."""

    def __init__(self, size: int, lost: float = LOST_SHARE) -> None:
        self.rng = random.Random(size)
        self.lost = lost
        self.gossips = [gossiper(size, n) for n in range(size)]
        self.by_address = {g.local.peer_address: g for g in self.gossips}
        self.dead: set[gossip.Gossip] = set()
        self.now = slopes.NOW
        self.bytes = 0
        self.drops: list[tuple[float, ids.HostId]] = []

    def period(self) -> None:
        """Let every living member probe, and those that are probed reply."""
        self.now = ids.later(self.now, timing.PERIOD_S)
        for sender in self.gossips:
            if sender in self.dead:
                continue
            for record in sender.sweep(self.now):
                self.drops.append((self.now, record.host))
            targets = sender.targets([], self.now)
            message = sender.compose(wants_reply=True)
            for target in targets:
                self._send(message, self.by_address[target])

    def _send(self, message: messages.Message, target: gossip.Gossip) -> None:
        self.bytes += len(capnp_codec.CAPNP.encode_gossip(message)) + OVERHEAD_BYTES
        if target in self.dead or self.rng.random() < self.lost:
            return
        handled = target.handle(message, self.now)
        if handled.reply is not None:
            self._send(handled.reply, self.by_address[message.sender.peer_address])


def gossip_costs() -> None:
    """Show bytes and processor time of gossip per second and member."""
    sealer = peer_seal.Sealer((slopes.KEY,))
    sizes, cpu, drops = [], [], []
    for fleet in slopes.FLEETS:
        simulated = Fleet(fleet)
        for _ in range(STEADY_PERIODS):
            simulated.period()
        # Each byte is sent by one member and received by another.
        sizes.append(2 * simulated.bytes / fleet / STEADY_PERIODS)
        drops.append(float(len(simulated.drops)))
        prober = simulated.gossips[0]
        message = simulated.gossips[1].compose(wants_reply=True)
        data = sealer.seal(capnp_codec.CAPNP.encode_gossip(message))

        def period(g: gossip.Gossip = prober, d: bytes = data) -> None:
            """Probe three, be probed by three: six messages out, six in."""
            g.sweep(slopes.NOW)
            g.targets([], slopes.NOW)
            g.probes.cancel()
            sealer.seal(capnp_codec.CAPNP.encode_gossip(g.compose(wants_reply=True)))
            for _ in range(2 * probing.FANOUT):
                payload = sealer.open(d, wire_format.MAX_DATAGRAM_BYTES)
                assert isinstance(payload, bytes)
                received = capnp_codec.CAPNP.decode_gossip(payload)
                assert isinstance(received, messages.Message)
                reply = g.handle(received, slopes.NOW).reply
                assert reply is not None
                sealer.seal(capnp_codec.CAPNP.encode_gossip(reply))
            g.ready_members()

        cpu.append(slopes.timed(period, 200) * 1e6)
    slopes.show(
        "gossip at rest, sent and received, B/s per member", "B/s", slopes.FLEETS, sizes
    )
    slopes.show("gossip, processor time us/s per member", "us/s", slopes.FLEETS, cpu)
    slopes.show(
        f"living members dropped in {STEADY_PERIODS} periods, {LOST_SHARE:.0%} lost",
        "",
        slopes.FLEETS,
        drops,
    )


def spread() -> None:
    """Show the periods until a drain notice or a failure is known everywhere."""
    spread_periods, drop_periods, drop_bytes = [], [], []
    for fleet in slopes.FLEETS:
        simulated = Fleet(fleet)
        notice = messages.DrainNotice(ids.ServiceName("s"), ids.UpstreamId("u"), 1)
        simulated.gossips[0].add_drain_notice(notice)
        steps = 0
        # The worst case: only periodic messages, none of those sent at once.
        while not all(notice in g.repeats_by_drain_notice for g in simulated.gossips):
            steps += 1
            simulated.period()
        spread_periods.append(float(steps))
        victim = simulated.gossips[-1]
        simulated.dead.add(victim)
        steps, before = 0, simulated.bytes
        living = [g for g in simulated.gossips if g is not victim]
        while any(victim.local.host in g.known_by_host for g in living):
            steps += 1
            simulated.period()
        drop_periods.append(float(steps))
        drop_bytes.append(2 * (simulated.bytes - before) / fleet / steps)
    slopes.show(
        "periods of 1 s until a drain notice is everywhere, periodic messages only",
        "",
        slopes.FLEETS,
        spread_periods,
    )
    slopes.show(
        "seconds until a killed entry is dropped everywhere",
        "s",
        slopes.FLEETS,
        drop_periods,
    )
    slopes.show("gossip meanwhile, B/s per member", "B/s", slopes.FLEETS, drop_bytes)
