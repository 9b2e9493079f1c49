"""
Reading the bundle from the store.

Owns the revision read last and whether the store answers. Only the readers of
a zone watch the store's key; any entry reads it once while it confirms its
bundle. What is read is offered as authoritative: the store alone decides which
of two bundles of one version was accepted.
"""

import asyncio

from spindlenotch import events, ids, ports
from spindlenotch.entry import document_relay, entry_state, readers
from spindlenotch.kernel import backoff
from spindlenotch.peers import documents

BUNDLE_KEY = "bundle"
#: Longest wait of one watch, in seconds.
WATCH_S = 20.0
#: How often an entry that is not a reader checks whether it has become one, in seconds.
NOT_READER_WAIT_S = 1.0
#: Backoff after a fault of the store, in seconds.
BACKOFF_LEAST_S = 0.2
BACKOFF_MOST_S = 5.0
#: Least and greatest wait after a watch without a change, in seconds: a store that
#: answers early must not be called in a busy loop.
UNCHANGED_WAIT_S = (0.05, 0.15)


class StoreReader:
    """Reads the bundle and offers it to this entry and its peers."""

    def __init__(
        self,
        state: entry_state.EntryState,
        store: ports.Store,
        relay: document_relay.DocumentRelay,
    ) -> None:
        self.state = state
        self.store = store
        self.relay = relay
        self._revision = 0
        self._lost = False

    async def run(self) -> None:
        """Watch the bundle while this entry is a reader, until cancelled."""
        retry = backoff.Backoff(self.state.rng, BACKOFF_LEAST_S, BACKOFF_MOST_S)
        while True:
            if not readers.is_reader(self.state, readers.Resource.STORE):
                await asyncio.sleep(NOT_READER_WAIT_S)
                continue
            self.state.metrics.store_calls.labels("watch").inc()
            stored = await self.store.watch(BUNDLE_KEY, self._revision, WATCH_S)
            self._note_answer(stored)
            if isinstance(stored, ports.StoreFault):
                await asyncio.sleep(retry.next())
                continue
            retry.reset()
            if stored.revision > self._revision:
                self._offer(stored)
            else:
                await asyncio.sleep(self.state.rng.uniform(*UNCHANGED_WAIT_S))

    async def read(self) -> ports.Stored | ports.StoreFault:
        """Read the bundle once and offer it; return the store's answer."""
        self.state.metrics.store_calls.labels("start").inc()
        stored = await self.store.get(BUNDLE_KEY)
        self._note_answer(stored)
        if isinstance(stored, ports.Stored) and stored.revision:
            self._offer(stored)
        return stored

    def _offer(self, stored: ports.Stored) -> None:
        self._revision = max(self._revision, stored.revision)
        document = documents.Document(
            documents.DocumentKind.BUNDLE,
            documents.UNKNOWN_VERSION,
            ids.Digest(""),
            stored.value,
        )
        self.relay.offer(document, authoritative=True)

    def _note_answer(self, stored: ports.Stored | ports.StoreFault) -> None:
        lost = isinstance(stored, ports.StoreFault)
        if lost != self._lost:
            self._lost = lost
            events.emit(events.Event.STORE_LOST if lost else events.Event.STORE_BACK)
