"""
Versioned documents on which all members must agree, and the fence that guards them.

Whether a document is offered by the store, an operator or a peer, it takes effect
only if it is newer than the one in force (``is_newer``): versions are fencing
tokens. Documents are replaced only by the fence, so that no member ever reverts to
an older one.
"""

import enum
import typing

import msgspec

from spindlenotch import ids

#: Version of a document that a member does not hold.
NO_VERSION = 0
#: Version of a document whose envelope has not been opened yet.
UNKNOWN_VERSION = 0


class DocumentKind(enum.Enum):
    """
    The kind of a document; the value is its number on the wire.

    ``BUNDLE``: in an entry the envelope of the signed bundle, in a gateway the
    route configuration. ``HOSTS``: in an entry the host list, in a gateway the
    list of upstreams.
    """

    BUNDLE = 0
    HOSTS = 1


class SourcePosition(msgspec.Struct, frozen=True, order=True):
    """
    The position in the source's history at which a document was read.

    ``era`` increases when the source is restored from a backup, which may decrease its
    revisions and the versions derived from them.
    """

    era: int
    version: int


class Document(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    A document as it is sent between members.

    ``digest`` distinguishes documents of the same version; it is empty if the
    version alone identifies the document. ``position`` is None if the source
    reports no era, and in documents from members of earlier releases, which compare
    ``version`` only.
    """

    kind: DocumentKind
    version: int
    digest: ids.Digest
    body: bytes
    position: SourcePosition | None = None


class Versioned(typing.Protocol):
    """Anything that has the version and the position of a document."""

    @property
    def version(self) -> int:
        """Return the version, which is compared if a position is missing."""

    @property
    def position(self) -> SourcePosition | None:
        """Return the position in the source, or None if it is not known."""


def is_newer(offered: Versioned, held: Versioned) -> bool:
    """Return whether ``offered`` replaces ``held``, a document of the same kind."""
    if offered.position is not None and held.position is not None:
        return offered.position > held.position
    return offered.version > held.version


def absent(kind: DocumentKind) -> Document:
    """Return the placeholder for a document that a member does not hold."""
    return Document(kind, NO_VERSION, ids.Digest(""), b"")


class Offer(enum.Enum):
    """
    Result of offering a document to the fence.

    ``FORKED``: a different document of the same version is in force.
    """

    APPLIED = "applied"
    SAME = "same"
    OLDER = "older"
    FORKED = "forked"


class Fence:
    """
    Holds the newest document of each kind.

    Invariant: a document is replaced only by a newer one (``is_newer``). Two
    documents of the same version but with different digests cannot both have been
    accepted by the store; the one that arrives later is reported as ``FORKED``, and
    replaces the one in force only if it comes from the store itself
    (``authoritative``).
    """

    def __init__(self) -> None:
        self.document_by_kind: dict[DocumentKind, Document] = {}

    def version(self, kind: DocumentKind) -> int:
        """Return the version in force, or ``NO_VERSION``."""
        document = self.document_by_kind.get(kind)
        return document.version if document else NO_VERSION

    def held(self, kind: DocumentKind) -> Document:
        """Return the document in force, or a placeholder with ``NO_VERSION``."""
        return self.document_by_kind.get(kind, absent(kind))

    def judge(self, document: Document) -> Offer:
        """Return what ``offer`` would return, without changing anything."""
        current = self.document_by_kind.get(document.kind)
        if current is None or is_newer(document, current):
            return Offer.APPLIED
        if is_newer(current, document):
            return Offer.OLDER
        if document.digest == current.digest:
            return Offer.SAME
        return Offer.FORKED

    def offer(self, document: Document, *, authoritative: bool = False) -> Offer:
        """Put ``document`` in force if it is newer; return how it compares."""
        result = self.judge(document)
        settles_fork = result is Offer.FORKED and authoritative
        if result is Offer.APPLIED or settles_fork:
            self.document_by_kind[document.kind] = document
        return result
