"""
Fetches documents that peers advertise as newer.

Both daemons hear of versions by gossip and fetch the document itself over the
peer link; one fetch of a kind runs at a time. Owns the tasks of these
fetches and of whatever else its user spawns to spread a document; what is done
with a document is left to ``receive``.
"""

import asyncio
from collections import abc

from spindlenotch import ids
from spindlenotch.peers import documents, messages, peer_link


class DocumentExchange:
    """
    Fetches over one link and hands what came to ``receive``.

    Invariant: ``receive`` gets documents of the kind that was asked for only.
    """

    def __init__(
        self,
        link: peer_link.PeerLink,
        receive: abc.Callable[[documents.Document], None],
    ) -> None:
        self.link = link
        self.receive = receive
        self.tasks: set[asyncio.Task[None]] = set()
        self._fetching: set[documents.DocumentKind] = set()

    def fetch(
        self, source: ids.Address, newer: abc.Iterable[messages.DocumentVersion]
    ) -> None:
        """Begin to fetch from ``source`` what it advertises and is not under way."""
        for version in newer:
            if version.kind not in self._fetching:
                self.spawn(self._fetch(source, version.kind))

    def spawn(self, work: abc.Coroutine[None, None, None]) -> None:
        """Run ``work`` in the background; a reference is kept until it ends."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _fetch(self, source: ids.Address, kind: documents.DocumentKind) -> None:
        self._fetching.add(kind)
        try:
            document = await self.link.fetch(source, kind)
        finally:
            self._fetching.discard(kind)
        if document is not None and document.kind is kind:
            self.receive(document)
