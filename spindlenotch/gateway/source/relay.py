"""
Passes configuration and upstream list between gateways, so that few read them.

In each zone one gateway reads the source, in each region where there are several;
the others ask it a few times a second which versions it holds, and fetch documents
from it or from whoever has newer ones. Too many readers or none for a moment do no
harm: a document replaces only an older one. Relies on ``reader_duty`` for who reads
and on ``fleet`` for the order of duty; the documents lie in ``state.fence``.
"""

import asyncio

import msgspec

from spindlenotch import events, ids
from spindlenotch.gateway import state
from spindlenotch.gateway.cluster import fleet
from spindlenotch.gateway.source import reader_duty, routing, sources
from spindlenotch.peers import (
    background,
    document_exchange,
    documents,
    gossip,
    messages,
    peer_link,
    probing,
)

#: Time between two questions to the zone's reader; every second instant of ``wakeups``.
ASK_PERIOD_S = 0.4
#: How long it waits where peers answer, but none has read yet. They are asked ten times
#: meanwhile (``membership.FIRST_PAUSE_S``).
ANSWERED_WAIT_S = 1.0
#: How many times, and how far apart in seconds, a reader announces a new document at
#: once.
ANNOUNCE_ROUNDS = 2
ANNOUNCE_PAUSE_S = 0.1
#: Versions of the list between two revisions of the source, for leases that expire
#: meanwhile.
EXPIRIES_PER_REVISION = 256


