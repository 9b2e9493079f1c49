"""
Gateways of several regions in virtual time: their gossip, views and directories.

Each is the product's own state, membership and fleet; only clock and network are
stand-ins. The network takes longer between regions, can lose messages there, and can
be cut between any two gateways.
"""

import heapq
import itertools
import random
from collections import abc

from spindlenotch import clock, ids
from spindlenotch.gateway import lifecycle, settings, state as states
from spindlenotch.gateway.cluster import fleet as fleets, membership, rate_sharers
from spindlenotch.kernel import regions
from spindlenotch.peers import messages, msgpack_codec, workload

REGIONS = ("north", "middle", "south")
REGION_BY_ZONE = {f"{region}-{letter}": region for region in REGIONS for letter in "ab"}
ZONES = tuple(REGION_BY_ZONE)
NEAR_S = 0.0005
FAR_S = 0.008
STEP_S = 0.02

#: Tells whether a message of one gateway reaches another.
Reaches = abc.Callable[["Gateway", "Gateway"], bool]


class Gateway:
    """One gateway, without sockets and loops."""

    def __init__(self, world: "World", number: int, seeds: list[str]) -> None:
        self.world = world
        self.number = number
        self.zone = ZONES[number % len(ZONES)]
        self.region = REGION_BY_ZONE[self.zone]
        self.address = ids.Address(f"10.0.{number // 200}.{number % 200 + 1}:90")
        given = {
            "host": f"g{number}",
            "zone": self.zone,
            "listen": self.address.replace(":90", ":80"),
            "peer_listen": self.address,
            "peers": ",".join(seeds),
            "source": "http://127.0.0.1:1",
            "source_driver": "platform",
            "peer_keys": "0123456789abcdef",
            "region_by_zone": ",".join(f"{z}={r}" for z, r in REGION_BY_ZONE.items()),
            "seed": str(number + 1),
        }
        config = settings.read(given, {})
        assert isinstance(config, settings.GatewaySettings), config
        self.state = states.GatewayState(config, world.clock)
        self.fleet = fleets.Fleet(self.state)
        self.rate_sharers = rate_sharers.RateSharers(self.state, self.fleet)
        self.membership = membership.Membership(self.state)
        self.membership.link.send = self.send  # type: ignore[method-assign]
        self.state.phase = lifecycle.Phase.SERVING
        self.state.publish_status()

    def send(self, message: messages.Message, targets: list[ids.Address]) -> None:
        """Put a message into the network."""
        for target in targets:
            self.world.carry(self, target, message)

    def is_active(self) -> bool:
        """Tell whether callers are sent here, as it sees it itself."""
        return self.state.config.host in self.fleet.active_zones()

    def directory(self, region: str) -> set[str]:
        """Return the regions of the gateways that callers of a region are sent to."""
        found = self.fleet.addresses_for(ids.RegionName(region))
        return {self.world.region_at(address) for address in found}


class World:
    """
    The gateways, their network and the clock.

    ``far_bytes`` counts the bytes of messages that crossed between regions.
    """

    def __init__(self, count: int, seed_numbers: abc.Iterable[int] = (0, 1, 2)) -> None:
        self.clock = clock.ManualClock()
        self.rng = random.Random(count)
        self.reaches: Reaches = lambda one, other: True
        self.far_loss = 0.0
        self.far_bytes = 0
        self.dead: set[int] = set()
        self.gateway_by_address: dict[ids.Address, Gateway] = {}
        self._numbers = itertools.count()
        self._on_way: list[tuple[float, int, Gateway, messages.Message]] = []
        seeds = [f"10.0.0.{number + 1}:90" for number in seed_numbers]
        for number in range(count):
            made = Gateway(self, number, seeds)
            self.gateway_by_address[made.address] = made
        self.gateways = list(self.gateway_by_address.values())
        self._ask_at = [self.rng.uniform(0, 0.4) for _ in self.gateways]

    def region_at(self, address: ids.Address) -> str:
        """Return the region of the gateway that callers reach at an address."""
        peer_address = ids.Address(address.replace(":80", ":90"))
        return self.gateway_by_address[peer_address].region

    def of(self, region: str) -> list[Gateway]:
        """Return the living gateways of a region."""
        return [g for g in self.alive() if g.region == region]

    def alive(self) -> list[Gateway]:
        """Return the living gateways."""
        return [g for g in self.gateways if g.number not in self.dead]

    def carry(
        self, sender: Gateway, target: ids.Address, message: messages.Message
    ) -> None:
        """Take a message to its target, unless it is lost or its way is cut."""
        receiver = self.gateway_by_address.get(target)
        if receiver is None or not self.reaches(sender, receiver):
            return
        far = sender.region != receiver.region
        if far:
            self.far_bytes += len(msgpack_codec.MSGPACK.encode_gossip(message))
        if far and self.rng.random() < self.far_loss:
            return
        at = self.clock.now() + (FAR_S if far else NEAR_S)
        heapq.heappush(self._on_way, (at, next(self._numbers), receiver, message))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            now = self.clock.now()
            while self._on_way and self._on_way[0][0] <= now:
                _, _, receiver, message = heapq.heappop(self._on_way)
                if receiver.number not in self.dead:
                    receiver.membership._on_gossip(message)
            for gateway in self.alive():
                if now >= self._ask_at[gateway.number]:
                    self._ask_at[gateway.number] = now + 0.4
                    gateway.membership.run_round()
                    gateway.fleet.view()

    def set_demand(self, region: str, requests_per_s: float) -> None:
        """Let callers ask the active gateways of a region so much in all."""
        for gateway in self.of(region):
            gateway.state.gossip.set_demand(workload.NO_WORK)
        active = [g for g in self.of(region) if g.is_active()]
        part = workload.Work(requests_per_s / max(1, len(active)), 0.0)
        for gateway in active:
            gateway.state.gossip.set_demand(part)


def known_regions() -> regions.Regions:
    """Return the regions of the zones."""
    return regions.create(
        {ids.ZoneName(z): ids.RegionName(r) for z, r in REGION_BY_ZONE.items()}
    )
