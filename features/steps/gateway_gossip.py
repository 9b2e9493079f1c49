"""Whom a gateway of a large fleet asks, and where the messages go."""

import collections
import random

from features.steps import kernel
from spindlenotch import ids
from spindlenotch.gateway import state
from spindlenotch.peers import gossip, known_peer, messages, probing

ZONES = tuple(ids.ZoneName(name) for name in "abcde")
MEMBERS = 300
PERIODS = 600
#: Seconds after which each member must know its zone, and the share of replies lost.
LEARN_S = 4.0
LOSS = 0.01
PERIOD_S = state.GOSSIP_TIMING.period_s
#: Rounds in which a gateway that starts asks peers of its settings and known ones.
BOOTSTRAP_ROUNDS = 4


def record(number: int, zone: ids.ZoneName) -> messages.MemberRecord:
    """Return the record of a member that is ready."""
    return messages.MemberRecord(
        host=ids.HostId(f"g{number}"),
        zone=zone,
        incarnation=ids.Incarnation("i"),
        address=ids.Address("127.0.0.1:1"),
        peer_address=ids.Address(f"127.0.0.1:{number + 1}"),
        epoch=1,
        heartbeat=0,
        status=messages.Status.READY,
        configuration_version=1,
    )


@kernel.PROPERTIES.register("most gossip of a gateway stays in its zone")
def stays_near() -> None:
    for near_members in (60, 2, 1, 0):
        local = record(MEMBERS, ZONES[0])
        playing = gossip.Gossip(local, random.Random(1), state.GOSSIP_TIMING)
        zones = [ZONES[0]] * near_members
        zones += [ZONES[1 + n % 4] for n in range(MEMBERS - near_members)]
        for number, zone in enumerate(zones):
            playing.membership.known_by_host[ids.HostId(f"g{number}")] = (
                known_peer.Peer(record(number, zone), kernel.NOW)
            )
        asked: collections.Counter[ids.HostId] = collections.Counter()
        for _ in range(PERIODS):
            hosts = playing.probes.next_hosts(playing.known_by_host, kernel.NOW)
            assert len(set(hosts)) == probing.FANOUT
            asked.update(hosts)
        near = sum(asked[ids.HostId(f"g{n}")] for n in range(near_members))
        least = min(near_members, probing.FANOUT - 1) / probing.FANOUT
        assert near >= least * asked.total(), (near_members, near)
        # Each is asked in its turn: the others in as many periods as there are.
        assert len(asked) == MEMBERS


@kernel.PROPERTIES.register("a fleet that starts soon knows who is in its zone")
def learns_its_zone() -> None:
    """Play 300 members that start together and know three peers of the settings."""
    rng = random.Random(3)
    lost = random.Random(4)
    member_by_address: dict[ids.Address, gossip.Gossip] = {}
    for number in range(MEMBERS):
        local = record(number, ZONES[number % len(ZONES)])
        made = gossip.Gossip(local, random.Random(number), state.GOSSIP_TIMING)
        member_by_address[local.peer_address] = made
    order = list(member_by_address)
    seeds = order[:3]
    now = kernel.NOW
    for number in range(BOOTSTRAP_ROUNDS + int(LEARN_S / PERIOD_S)):
        rng.shuffle(order)
        for address in order:
            asking = member_by_address[address]
            targets = asking.targets(seeds, now)
            if number < BOOTSTRAP_ROUNDS:
                targets = [rng.choice(seeds), *asking.random_targets(2)]
            message = asking.compose(wants_reply=True)
            for target in sorted({*targets} - {address}):
                handled = member_by_address[target].handle(message, now)
                if handled.reply is not None and lost.random() > LOSS:
                    asking.handle(handled.reply, now)
            asking.sweep(now)
        now = ids.later(now, PERIOD_S)
    in_zone = MEMBERS // len(ZONES) - 1
    for member in member_by_address.values():
        near = [
            peer
            for peer in member.known_by_host.values()
            if peer.record.zone == member.local.zone
        ]
        assert len(near) > 0.9 * in_zone, (member.local.host, len(near))
