"""
Distributes the configuration and the upstream list between gateways.

One gateway of each zone reads the source, or one of each region if there are several
regions. The others poll it a few times a second for the versions that it holds, and
fetch documents from it or from any other peer that has newer ones. Too many readers or
none are harmless for a short time: a document replaces only an older one. Relies on
``reader_duty`` for who reads and on ``fleet`` for the order of the candidates; the
documents are kept in ``state.fence``.
"""

import asyncio
import contextlib

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

#: Seconds between polls of the zone's reader; every second instant of ``wakeups``.
POLL_PERIOD_S = 0.4
#: Minimum time in seconds after the start for which a gateway waits if peers answer but
#: none has read yet; they are polled ten times in it (``membership.FIRST_PAUSE_S``).
ANSWERED_START_WAIT_S = 1.0
#: Number of times that a reader announces a new document, and the seconds between them.
ANNOUNCE_ROUNDS = 2
ANNOUNCE_PAUSE_S = 0.1
#: Number of list versions reserved for each revision of the source: leases that expire
#: between two revisions change the list too.
EXPIRIES_PER_REVISION = 256
#: Offset among these versions of a settled list, which holds what the source lists and
#: nothing else. Lists that retain more have lower ones: readers of the same revision
#: may retain different upstreams, and the settled list must replace all of those.
SETTLED_OFFSET = 128


