"""
What callers are told of a gateway that died, in virtual time.

Plays the gossip of 120 gateways in three zones, a hundredth of the messages lost; five
die at the same moment. Each of the others answers callers by the product's own view of
the fleet.
"""

import random
import types
import typing

from features.steps import kernel
from spindlenotch import ids
from spindlenotch.gateway import lifecycle, state
from spindlenotch.gateway.cluster import fleet as fleets
from spindlenotch.peers import gossip, known_peer, messages

MEMBERS = 120
DEAD = tuple(range(5))
ZONES = kernel.ZONES
LOSS = 0.01
PERIOD_S = state.GOSSIP_TIMING.period_s
#: How often what callers would be told is looked at.
LOOK_S = 0.05
#: By the users' rules a host that is gone is in no answer this long after its end.
BOUND_S = 6.0
#: After this long no answer has it, and on average after that.
LONGEST_S = 3.0
USUAL_S = 2.2
#: Share of the living gateways that are told all the same; of a lost message one that
#: lives is suspected until it answers.
NAMED_SHARE = 0.97


def record_of(number: int) -> messages.MemberRecord:
    """Return the record of a gateway that is ready."""
    return messages.MemberRecord(
        host=ids.HostId(f"g{number}"),
        zone=ZONES[number % len(ZONES)],
        incarnation=ids.Incarnation("i"),
        address=ids.Address(f"127.0.0.1:{number + 1}"),
        peer_address=ids.Address(f"127.0.0.2:{number + 1}"),
        epoch=1,
        heartbeat=0,
        status=messages.Status.READY,
        configuration_version=1,
    )


class Member:
    """One gateway: its gossip, its view, and when it asks the next peers."""

    def __init__(self, number: int) -> None:
        rng = random.Random(number)
        self.gossip = gossip.Gossip(record_of(number), rng, state.GOSSIP_TIMING)
        config = types.SimpleNamespace(entries_per_zone=MEMBERS)
        seen = types.SimpleNamespace(
            gossip=self.gossip, phase=lifecycle.Phase.SERVING, config=config
        )
        self.fleet = fleets.Fleet(typing.cast(state.GatewayState, seen))
        self.asks_at = rng.uniform(0.0, PERIOD_S)

    def names(self, host: ids.HostId) -> bool:
        """Tell whether callers are told to use a gateway."""
        return host in self.fleet.active_addresses()


def fleet_of(count: int) -> list[Member]:
    """Return gateways that know each other."""
    members = [Member(number) for number in range(count)]
    for member in members:
        for other in members:
            if other is not member:
                record = other.gossip.local
                peer = known_peer.Peer(record, kernel.NOW)
                member.gossip.membership.known_by_host[record.host] = peer
    return members


def removal_times() -> list[float]:
    """Return for each living gateway and dead one when it was told no more."""
    members = fleet_of(MEMBERS)
    living = members[len(DEAD) :]
    by_address = {member.gossip.local.peer_address: member for member in living}
    dead_hosts = [members[number].gossip.local.host for number in DEAD]
    lost = random.Random(1)
    found: dict[tuple[ids.HostId, ids.HostId], float] = {}
    step = 0
    while step * LOOK_S <= BOUND_S:
        at = step * LOOK_S
        now = ids.later(kernel.NOW, at)
        for member in living:
            if member.asks_at <= at:
                member.asks_at += PERIOD_S
                ask(member, by_address, lost, now)
            for host in dead_hosts:
                key = (member.gossip.local.host, host)
                if key not in found and not member.names(host):
                    found[key] = at
        step += 1
    assert len(found) == len(living) * len(dead_hosts), "told beyond the bound"
    hosts = [member.gossip.local.host for member in living]
    named = sum(member.names(host) for member in living for host in hosts)
    assert named >= NAMED_SHARE * len(living) ** 2, named / len(living) ** 2
    return list(found.values())


def ask(
    member: Member,
    by_address: dict[ids.Address, Member],
    lost: random.Random,
    now: ids.Instant,
) -> None:
    """Let a gateway ask its next peers; a dead one says nothing."""
    asking = member.gossip
    message = asking.compose(wants_reply=True)
    for target in asking.targets([], now):
        asked = by_address.get(target)
        if asked is None or lost.random() < LOSS:
            continue
        reply = asked.gossip.handle(message, now).reply
        if reply is not None and lost.random() >= LOSS:
            asking.handle(reply, now)
    asking.sweep(now)


@kernel.PROPERTIES.register("callers are not told of a gateway that died")
def dead_gateways() -> None:
    times = removal_times()
    mean_s = sum(times) / len(times)
    assert max(times) <= LONGEST_S, max(times)
    assert mean_s <= USUAL_S, mean_s
