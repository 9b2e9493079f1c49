"""
The control loops of an entry: peers, documents, pauses, the day.

Everything here is cheap and bounded per second whatever the fleet's size. The
duty of reading the store and the host list falls to a few entries per zone;
holding it wrongly, or by nobody for a while, does no harm.
"""

import asyncio
import functools
from collections import abc

from spindlenotch import events, ids, ports
from spindlenotch.entry import entry_state, readiness
from spindlenotch.kernel import backoff as backoffs, hostlist, rendezvous
from spindlenotch.peers import (
    capnp_codec,
    documents,
    messages,
    peer_link,
    peer_seal,
    probing,
    timing,
)

BUNDLE_KEY = "bundle"
READERS_PER_ZONE = 2
TICK_S = 0.25
WATCH_S = 20.0
HOSTS_PERIOD_S = 1.0
OFF_DUTY_S = 1.0
BACKOFF_LEAST_S = 0.2
BACKOFF_MOST_S = 5.0
BOOTSTRAP_S = 0.3
#: News of a document is passed on at once, this many times over.
EAGER_ROUNDS = 3


#: The link that entries of the daemon speak over.
CAPNP_LINK = functools.partial(peer_link.PeerLink, codec=capnp_codec.CAPNP)


class Control:
    """
    Runs the loops of one entry.

    Invariant: an entry becomes ready only through ``_confirm``, after the
    store has answered or, in its outage, every zone peer that answers was
    asked.
    """

    def __init__(
        self,
        state: entry_state.EntryState,
        store: ports.Store,
        host_list: ports.HostList,
        make_link: abc.Callable[..., peer_link.PeerLink] = CAPNP_LINK,
    ) -> None:
        self.state = state
        self.store = store
        self.host_list = host_list
        self.link = make_link(
            peer_seal.Sealer(state.config.peer_keys),
            state.metrics,
            on_gossip=self._on_gossip,
            on_frame=self._on_frame,
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._recheck = asyncio.Event()
        self._pulling: set[documents.DocumentKind] = set()
        self._store_lost = False
        self._store_revision = 0
        self._hosts_lost = False

    async def start(self) -> ids.Address:
        """Open the peer link and start all loops."""
        address = await self.link.start(self.state.config.peer_listen)
        for loop in (
            self._beat,
            self._observe,
            self._tick,
            self._read_store,
            self._read_hosts,
            self._become_ready,
        ):
            self._spawn(loop())
        return address

    async def stop(self) -> None:
        """Stop all loops and close the peer link."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.link.stop()

    def paused(self) -> None:
        """Begin to check the bundle after this process was paused."""
        self.state.counters.pauses += 1
        events.emit(events.Event.WAS_PAUSED)
        self.state.publish_status()
        self._recheck.set()

    def announce_leaving(self) -> None:
        """Tell every known peer at once that this entry is being stopped."""
        self.state.readiness.leave()
        self.state.publish_status()
        everyone = [
            known.record.peer_address
            for known in self.state.gossip.known_by_host.values()
        ]
        self.link.send(self.state.gossip.compose(), everyone)

    def _spawn(self, work: abc.Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Peers

    async def _beat(self) -> None:
        state = self.state
        while True:
            self._ask_around()
            dead = state.gossip.sweep(state.clock.now())
            for news in dead:
                events.emit(events.Event.PEER_GONE, host=news.host)
            if dead:
                state.members_changed()
            state.follow_day()
            state.once.sweep(state.clock.now())
            await asyncio.sleep(timing.PERIOD_S * state.rng.uniform(0.9, 1.1))

    async def _observe(self) -> None:
        while True:
            now = self.state.clock.now()
            if self.state.readiness.observe(now) is readiness.Gap.PAUSE:
                self.paused()
            await asyncio.sleep(readiness.OBSERVED_EVERY_S)

    async def _tick(self) -> None:
        state = self.state
        while True:
            state.tick(state.clock.now())
            await asyncio.sleep(TICK_S)

    def _ask_around(self) -> None:
        """Ask the members whose turn it is, and a seed where few are known."""
        seeds = list(self.state.config.peers)
        if self.state.hosts is not None:
            listed = hostlist.entries(self.state.hosts)
            self.state.gossip.expected_members = len(listed)
            seeds += [ids.Address(h.peer_address) for h in listed if h.peer_address]
        targets = self.state.gossip.targets(seeds, self.state.clock.now())
        self.link.send(self.state.gossip.compose(wants_reply=True), targets)

    def _tell(self) -> None:
        """Pass urgent news to a few members at once."""
        targets = self.state.gossip.random_targets(probing.FANOUT)
        self.link.send(self.state.gossip.compose(), targets)

    def _on_gossip(self, message: messages.Message) -> None:
        state = self.state
        handled = state.gossip.handle(message, state.clock.now())
        if handled.reply is not None:
            self.link.send(handled.reply, [message.sender.peer_address])
        if handled.members_changed:
            events.emit(events.Event.PEER_SEEN, host=message.sender.host)
            state.members_changed()
        for notice in handled.drain_notices:
            state.apply_drain_notice(notice, "told by a peer")
        if handled.drain_notices:
            self._tell()
        for news in handled.newer:
            if news.kind not in self._pulling:
                self._spawn(self._pull(message.sender.peer_address, news.kind))

    def spread_drain_notice(self) -> None:
        """Pass on a fresh mark at once."""
        self._tell()

    async def _pull(self, source: ids.Address, kind: documents.DocumentKind) -> None:
        self._pulling.add(kind)
        try:
            document = await self.link.fetch(source, kind)
        finally:
            self._pulling.discard(kind)
        if document is not None and document.kind is kind:
            self._offer(document)

    def _on_frame(self, frame: messages.DocumentFrame) -> documents.Document:
        kind = frame.document.kind
        if not frame.wanted:
            self._offer(frame.document)
        nothing = documents.absent(kind)
        return self.state.fence.document_by_kind.get(kind, nothing)

    def _offer(
        self, document: documents.Document, *, authoritative: bool = False
    ) -> None:
        before = self.state.fence.version(document.kind)
        self.state.offer_document(document, authoritative=authoritative)
        if self.state.fence.version(document.kind) > before:
            self._spawn(self._spread())

    async def _spread(self) -> None:
        """Tell peers of a new document at once, then twice more."""
        for _ in range(EAGER_ROUNDS):
            self._tell()
            await asyncio.sleep(0.05)

    # Documents

    def _on_duty(self, duty: str) -> bool:
        members = self.state.gossip.ready_members()
        chosen = rendezvous.chosen(
            members, self.state.config.zone, duty, READERS_PER_ZONE
        )
        return self.state.config.host in chosen

    async def _read_store(self) -> None:
        backoff = backoffs.Backoff(self.state.rng, BACKOFF_LEAST_S, BACKOFF_MOST_S)
        while True:
            if not self._on_duty("store"):
                await asyncio.sleep(OFF_DUTY_S)
                continue
            self.state.metrics.store_calls.labels("watch").inc()
            stored = await self.store.watch(BUNDLE_KEY, self._store_revision, WATCH_S)
            self._note_store(stored)
            if isinstance(stored, ports.StoreFault):
                await asyncio.sleep(backoff.next())
                continue
            backoff.reset()
            if stored.revision > self._store_revision:
                self._offer_stored(stored)
            else:
                # A store that answers early must not be asked in a spin.
                await asyncio.sleep(self.state.rng.uniform(0.05, 0.15))

    async def _read_hosts(self) -> None:
        while True:
            if self._on_duty("hosts") or self.state.hosts is None:
                await self._fetch_hosts()
            await asyncio.sleep(HOSTS_PERIOD_S * self.state.rng.uniform(0.8, 1.2))

    async def _fetch_hosts(self) -> None:
        known = self.state.fence.version(documents.DocumentKind.HOSTS)
        listing = await self.host_list.fetch(known)
        lost = isinstance(listing, ports.HostListFault)
        if lost != self._hosts_lost:
            self._hosts_lost = lost
            events.emit(events.Event.HOSTS_LOST if lost else events.Event.HOSTS_BACK)
        if isinstance(listing, ports.HostListing):
            self._offer(_hosts_document(listing))

    def _offer_stored(self, stored: ports.Stored) -> None:
        self._store_revision = max(self._store_revision, stored.revision)
        self._offer(
            documents.Document(
                documents.DocumentKind.BUNDLE,
                documents.UNKNOWN_VERSION,
                ids.Digest(""),
                stored.value,
            ),
            authoritative=True,
        )

    def _note_store(self, stored: ports.Stored | ports.StoreFault) -> None:
        lost = isinstance(stored, ports.StoreFault)
        if lost != self._store_lost:
            self._store_lost = lost
            events.emit(events.Event.STORE_LOST if lost else events.Event.STORE_BACK)

    # Readiness

    async def _become_ready(self) -> None:
        while True:
            if not self.state.readiness.confirmed:
                await self._try_to_confirm()
            if self.state.readiness.confirmed:
                self._recheck.clear()
                await self._recheck.wait()
            else:
                pause = BOOTSTRAP_S * self.state.rng.uniform(0.7, 1.3)
                await asyncio.sleep(pause)

    async def _try_to_confirm(self) -> None:
        if self.state.hosts is None:
            await self._fetch_hosts()
        self.state.metrics.store_calls.labels("start").inc()
        stored = await self.store.get(BUNDLE_KEY)
        self._note_store(stored)
        heard = False
        if isinstance(stored, ports.Stored):
            if stored.revision:
                self._offer_stored(stored)
                heard = True
        else:
            heard = await self._ask_peers()
        if heard and self.state.opened and self.state.hosts:
            self._confirm()

    async def _ask_peers(self) -> bool:
        """Take the newest of what all reachable peers hold."""
        addresses = self._peer_addresses()
        asked = [
            self.link.fetch(address, kind)
            for address in addresses
            for kind in documents.DocumentKind
        ]
        heard = False
        for answer in await asyncio.gather(*asked):
            if answer is not None:
                self._offer(answer)
                heard |= answer.kind is documents.DocumentKind.BUNDLE
        return heard

    def _peer_addresses(self) -> list[ids.Address]:
        own = self.state.gossip.local.peer_address
        found = set(self.state.config.peers)
        for known in self.state.gossip.known_by_host.values():
            if known.record.zone == self.state.config.zone or not found:
                found.add(known.record.peer_address)
        if self.state.hosts is not None:
            for host in hostlist.entries(self.state.hosts):
                if host.zone == self.state.config.zone and host.peer_address:
                    found.add(ids.Address(host.peer_address))
        return sorted(found - {own})

    def _confirm(self) -> None:
        if self.state.readiness.confirm():
            self.state.publish_status()
            event = events.Event.READY
            if self.state.counters.pauses:
                event = events.Event.CONFIRMED
            events.emit(event, host=self.state.config.host)
            self.state.members_changed()
            self._tell()


def _hosts_document(listing: ports.HostListing) -> documents.Document:
    return documents.Document(
        documents.DocumentKind.HOSTS, listing.revision, ids.Digest(""), listing.body
    )
