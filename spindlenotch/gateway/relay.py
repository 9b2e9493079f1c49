"""
What gateways pass on to each other, so that few of them read the source.

In each zone one gateway reads; the others ask it a few times a second whether
there is news and fetch documents from it or from whoever has newer ones. A
gateway that hears no reader for a while reads for itself. Readers that are too
many or none for a moment do no harm: versions only grow.
"""

import asyncio
from collections import abc

import msgspec

from spindlenotch import events, ids
from spindlenotch.gateway import (
    fleet as fleets,
    routing,
    sources,
    state as states,
)
from spindlenotch.kernel import ownership, rendezvous
from spindlenotch.peers import documents, gossip, messages, probing

DUTY = "source"
#: A follower asks its reader this often, and reads for itself when it has
#: heard nothing for the second time.
ASK_S = 0.3
READER_LOST_S = 0.8
#: The choice of the reader, asked for with every message, stands for this long.
CHOSEN_S = 0.2
#: A gateway that starts waits this long for a peer that has read already, so
#: that a fleet that starts together does not read as often as it has members.
FIRST_PEER_S = 0.2
#: News is passed on at once, and so many times again.
EAGER_ROUNDS = 2
EAGER_PAUSE_S = 0.1
#: Changes of the list that no revision of the source stands for.
SWEEPS_PER_REVISION = 256


class Relay:
    """
    Hands documents around.

    Invariant: a document replaces only one of a lower version.
    """

    def __init__(self, state: states.GatewayState, fleet: fleets.Fleet) -> None:
        self.state = state
        self.fleet = fleet
        self.fence = documents.Fence()
        self.reader_heard_at = ids.Instant(float("-inf"))
        self.started_at = state.clock.now()
        self._chosen: ids.HostId | None = None
        self._chosen_until = ids.Instant(float("-inf"))
        self._pulling: set[documents.DocumentKind] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        fleet.on_message = self._on_message
        fleet.on_frame = self._on_frame
        state.on_change = self.publish

    def must_read(self) -> bool:
        """Tell whether this gateway has to read the source itself."""
        if self._awaits_first_peer():
            return False
        reader = self._reader()
        if reader is None:
            return True
        return self.state.clock.now() - self.reader_heard_at > READER_LOST_S

    def _awaits_first_peer(self) -> bool:
        """Tell whether a peer may yet spare this one's first reading."""
        config = self.state.config
        if not config.peers or config.peer_listen in config.peers:
            return False
        return self.state.clock.now() - self.started_at < FIRST_PEER_S

    def is_reader(self) -> bool:
        """Tell whether reading for its zone is this gateway's duty."""
        return self._reading_host() == self.state.config.host

    async def run(self) -> None:
        """Ask the zone's reader for news until cancelled."""
        while True:
            reader = self._reader()
            if reader is not None:
                message = self.state.gossip.compose(wants_reply=True)
                self.fleet.link.send(message, [reader.peer_address])
            await asyncio.sleep(ASK_S * self.state.rng.uniform(0.9, 1.1))

    def publish(self, revision: int, *, swept: bool = False) -> None:
        """
        Offer what was read from the source up to ``revision`` to the peers.

        ``swept``: the list has changed since without a change in the source.
        """
        state = self.state
        if state.table is not None:
            configuration = state.table.configuration
            self._offer_own(
                documents.DocumentKind.BUNDLE, configuration.version, configuration
            )
        if not state.listed_once:
            return
        kind = documents.DocumentKind.HOSTS
        version = revision * SWEEPS_PER_REVISION
        if swept:
            version = self.fence.version(kind) + 1
        self._offer_own(kind, version, state.listing.listed(state.clock.now()))

    def _reader(self) -> messages.MemberRecord | None:
        """Return the reader of this zone, or None where it is this gateway."""
        host = self._reading_host()
        if host is None or host == self.state.config.host:
            return None
        known = self.state.gossip.known_by_host.get(host)
        return None if known is None else known.record

    def _reading_host(self) -> ids.HostId | None:
        """Return who should read for this zone; one that stands by, if any."""
        now = self.state.clock.now()
        if now >= self._chosen_until:
            self._chosen_until = ids.later(now, CHOSEN_S)
            self._chosen = self._choose_reading_host()
        return self._chosen

    def _choose_reading_host(self) -> ids.HostId | None:
        zone = self.state.config.zone
        hosts = self.fleet.readers_by_zone().get(zone, [])
        members = [ownership.Member(zone, host) for host in hosts]
        return next(iter(rendezvous.chosen(members, zone, DUTY, 1)), None)

    def _offer_own(
        self, kind: documents.DocumentKind, version: int, content: object
    ) -> None:
        if version > self.fence.version(kind):
            body = msgspec.json.encode(content)
            self._offer(documents.Document(kind, version, ids.Digest(""), body))

    def _offer(self, document: documents.Document) -> None:
        if self.fence.offer(document) is not documents.Offer.APPLIED:
            return
        self.state.gossip.advertise(
            messages.DocumentVersion(document.kind, document.version, document.digest)
        )
        self._spawn(self._spread())

    async def _spread(self) -> None:
        """
        Tell those who follow this gateway, and a few others.

        Only readers do: followers would send as many messages again for each
        member of the fleet.
        """
        state = self.state
        for _ in range(EAGER_ROUNDS):
            if not state.reads_source:
                return
            targets = set(state.gossip.random_targets(probing.FANOUT))
            targets.update(self._zone_addresses())
            self.fleet.link.send(state.gossip.compose(), sorted(targets))
            await asyncio.sleep(EAGER_PAUSE_S)

    def _zone_addresses(self) -> list[ids.Address]:
        return [
            known.record.peer_address
            for known in self.state.gossip.known_by_host.values()
            if known.record.zone == self.state.config.zone
        ]

    def _on_message(self, message: messages.Message, handled: gossip.Handled) -> None:
        sender = message.sender
        if message.reads_source and sender.zone == self.state.config.zone:
            reader = self._reader()
            if reader is not None and sender.host == reader.host:
                self.reader_heard_at = self.state.clock.now()
        for news in handled.newer:
            if news.kind not in self._pulling:
                self._spawn(self._pull(sender.peer_address, news.kind))

    async def _pull(self, source: ids.Address, kind: documents.DocumentKind) -> None:
        self._pulling.add(kind)
        try:
            document = await self.fleet.link.fetch(source, kind)
        finally:
            self._pulling.discard(kind)
        if document is not None and document.kind is kind:
            self._take(document)

    def _take(self, document: documents.Document) -> None:
        """Put a peer's document in force where it is newer."""
        if document.version <= self.fence.version(document.kind):
            return
        try:
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
        except msgspec.MsgspecError as error:
            events.emit(
                events.Event.PEER_DROPPED, reason=f"{document.kind.name}: {error}"
            )
            return
        self._offer(document)

    def _on_frame(self, frame: messages.DocumentFrame) -> documents.Document:
        kind = frame.document.kind
        nothing = documents.absent(kind)
        return self.fence.document_by_kind.get(kind, nothing)

    def _spawn(self, work: "abc.Coroutine[None, None, None]") -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
