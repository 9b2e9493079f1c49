"""
Reading the platform's host list.

Owns whether the host list answers. Only the readers of a zone fetch it, and
any entry that has none yet; the others get it from their peers.
"""

import asyncio

from spindlenotch import events, ids, ports
from spindlenotch.entry import document_relay, entry_state, readers
from spindlenotch.peers import documents

#: Seconds between two fetches.
FETCH_PERIOD_S = 1.0
#: Least and greatest factor of that wait, so that readers do not fall into step.
JITTER = (0.8, 1.2)


class HostListReader:
    """Fetches the host list and offers it to this entry and its peers."""

    def __init__(
        self,
        state: entry_state.EntryState,
        host_list: ports.HostList,
        relay: document_relay.DocumentRelay,
    ) -> None:
        self.state = state
        self.host_list = host_list
        self.relay = relay
        self._lost = False

    async def run(self) -> None:
        """Fetch the list periodically until cancelled."""
        while True:
            if self._must_fetch():
                await self.fetch()
            await asyncio.sleep(FETCH_PERIOD_S * self.state.rng.uniform(*JITTER))

    async def fetch(self) -> None:
        """Fetch the list once; offer it where it has changed."""
        known = self.state.documents.fence.version(documents.DocumentKind.HOSTS)
        listing = await self.host_list.fetch(known)
        self._note_answer(listing)
        if isinstance(listing, ports.HostListing):
            self.relay.offer(_document_of(listing))

    def _must_fetch(self) -> bool:
        is_reader = readers.is_reader(self.state, readers.Resource.HOST_LIST)
        return is_reader or self.state.documents.hosts is None

    def _note_answer(
        self, listing: ports.HostListing | ports.HostListFault | None
    ) -> None:
        lost = isinstance(listing, ports.HostListFault)
        if lost != self._lost:
            self._lost = lost
            events.emit(events.Event.HOSTS_LOST if lost else events.Event.HOSTS_BACK)


def _document_of(listing: ports.HostListing) -> documents.Document:
    return documents.Document(
        documents.DocumentKind.HOSTS, listing.revision, ids.Digest(""), listing.body
    )
