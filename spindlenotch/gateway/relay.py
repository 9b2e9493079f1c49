"""
Passes configuration and upstream list between gateways, so that few read them.

In each zone one gateway reads the source; the others ask it a few times a
second which versions it holds, and fetch documents from it or from whoever has
newer ones. A gateway that hears nothing of its reader for a while reads for
itself. Too many readers or none for a moment do no harm: versions only grow.
Relies on ``fleet`` for who the reader is; the documents lie in ``state.fence``.
"""

import asyncio

import msgspec

from spindlenotch import events, ids
from spindlenotch.gateway import (
    fleet,
    jitter,
    routing,
    sources,
    state,
)
from spindlenotch.peers import (
    background,
    document_exchange,
    documents,
    gossip,
    messages,
    peer_link,
    probing,
)

#: Time between two questions to the zone's reader. Chosen, not measured.
ASK_PERIOD_S = 0.3
#: A reader that was silent for this long, two questions, counts as lost. Chosen,
#: not measured.
READER_LOST_S = 0.8
#: How long a choice of the reader stands, which is asked for with every message.
#: Chosen, not measured; docs/MEASUREMENTS.md, round 20, has what it saves.
READER_KEPT_S = 0.2
#: How long a starting gateway waits for a peer that has read already, so that a
#: fleet that starts together does not read as often as it has members. Measured:
#: docs/MEASUREMENTS.md, round 18 (0.4 s refused requests after a loss of all).
FIRST_PEER_WAIT_S = 0.2
#: How many times, and how far apart in seconds, a reader announces a new
#: document at once. Chosen, not measured.
ANNOUNCE_ROUNDS = 2
ANNOUNCE_PAUSE_S = 0.1
#: Versions of the list between two revisions of the source, for leases that
#: expire meanwhile. Chosen, not measured.
EXPIRIES_PER_REVISION = 256


class Relay:
    """
    Decides whether this gateway reads, and offers and fetches documents.

    Invariant: a document replaces only one of a lower version.
    """

    def __init__(
        self,
        gateway_state: state.GatewayState,
        gateway_fleet: fleet.Fleet,
        link: peer_link.PeerLink,
    ) -> None:
        self.state = gateway_state
        self.fleet = gateway_fleet
        self.link = link
        # Not stopped with the gateway: they end with their fetch or announcement.
        self.tasks = background.BackgroundTasks()
        self.exchange = document_exchange.DocumentExchange(
            link, self._receive, self.tasks
        )
        self.reader_heard_at = ids.Instant(float("-inf"))
        self.started_at = gateway_state.clock.now()
        self._reader_host: ids.HostId | None = None
        self._reader_host_until = ids.Instant(float("-inf"))

    async def run(self) -> None:
        """Ask the zone's reader for newer documents until cancelled."""
        while True:
            reader = self._reader()
            if reader is not None:
                message = self.state.gossip.compose(wants_reply=True)
                self.link.send(message, [reader.peer_address])
            await asyncio.sleep(jitter.jittered(ASK_PERIOD_S, self.state.rng))

    # Who reads

    def must_read(self) -> bool:
        """Tell whether this gateway has to read the source itself."""
        if self._awaits_first_peer():
            return False
        if self._reader() is None:
            return True
        return self.state.clock.now() - self.reader_heard_at > READER_LOST_S

    def is_reader(self) -> bool:
        """Tell whether reading for its zone is this gateway's duty."""
        return self.reader_host() == self.state.config.host

    def reader_host(self) -> ids.HostId | None:
        """Return the gateway that should read for this zone."""
        now = self.state.clock.now()
        if now >= self._reader_host_until:
            self._reader_host_until = ids.later(now, READER_KEPT_S)
            self._reader_host = self.fleet.reader()
        return self._reader_host

    def _awaits_first_peer(self) -> bool:
        """
        Tell whether a peer may yet spare this gateway's first reading.

        Seeds do not wait: somebody has to read first.
        """
        config = self.state.config
        if not config.peers or config.peer_listen in config.peers:
            return False
        return self.state.clock.now() - self.started_at < FIRST_PEER_WAIT_S

    def _reader(self) -> messages.MemberRecord | None:
        """Return the reader of this zone, or None where it is this gateway."""
        host = self.reader_host()
        if host is None or host == self.state.config.host:
            return None
        peer = self.state.gossip.known_by_host.get(host)
        return None if peer is None else peer.record

    # Offering

    def publish(self, revision: int) -> None:
        """Offer what was read up to ``revision`` of the source to the peers."""
        self._publish(revision * EXPIRIES_PER_REVISION)

    def publish_expiry(self) -> None:
        """Offer the list after a lease has expired without a change in the source."""
        self._publish(self.state.fence.version(documents.DocumentKind.HOSTS) + 1)

    def _publish(self, listing_version: int) -> None:
        gateway_state = self.state
        if gateway_state.table is not None:
            configuration = gateway_state.table.configuration
            self._offer_own(
                documents.DocumentKind.BUNDLE, configuration.version, configuration
            )
        if gateway_state.listed_once:
            listed = gateway_state.listing.listed(gateway_state.clock.now())
            self._offer_own(documents.DocumentKind.HOSTS, listing_version, listed)

    def _offer_own(
        self, kind: documents.DocumentKind, version: int, content: object
    ) -> None:
        if version > self.state.fence.version(kind):
            body = msgspec.json.encode(content)
            self._offer(documents.Document(kind, version, ids.Digest(""), body))

    def _offer(self, document: documents.Document) -> None:
        if self.state.fence.offer(document) is not documents.Offer.APPLIED:
            return
        self.state.gossip.advertise(
            messages.DocumentVersion(document.kind, document.version, document.digest)
        )
        self.tasks.spawn(self._announce())

    async def _announce(self) -> None:
        """
        Send a new version to a few peers and those of the zone at once, then again.

        Only readers do: were every gateway that fetches a document to announce
        it, one change would cost many messages for each member of the fleet.
        """
        gossip_state = self.state.gossip
        for _ in range(ANNOUNCE_ROUNDS):
            if not self.state.reads_source:
                return
            targets = set(gossip_state.random_targets(probing.FANOUT))
            targets.update(self._zone_addresses())
            self.link.send(gossip_state.compose(), sorted(targets))
            await asyncio.sleep(ANNOUNCE_PAUSE_S)

    def _zone_addresses(self) -> list[ids.Address]:
        return [
            peer.record.peer_address
            for peer in self.state.gossip.known_by_host.values()
            if peer.record.zone == self.state.config.zone
        ]

    # Fetching

    def message_received(
        self, message: messages.Message, handled: gossip.Handled
    ) -> None:
        """Note that the reader lives; fetch documents that are newer at the sender."""
        sender = message.sender
        if message.reads_source and sender.zone == self.state.config.zone:
            reader = self._reader()
            if reader is not None and sender.host == reader.host:
                self.reader_heard_at = self.state.clock.now()
        self.exchange.fetch(sender.peer_address, handled.newer)

    def _receive(self, document: documents.Document) -> None:
        """Put a peer's document in force where it is newer."""
        if document.version <= self.state.fence.version(document.kind):
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
            self.state.apply_listing(listed)
