"""
Fetches documents of which peers advertise newer versions.

Both daemons learn of versions by gossip and fetch the document itself over the peer
link, one fetch at a time for each kind. Owns which kinds are being fetched; the
tasks belong to the daemon's ``BackgroundTasks``, and ``receive`` decides what is
done with a document.
"""

from collections import abc

from spindlenotch import ids
from spindlenotch.peers import background, documents, messages, peer_link


class DocumentExchange:
    """
    Fetches documents over one link and passes them to ``receive``.

    Invariant: ``receive`` gets only documents of the requested kind.
    """

    def __init__(
        self,
        link: peer_link.PeerLink,
        receive: abc.Callable[[documents.Document], None],
        tasks: background.BackgroundTasks,
    ) -> None:
        self.link = link
        self.receive = receive
        self._tasks = tasks
        self._fetching: set[documents.DocumentKind] = set()

    def fetch(
        self, source: ids.Address, newer: abc.Iterable[messages.DocumentVersion]
    ) -> None:
        """Start to fetch from ``source`` the kinds that are not being fetched."""
        for version in newer:
            if version.kind not in self._fetching:
                self._tasks.spawn(self._fetch(source, version.kind))

    async def _fetch(self, source: ids.Address, kind: documents.DocumentKind) -> None:
        self._fetching.add(kind)
        try:
            document = await self.link.fetch(source, kind)
        finally:
            self._fetching.discard(kind)
        if document is not None and document.kind is kind:
            self.receive(document)
