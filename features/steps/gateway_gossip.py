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
