"""
Versioned documents that all entries must hold: the bundle and the host list.

Whoever offers one (store, operator, peer), it takes effect only if its
version is higher than the one in force. This fence is the single place where
a document is replaced, so nothing ever goes back.
"""

import dataclasses
import enum

from spindlenotch import ids

#: Version of a document that has not been opened yet.
UNKNOWN_VERSION = 0


class DocumentKind(enum.Enum):
    """What a document is about; the value is its number on the wire."""

    BUNDLE = 0
    HOSTS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A document as it travels. For a bundle the body is an envelope."""

    kind: DocumentKind
    version: int
    digest: ids.Digest
    body: bytes


class Offer(enum.Enum):
    """What the fence said to an offered document."""

    APPLIED = "applied"
    SAME = "same"
    OLDER = "older"
    FORKED = "forked"


class Fence:
    """
    Holds the newest document of each kind.

    Invariant: the version of a kind only grows. Two documents of one version
    but different digests cannot both have been accepted by the store; the
    later one to arrive is reported as ``FORKED``, and only the store's own
    word (``authoritative``) replaces the one in force.
    """

    def __init__(self) -> None:
        self.document_by_kind: dict[DocumentKind, Document] = {}

    def version(self, kind: DocumentKind) -> int:
        """Return the version in force; zero where there is none."""
        document = self.document_by_kind.get(kind)
        return document.version if document else 0

    def held(self, kind: DocumentKind) -> Document:
        """Return the document in force; one of version zero where there is none."""
        return self.document_by_kind.get(kind, Document(kind, 0, ids.Digest(""), b""))

    def judge(self, document: Document) -> Offer:
        """Say what ``offer`` would say, and change nothing."""
        current = self.document_by_kind.get(document.kind)
        if current is None or document.version > current.version:
            return Offer.APPLIED
        if document.version < current.version:
            return Offer.OLDER
        if document.digest == current.digest:
            return Offer.SAME
        return Offer.FORKED

    def offer(self, document: Document, *, authoritative: bool = False) -> Offer:
        """Put ``document`` in force if it is newer."""
        verdict = self.judge(document)
        replace = verdict is Offer.APPLIED
        if verdict is Offer.FORKED and authoritative:
            replace = True
        if replace:
            self.document_by_kind[document.kind] = document
        return verdict
