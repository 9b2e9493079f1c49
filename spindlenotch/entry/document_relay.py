"""
Passing bundle and host list between entries.

Owns no state: what is in force is decided by ``entry_state``, and fetching is
left to ``peers.document_exchange``. A document put in force here is announced
to a few peers at once, and peers that lack it fetch it over TCP.
"""

import asyncio
from collections import abc

from spindlenotch import ids
from spindlenotch.entry import entry_state, membership_loop
from spindlenotch.peers import (
    background,
    document_exchange,
    documents,
    messages,
    peer_link,
)

#: How many times a new document is announced at once, each time to a few random
#: members.
ANNOUNCEMENTS = 3
#: Seconds between these.
ANNOUNCEMENT_PAUSE_S = 0.05


class DocumentRelay:
    """Offers documents to this entry and to its peers."""

    def __init__(
        self,
        state: entry_state.EntryState,
        link: peer_link.PeerLink,
        membership: membership_loop.MembershipLoop,
        tasks: background.BackgroundTasks,
    ) -> None:
        self.state = state
        self.link = link
        self.membership = membership
        self._tasks = tasks
        self._exchange = document_exchange.DocumentExchange(link, self.offer, tasks)

    def offer(
        self, document: documents.Document, *, authoritative: bool = False
    ) -> None:
        """Put a document in force where it is newer, then announce it."""
        before = self.state.documents.fence.version(document.kind)
        self.state.offer_document(document, authoritative=authoritative)
        if self.state.documents.fence.version(document.kind) > before:
            self._tasks.spawn(self._announce())

    def answer(self, frame: messages.DocumentFrame) -> documents.Document:
        """Take in what a peer offers; return the document in force here."""
        if not frame.wanted:
            self.offer(frame.document)
        return self.state.documents.fence.held(frame.document.kind)

    def fetch_newer(
        self, source: ids.Address, newer: abc.Iterable[messages.DocumentVersion]
    ) -> None:
        """Begin to fetch from ``source`` what it holds in newer versions."""
        self._exchange.fetch(source, newer)

    async def fetch_from_all(self, sources: abc.Iterable[ids.Address]) -> bool:
        """
        Offer this entry every document of all ``sources``, the newest prevails.

        Tells whether at least one of them answered with a bundle.
        """
        requests = [
            self.link.fetch(address, kind)
            for address in sources
            for kind in documents.DocumentKind
        ]
        found_bundle = False
        for answer in await asyncio.gather(*requests):
            if answer is not None:
                self.offer(answer)
                found_bundle |= answer.kind is documents.DocumentKind.BUNDLE
        return found_bundle

    async def _announce(self) -> None:
        for _ in range(ANNOUNCEMENTS):
            self.membership.send_to_some()
            await asyncio.sleep(ANNOUNCEMENT_PAUSE_S)
