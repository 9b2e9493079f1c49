"""
Passing bundle and host list between entries.

Owns which kinds are being fetched right now. What is in force is decided by
``entry_state``; a document put in force here is announced to a few peers at
once, and peers that lack it fetch it over TCP.
"""

import asyncio
from collections import abc

from spindlenotch import ids
from spindlenotch.entry import entry_state, membership_loop
from spindlenotch.peers import (
    background,
    documents,
    messages,
    peer_link,
)

#: How many times a new document is announced at once, each time to a few
#: random members. Chosen, not measured.
ANNOUNCEMENTS = 3
#: Seconds between these. Chosen, not measured.
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
        self._fetching: set[documents.DocumentKind] = set()

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
        kind = frame.document.kind
        if not frame.wanted:
            self.offer(frame.document)
        nothing = documents.Document(kind, 0, ids.Digest(""), b"")
        return self.state.documents.fence.document_by_kind.get(kind, nothing)

    def fetch_newer(
        self, source: ids.Address, newer: abc.Iterable[messages.DocumentVersion]
    ) -> None:
        """Begin to fetch from ``source`` what it holds in newer versions."""
        for version in newer:
            if version.kind not in self._fetching:
                self._tasks.spawn(self._fetch(source, version.kind))

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

    async def _fetch(self, source: ids.Address, kind: documents.DocumentKind) -> None:
        self._fetching.add(kind)
        try:
            document = await self.link.fetch(source, kind)
        finally:
            self._fetching.discard(kind)
        if document is not None and document.kind is kind:
            self.offer(document)

    async def _announce(self) -> None:
        for _ in range(ANNOUNCEMENTS):
            self.membership.send_to_some()
            await asyncio.sleep(ANNOUNCEMENT_PAUSE_S)