class Relay:
    """
    Decides whether this gateway reads, and offers and fetches documents.

    Invariant: a document replaces only an older one (``documents.is_newer``).
    """

    def __init__(
        self,
        gateway_state: state.GatewayState,
        gateway_fleet: fleet.Fleet,
        link: peer_link.PeerLink,
        start_took_s: float = 0.0,
    ) -> None:
        self.state = gateway_state
        self.fleet = gateway_fleet
        self.link = link
        # Not stopped with the gateway: they end with their fetch or announcement.
        self.tasks = background.BackgroundTasks()
        self.exchange = document_exchange.DocumentExchange(
            link, self._receive, self.tasks
        )
        self.started_at = gateway_state.started_at
        self.first_peer_wait_s = reader_duty.first_wait_s(
            gateway_state.config.host, start_took_s, gateway_state.config.cores
        )
        self._announce_rounds = 0
        self._is_announcing = False
        self._last_era: int | None = None
        self.duty = reader_duty.ReaderDuty(gateway_state.config.host, self.started_at)

    async def run(self) -> None:
        """Ask whoever reads for the zone for newer documents until cancelled."""
        while True:
            targets = self._addresses_to_ask()
            if targets:
                message = self.state.gossip.compose(wants_reply=True)
                self.link.send(message, targets)
            await self.state.wakeups.sleep(ASK_PERIOD_S)

    # Who reads

    def must_read(self) -> bool:
        """Tell whether this gateway has to read the source itself."""
        if self._awaits_first_peer():
            return False
        return self.duty.must_read(self.fleet.readers(), self.state.clock.now())

    def first_wait_left_s(self) -> float:
        """Return for how many seconds yet a peer may spare the first reading."""
        if not self._awaits_first_peer():
            return 0.0
        return self.started_at + self._first_wait_s() - self.state.clock.now()

    def is_reader(self) -> bool:
        """Tell whether reading for its zone is this gateway's duty."""
        return self.fleet.readers()[:1] == [self.state.config.host]

    def reading_began(self) -> None:
        """Let the zone know that this gateway reads the source from now on."""
        self._begin_announcing()

    def _awaits_first_peer(self) -> bool:
        """
        Tell whether a peer may yet spare this gateway's first reading.

        Seeds do not wait: somebody has to read first. The others wait in turn
        (``reader_duty.first_wait_s``), and longer once a peer has answered, which may
        soon have read.
        """
        config = self.state.config
        if not config.peers or config.peer_listen in config.peers:
            return False
        if self.state.ready:
            return False
        return self.state.clock.now() - self.started_at < self._first_wait_s()

    def _first_wait_s(self) -> float:
        """Return for how long after its start this gateway waits for a peer."""
        if self.duty.has_heard_peer:
            return max(self.first_peer_wait_s, ANSWERED_WAIT_S)
        return self.first_peer_wait_s

    def _addresses_to_ask(self) -> list[ids.Address]:
        order = self.fleet.readers()
        known_by_host = self.state.gossip.known_by_host
        return [
            known_by_host[host].record.peer_address
            for host in self.duty.whom_to_ask(order, self.state.clock.now())
            if host in known_by_host
        ]

    # Offering

    def publish(self, revision: int, era: int | None = None) -> None:
        """Offer what was read up to ``revision`` of the source to the peers."""
        version = revision * EXPIRIES_PER_REVISION
        if era is None:
            self._publish(version, None)
        else:
            self._publish(version, documents.SourcePosition(era, version))

    def publish_expiry(self) -> None:
        """Offer the list after a lease has expired without a change in the source."""
        held = self.state.fence.held(documents.DocumentKind.HOSTS)
        position = held.position
        if position is not None:
            position = documents.SourcePosition(position.era, position.version + 1)
        self._publish(held.version + 1, position)

    def _publish(
        self, listing_version: int, position: documents.SourcePosition | None
    ) -> None:
        gateway_state = self.state
        if gateway_state.table is not None:
            configuration = gateway_state.table.configuration
            self._offer_own(
                documents.DocumentKind.BUNDLE, configuration.version, configuration
            )
        if gateway_state.listed_once:
            listed = gateway_state.listed_for_peers()
            self._offer_own(
                documents.DocumentKind.HOSTS, listing_version, listed, position
            )

    def _offer_own(
        self,
        kind: documents.DocumentKind,
        version: int,
        content: object,
        position: documents.SourcePosition | None = None,
    ) -> None:
        held = self.state.fence.held(kind)
        if position is not None and self._is_newer_position(position, held):
            # Peers of earlier releases ignore the position and compare versions only.
            version = max(version, held.version + 1)
        offered = documents.Document(kind, version, ids.Digest(""), b"", position)
        if documents.is_newer(offered, held):
            body = msgspec.json.encode(content)
            self._offer(msgspec.structs.replace(offered, body=body))

    def _is_newer_position(
        self, position: documents.SourcePosition, held: documents.Document
    ) -> bool:
        """Tell whether ``position`` is newer than ``held``, by era if that has none."""
        if held.position is not None:
            return position > held.position
        return self._last_era is not None and position.era > self._last_era

    def _offer(self, document: documents.Document) -> None:
        if self.state.fence.offer(document) is not documents.Offer.APPLIED:
            return
        self.state.gossip.advertise(
            messages.DocumentVersion(
                document.kind, document.version, document.digest, document.position
            )
        )
        if document.position is not None:
            self._last_era = document.position.era
        self._begin_announcing()

    def _begin_announcing(self) -> None:
        """Announce for some rounds from now on; news meanwhile share the rounds."""
        self._announce_rounds = ANNOUNCE_ROUNDS
        if not self._is_announcing:
            self._is_announcing = True
            self.tasks.spawn(self._announce())

    async def _announce(self) -> None:
        """
        Send the versions held to a few peers and those of the zone at once, then again.

        Only readers do: were every gateway that fetches a document to announce
        it, one change would cost many messages for each member of the fleet.
        """
        try:
            while self._announce_rounds > 0 and self.state.reads_source:
                self._announce_rounds -= 1
                targets = set(self.state.gossip.random_targets(probing.FANOUT))
                targets.update(self._zone_addresses())
                self.link.send(self.state.gossip.compose(), sorted(targets))
                await asyncio.sleep(ANNOUNCE_PAUSE_S)
        finally:
            self._is_announcing = False

    def _zone_addresses(self) -> list[ids.Address]:
        return [
            peer.record.peer_address
            for peer in self.state.gossip.known_by_host.values()
            if self.fleet.shares_reader(peer.record.zone)
        ]

    # Fetching

    def message_received(
        self, message: messages.Message, handled: gossip.Handled
    ) -> None:
        """Note whether the sender reads; fetch documents that are newer there."""
        sender = message.sender
        now = self.state.clock.now()
        self.duty.peer_heard(now)
        if self.fleet.shares_reader(sender.zone):
            self.duty.zone_peer_heard(sender.host, now, reads=message.reads_source)
        if not self.state.is_remote(sender.zone) or (
            self.duty.lacks_reader(now) and not self.state.reads_source
        ):
            self.exchange.fetch(sender.peer_address, handled.newer)

    def _receive(self, document: documents.Document) -> None:
        """Put a peer's document in force where it is newer."""
        if self.state.fence.judge(document) is not documents.Offer.APPLIED:
            return
        try:
            self._apply(document)
        except msgspec.MsgspecError as error:
            # One that a peer of another release writes in another form: what is
            # in force stays.
            reason = f"{document.kind.name}: {error}"
            events.emit(events.Event.PEER_DROPPED, reason=reason)
            return
        self._offer(document)

    def _apply(self, document: documents.Document) -> None:
        """Decode a document and put it in force; raise MsgspecError if that fails."""
        if document.kind is documents.DocumentKind.BUNDLE:
            configuration = msgspec.json.decode(
                document.body, type=routing.Configuration
            )
            self.state.apply_configuration(configuration)
        else:
            listed = msgspec.json.decode(
                document.body, type=tuple[sources.ListedUpstream, ...]
            )
            position = document.position
            if position is None:
                position = documents.SourcePosition(0, document.version)
            self.state.apply_listing(
                listed,
                position.version // EXPIRIES_PER_REVISION,
                None if document.position is None else position.era,
            )