class Relay:
    """
    Decides whether this gateway reads the source; offers and fetches documents.

    Invariant: a document replaces only an older one (``documents.is_newer``).
    """

    def __init__(
        self,
        gateway_state: state.GatewayState,
        gateway_fleet: fleet.Fleet,
        link: peer_link.PeerLink,
        startup_s: float = 0.0,
    ) -> None:
        self.state = gateway_state
        self.fleet = gateway_fleet
        self.link = link
        # Not cancelled at shutdown: each ends with its fetch or announcement.
        self.tasks = background.BackgroundTasks()
        self.exchange = document_exchange.DocumentExchange(
            link, self._receive, self.tasks
        )
        self.started_at = gateway_state.started_at
        self.first_peer_wait_s = reader_duty.start_wait_s(
            gateway_state.config.host, startup_s, gateway_state.config.cores
        )
        self._announce_rounds = 0
        self._is_announcing = False
        self._takeover = asyncio.Event()
        self._last_era: int | None = None
        self.election = reader_duty.ReaderElection(
            gateway_state.config.host, self.started_at
        )

    async def run(self) -> None:
        """Poll the zone's reader for newer documents until cancelled."""
        while True:
            targets = self._poll_addresses()
            if targets:
                message = self.state.gossip.compose(wants_reply=True)
                self.link.send(message, targets)
            await self.state.wakeups.sleep(POLL_PERIOD_S)

    # Who reads

    def must_read(self) -> bool:
        """Tell whether this gateway has to read the source itself."""
        if self._awaits_first_peer():
            return False
        return self.election.must_read(self.fleet.readers(), self.state.clock.now())

    def start_wait_left_s(self) -> float:
        """Return for how many more seconds to wait for a peer before the first read."""
        if not self._awaits_first_peer():
            return 0.0
        return self.started_at + self._start_wait_s() - self.state.clock.now()

    def is_reader(self) -> bool:
        """Tell whether this gateway ranks first to read for its zone."""
        return self.fleet.readers()[:1] == [self.state.config.host]

    def announce_reading(self) -> None:
        """Announce to the zone that this gateway reads the source from now on."""
        self._begin_announcing()

    def announce_lost_source(self) -> None:
        """Announce to the zone that this gateway does not read the source any more."""
        self.link.send(self.state.gossip.compose(), sorted(self._zone_addresses()))

    def follow_wait_s(self, unix_s: float) -> float:
        """Return how many seconds to wait for changes, from a time of day on."""
        slot, readers = self.fleet.reader_slot()
        max_unchecked_s = reader_duty.MAX_UNCHECKED_S
        if self.state.links is not None:
            max_unchecked_s = reader_duty.MAX_UNCHECKED_IN_REGION_S
        return reader_duty.follow_wait_s(unix_s, slot, readers, max_unchecked_s)

    async def wait_for_takeover(self, limit_s: float) -> None:
        """Wait ``limit_s`` seconds, or until this gateway takes over as reader."""
        self._takeover.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._takeover.wait()

    def _awaits_first_peer(self) -> bool:
        """
        Tell whether this gateway still waits for a peer before its first read.

        Seeds do not wait, as some gateway has to read first. The others wait for
        staggered times (``reader_duty.start_wait_s``), and longer once a peer has
        answered, as that peer may be about to complete its read.
        """
        config = self.state.config
        if not config.peers or config.peer_listen in config.peers:
            return False
        if self.state.ready:
            return False
        return self.state.clock.now() - self.started_at < self._start_wait_s()

    def _start_wait_s(self) -> float:
        """Return how many seconds after its start this gateway waits for a peer."""
        if self.election.has_heard_peer:
            return max(self.first_peer_wait_s, ANSWERED_START_WAIT_S)
        return self.first_peer_wait_s

    def _poll_addresses(self) -> list[ids.Address]:
        order = self.fleet.readers()
        known_by_host = self.state.gossip.known_by_host
        return [
            known_by_host[host].record.peer_address
            for host in self.election.poll_targets(order, self.state.clock.now())
            if host in known_by_host
        ]

    # Offering

    def publish(self, revision: int, era: int | None = None) -> None:
        """Offer the peers what was read up to ``revision`` of the source."""
        version = revision * EXPIRIES_PER_REVISION
        if self.state.is_listing_settled:
            version += SETTLED_OFFSET
        self._publish(version, era)

    def publish_expiry(self) -> None:
        """Offer the peers the list after a lease expired without a new revision."""
        held = self.state.fence.held(documents.DocumentKind.HOSTS)
        position = held.position
        held_version = held.version if position is None else position.version
        revision = held_version // EXPIRIES_PER_REVISION
        settled_version = revision * EXPIRIES_PER_REVISION + SETTLED_OFFSET
        next_version = held_version + 1
        if self.state.is_listing_settled:
            next_version = max(next_version, settled_version)
        elif next_version >= settled_version:
            # The list held is settled, and this gateway's is not.
            return
        self._publish(next_version, None if position is None else position.era)

    def _publish(self, listing_version: int, era: int | None) -> None:
        position = None
        if era is not None:
            position = documents.SourcePosition(era, listing_version)
        gateway_state = self.state
        if gateway_state.table is not None:
            configuration = gateway_state.table.configuration
            self._offer_own(
                documents.DocumentKind.BUNDLE, configuration.version, configuration
            )
        if gateway_state.has_listing:
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
        """
        Tell whether ``position`` is newer than that of ``held``.

        If ``held`` has none, the era is compared with that of the last document.
        """
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
        """Start the announcement rounds, or start them over if they are under way."""
        self._announce_rounds = ANNOUNCE_ROUNDS
        if not self._is_announcing:
            self._is_announcing = True
            self.tasks.spawn(self._announce())

    async def _announce(self) -> None:
        """
        Send the versions held to a few random peers and all of the zone, in rounds.

        Only readers do so: if every gateway that fetches a document announced it, one
        change would cost many messages for each member of the fleet.
        """
        try:
            while self._announce_rounds > 0 and self.state.reads_source:
                self._announce_rounds -= 1
                targets = set(self.state.gossip.random_targets(probing.FANOUT))
                targets.update(self._zone_addresses())
                targets.update(self._other_readers())
                self.link.send(self.state.gossip.compose(), sorted(targets))
                await asyncio.sleep(ANNOUNCE_PAUSE_S)
        finally:
            self._is_announcing = False

    def _other_readers(self) -> list[ids.Address]:
        """Return the addresses of the other zones' first gateways that may read."""
        known_by_host = self.state.gossip.known_by_host
        return [
            known_by_host[host].record.peer_address
            for host in self.fleet.first_readers()
            if host in known_by_host
        ]

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
        """Record whether the sender reads; fetch the documents it has newer."""
        sender = message.sender
        now = self.state.clock.now()
        self.election.note_peer(now)
        if self.fleet.shares_reader(sender.zone):
            is_reader_lost = self.election.note_zone_peer(
                sender.host, now, reads=message.reads_source
            )
            if is_reader_lost and self.must_read():
                self._takeover.set()
        if not self.state.is_remote(sender.zone) or (
            self.election.lacks_reader(now) and not self.state.reads_source
        ):
            self.exchange.fetch(sender.peer_address, handled.newer)

    def _receive(self, document: documents.Document) -> None:
        """Apply a peer's document if it is newer, and offer it to others."""
        if self.state.fence.judge(document) is not documents.Offer.APPLIED:
            return
        try:
            self._apply(document)
        except (msgspec.MsgspecError, RecursionError) as error:
            # A peer of another release may encode the document in another form; the
            # one in force is kept.
            reason = f"{document.kind.name}: {error}"
            events.emit(events.Event.PEER_DROPPED, reason=reason)
            return
        self._offer(document)

    def _apply(self, document: documents.Document) -> None:
        """
        Decode a document and apply it.

        Raise MsgspecError if it can't be decoded.
        """
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
