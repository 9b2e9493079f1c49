"""
Gossip membership: the link to the other gateways and the protocol rounds over it.

Owns the socket, the periodic gossip rounds and the bootstrap (peers from the settings,
discovery records of the source). ``peers.gossip`` holds the member list; listeners
handle the parts of a message that do not concern membership.
"""

import asyncio
import typing

from spindlenotch import events, ids
from spindlenotch.gateway import jitter, state
from spindlenotch.gateway.cluster import peer_distance
from spindlenotch.peers import (
    documents,
    gossip,
    messages,
    msgpack_codec,
    peer_link,
    peer_seal,
    region_links,
    regional_gossip,
)

#: Seconds between the first two bootstrap rounds, and the factor by which each further
#: pause grows: hosts that start at the same time may be up, or have read the source, a
#: moment later, and the seed peers of the settings must not be asked by all at once.
FIRST_PAUSE_S = 0.05
PAUSE_FACTOR = 1.25
#: Bootstrap rounds before the periodic ones begin; 1.7 s in total.
BOOTSTRAP_ROUNDS = 10
#: Known peers asked in each bootstrap round, besides one from the settings.
BOOTSTRAP_FANOUT = 2


class MessageListener(typing.Protocol):
    """A handler of the parts of peer messages that do not concern membership."""

    def message_received(
        self, message: messages.Message, handled: gossip.Handled
    ) -> None:
        """Handle an authenticated message that gossip has already processed."""


class Membership:
    """
    Runs the gossip protocol of one gateway.

    Invariant: a peer that requests a document gets the one in ``state.fence``.
    """

    def __init__(self, gateway_state: state.GatewayState) -> None:
        self.state = gateway_state
        self._listeners: list[MessageListener] = []
        self._distances = peer_distance.PeerDistance(gateway_state)
        self._lost_regions: set[ids.RegionName] = set()
        self.link = peer_link.PeerLink(
            peer_seal.Sealer(gateway_state.config.peer_keys),
            gateway_state.metrics,
            on_gossip=self._on_gossip,
            on_frame=self._on_frame,
            codec=msgpack_codec.MSGPACK,
            distance_to=self._distances.to,
        )

    def add_listener(self, listener: MessageListener) -> None:
        """Register ``listener`` for later messages, after those already registered."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Open the peer socket."""
        await self.link.start(self.state.config.peer_listen)

    async def stop(self) -> None:
        """Close the peer socket."""
        await self.link.stop()

    async def run(self) -> None:
        """Run the bootstrap, then one gossip round per period until cancelled."""
        await self._bootstrap()
        while True:
            self.run_round()
            await self.state.wakeups.sleep(self.state.gossip.timing.period_s)

    def run_round(self) -> None:
        """
        Run one gossip round.

        Sends to a few peers, detects failed ones by their overdue replies, and sends
        the summary of this region to another one if it is due.
        """
        gateway_state = self.state
        targets = gateway_state.gossip.targets(
            gateway_state.config.peers, gateway_state.clock.now()
        )
        targets += self._unknown_discovered_peers(targets)
        self.link.send(gateway_state.gossip.compose(wants_reply=True), targets)
        for record in gateway_state.gossip.sweep(gateway_state.clock.now()):
            events.emit(events.Event.PEER_GONE, host=record.host)
        if isinstance(gateway_state.gossip, regional_gossip.RegionalGossip):
            self._gossip_with_regions(gateway_state.gossip)

    def _gossip_with_regions(self, local: regional_gossip.RegionalGossip) -> None:
        """Send to another region if due, and report regions that are lost or back."""
        now = self.state.clock.now()
        targets = local.remote_targets(
            self._fallback_addresses_by_region(local.links), now
        )
        if targets:
            self.link.send(local.compose_remote(now, wants_reply=True), targets)
        reachable = local.links.recent_summaries(now, region_links.SUMMARY_EXPIRY_S)
        lost = local.links.received_by_region.keys() - reachable.keys()
        for region in sorted(lost - self._lost_regions):
            events.emit(events.Event.REGION_LOST, region=region)
        for region in sorted(self._lost_regions - lost):
            events.emit(events.Event.REGION_BACK, region=region)
        self._lost_regions = lost

    def _fallback_addresses_by_region(
        self, links: region_links.RegionLinks
    ) -> dict[ids.RegionName, list[ids.Address]]:
        """Return addresses to try where another region has not been heard of."""
        seeds = [
            address
            for address in self.state.config.peers
            if address != self.state.config.peer_listen
        ]
        addresses_by_region = {region: list(seeds) for region in links.others}
        for record in self.state.discovery_record_by_zone.values():
            region = links.known.region(record.zone)
            if region in addresses_by_region:
                addresses_by_region[region].append(record.peer_address)
        return addresses_by_region

    def announce(self) -> None:
        """Send this gateway's record to every known peer immediately."""
        addresses = [
            peer.record.peer_address
            for peer in self.state.gossip.known_by_host.values()
        ]
        self.link.send(self.state.gossip.compose(), addresses)

    async def _bootstrap(self) -> None:
        """
        Ask peers until this gateway is ready, for ``BOOTSTRAP_ROUNDS`` at most.

        Asks all peers from the settings until one has answered, then one of them and
        some known peers, so that in a large fleet the seeds are not asked by all.
        """
        gateway_state = self.state
        others = [
            address
            for address in gateway_state.config.peers
            if address != gateway_state.config.peer_listen
        ]
        pause_s = FIRST_PAUSE_S
        for _ in range(BOOTSTRAP_ROUNDS):
            if gateway_state.ready or not others:
                return
            targets = others
            known = gateway_state.gossip.random_targets(BOOTSTRAP_FANOUT)
            if known:
                targets = [*known, gateway_state.rng.choice(others)]
            self.link.send(gateway_state.gossip.compose(wants_reply=True), targets)
            await asyncio.sleep(jitter.jittered(pause_s, gateway_state.rng))
            pause_s *= PAUSE_FACTOR

    def _unknown_discovered_peers(self, asked: list[ids.Address]) -> list[ids.Address]:
        """Return the region's peers known only from discovery records of the source."""
        local = self.state.gossip
        reached = {peer.record.peer_address for peer in local.known_by_host.values()}
        reached.update(asked, [local.local.peer_address])
        records = self.state.discovery_record_by_zone.values()
        return [
            record.peer_address
            for record in records
            if record.peer_address not in reached
            and self.state.regions.region(record.zone) == self.state.region
        ]

    def _on_gossip(self, message: messages.Message) -> None:
        handled = self.state.gossip.handle(message, self.state.clock.now())
        if handled.reply is not None:
            self.link.send(handled.reply, [message.sender.peer_address])
        for listener in self._listeners:
            listener.message_received(message, handled)
        if handled.members_changed:
            events.emit(
                events.Event.PEER_SEEN,
                host=message.sender.host,
                status=message.sender.status.name,
            )

    def _on_frame(self, frame: messages.DocumentFrame) -> documents.Document:
        return self.state.fence.held(frame.document.kind)
