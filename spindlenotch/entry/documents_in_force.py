"""
The bundle and the host list in force in one entry.

Owns both documents, as they travel and as they were decoded. Relies on
``peers.documents`` for the order of versions and on ``bundles`` for
signatures. Does no input or output but for log lines; what follows from a new
document is up to ``entry_state``.
"""

from spindlenotch import events, selection
from spindlenotch.bundles import bundle, bundle_seal
from spindlenotch.kernel import hostlist
from spindlenotch.peers import documents, messages


class DocumentsInForce:
    """
    Checks offered documents and keeps the newest.

    Invariant: ``opened`` and ``hosts`` are the documents of ``fence``.
    """

    def __init__(self, trusted_keys: frozenset[str]) -> None:
        self.trusted_keys = trusted_keys
        self.fence = documents.Fence()
        self.opened: bundle_seal.Opened | None = None
        self.hosts: hostlist.HostTable | None = None

    @property
    def bundle(self) -> bundle.Bundle | None:
        """Return the bundle in force."""
        return self.opened.bundle if self.opened else None

    def offer_bundle(
        self, document: documents.Document, *, authoritative: bool
    ) -> documents.Offer | bundle_seal.SealFault:
        """Check a bundle's signature and content; keep it if it is newer."""
        if document.version != documents.UNKNOWN_VERSION:
            verdict = self.fence.judge(document)
            if verdict in (documents.Offer.SAME, documents.Offer.OLDER):
                return verdict
        opened = bundle_seal.open_bytes(
            document.body, self.trusted_keys, selection.POLICIES.names()
        )
        if isinstance(opened, bundle_seal.SealFault):
            events.emit(events.Event.BUNDLE_REFUSED, reason=opened.value)
            return opened
        # Version and digest are taken from what was signed, not from the
        # frame around it.
        signed = document_of(opened)
        verdict = self.fence.offer(signed, authoritative=authoritative)
        if verdict is documents.Offer.FORKED:
            events.emit(events.Event.BUNDLE_FORKED, version=signed.version)
        if self.fence.document_by_kind.get(signed.kind) is signed:
            self.opened = opened
        return verdict

    def offer_hosts(self, document: documents.Document) -> documents.Offer:
        """Keep a host list if it is newer and can be decoded."""
        verdict = self.fence.judge(document)
        if verdict is not documents.Offer.APPLIED:
            return verdict
        table = hostlist.decode(document.body)
        # A list that can't be decoded is dropped without a log line: readers
        # fetch the list again soon, and no event stands for it.
        if table is not None:
            self.fence.offer(document)
            self.hosts = table
        return verdict


def document_of(opened: bundle_seal.Opened) -> documents.Document:
    """Return an opened bundle as a document."""
    return documents.Document(
        kind=documents.DocumentKind.BUNDLE,
        version=opened.bundle.version,
        digest=opened.digest,
        body=bundle_seal.encode(opened.envelope),
    )


def version_of(document: documents.Document) -> messages.DocumentVersion:
    """Return what peers are told of a document."""
    return messages.DocumentVersion(document.kind, document.version, document.digest)
