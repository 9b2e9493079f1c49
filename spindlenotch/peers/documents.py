"""
Versioned documents that all members must hold, and the fence that replaces them.

Whoever offers a document (store, operator, peer), it takes effect only if it is
newer than the one in force (``is_newer``): versions are fencing tokens. The fence
is the only place where a document is replaced, so no member ever goes back to
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
    What a document carries; the value is its number on the wire.

    ``BUNDLE``: in an entry the envelope of the signed bundle, in a gateway the
    configuration of the routes. ``HOSTS``: in an entry the host list, in a
    gateway the list of upstreams.
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
    A document as it travels between members.

    ``digest`` tells two documents of one version apart; it is empty where the
    version alone identifies the document. ``position`` is None where the source
    reports no era, and in documents from members of earlier releases, which compare
    ``version`` only.
    """

    kind: DocumentKind
    version: int
    digest: ids.Digest
    body: bytes
    position: SourcePosition | None = None


class Versioned(typing.Protocol):
    """Anything that has the version and position of a document."""

    @property
    def version(self) -> int:
        """Return the version, which is compared where a position is missing."""

    @property
    def position(self) -> SourcePosition | None:
        """Return the position in the source, or None if it is not known."""


def is_newer(offered: Versioned, held: Versioned) -> bool:
    """Tell whether ``offered`` replaces ``held``, a document of the same kind."""
    if offered.position is not None and held.position is not None:
        return offered.position > held.position
    return offered.version > held.version


def absent(kind: DocumentKind) -> Document:
    """Return what stands for a document that a member does not hold."""
    return Document(kind, NO_VERSION, ids.Digest(""), b"")


class Offer(enum.Enum):
    """
    Result of offering a document to the fence.

    ``FORKED``: another document of the same version is in force.
    """

    APPLIED = "applied"
    SAME = "same"
    OLDER = "older"
    FORKED = "forked"


class Fence:
    """
    Holds the newest document of each kind.

    Invariant: a document is replaced only by a newer one (``is_newer``). Two
    documents of one version but different digests cannot both have been accepted
    by the store; the later one to arrive is reported as ``FORKED``, and it replaces
    the one in force only if it comes from the store itself (``authoritative``).
    """

    def __init__(self) -> None:
        self.document_by_kind: dict[DocumentKind, Document] = {}

    def version(self, kind: DocumentKind) -> int:
        """Return the version in force, or ``NO_VERSION``."""
        document = self.document_by_kind.get(kind)
        return document.version if document else NO_VERSION

    def held(self, kind: DocumentKind) -> Document:
        """Return the document in force; one of version zero where there is none."""
        return self.document_by_kind.get(kind, absent(kind))

    def judge(self, document: Document) -> Offer:
        """Return what ``offer`` would return, and change nothing."""
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
