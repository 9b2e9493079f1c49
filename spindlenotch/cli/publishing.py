"""
Publish a signed bundle by compare-and-swap on the key-value service.

A bundle is accepted once the swap took effect, so two operators who start
from the same version cannot both succeed. Where a reply is lost, the store is
read again: the log in the envelope shows whether this bundle was accepted,
even if later versions have followed it. Owns the key of the bundle; relies on
a driver of ``ports.Store`` and on ``bundle_seal`` for the stored form.
"""

import enum

import msgspec

from spindlenotch import ids, ports
from spindlenotch.bundles import bundle_seal

#: Where the store holds the bundle.
KEY = "bundle"
#: Writes before the outcome is called uncertain.
MAX_WRITES = 5


class Verdict(enum.Enum):
    """What became of an attempt to publish; the values are printed."""

    ACCEPTED = "accepted"
    #: The store holds another version than the operator started from.
    CONFLICT = "conflict"
    #: The bundle's version is not one more than the version started from.
    WRONG_VERSION = "wrong-version"
    #: A dry run: nothing was written.
    NOT_ACCEPTED = "not-accepted"
    #: The store gave no reply, so that nobody can tell.
    UNCERTAIN = "uncertain"
    TOO_LARGE = "too-large"
    #: What the store holds is not an envelope; it is left alone.
    GARBLED_STORE = "garbled-store"


class Published(msgspec.Struct, frozen=True):
    """
    The outcome of an attempt to publish.

    ``current`` is the newest version that the store is known to hold,
    ``envelope`` what was, or would have been, written.
    """

    verdict: Verdict
    current: bundle_seal.LogEntry | None
    envelope: bundle_seal.Envelope | None = None


class ReadError(Exception):
    """The store could not be read; ``verdict`` says why."""

    def __init__(self, verdict: Verdict) -> None:
        super().__init__(f"the bundle could not be read: {verdict.value}")
        self.verdict = verdict


class _Stored(msgspec.Struct, frozen=True):
    """What the store holds; revision zero where it holds no bundle."""

    revision: int
    envelope: bundle_seal.Envelope | None

    @property
    def newest(self) -> bundle_seal.LogEntry | None:
        if self.envelope is None or not self.envelope.log:
            return None
        return self.envelope.log[-1]

    def has_accepted(self, digest: ids.Digest, version: int) -> bool:
        if self.envelope is None:
            return False
        log = self.envelope.log
        return any(e.digest == digest and e.version == version for e in log)


async def publish(
    store: ports.Store,
    sealed: bundle_seal.Envelope,
    *,
    version: int,
    base: int,
    published_at: float,
    dry_run: bool = False,
) -> Published:
    """
    Put ``sealed`` (bundle ``version``) in place of version ``base``.

    ``base`` is the version the operator started from, zero for the first;
    ``published_at`` is in seconds since 1970. Publishing the same bundle
    again is safe and gives ACCEPTED. Faults of the store become verdicts.
    """
    try:
        before = await _read(store)
    except ReadError as error:
        return Published(error.verdict, None)
    if before.has_accepted(sealed.digest(), version):
        return Published(Verdict.ACCEPTED, before.newest, before.envelope)
    stored_version = before.newest.version if before.newest else 0
    if stored_version != base:
        return Published(Verdict.CONFLICT, before.newest)
    if version != base + 1:
        return Published(Verdict.WRONG_VERSION, before.newest)
    envelope = bundle_seal.with_log(sealed, before.envelope, version, published_at)
    if dry_run:
        return Published(Verdict.NOT_ACCEPTED, before.newest, envelope)
    return await _write(store, envelope, before, version)


async def current(store: ports.Store) -> bundle_seal.Envelope | None:
    """
    Return the envelope in the store, None where there is none.

    Raise ``ReadError`` where the store does not answer or holds something else.
    """
    return (await _read(store)).envelope


async def _write(
    store: ports.Store, envelope: bundle_seal.Envelope, before: _Stored, version: int
) -> Published:
    """
    Write until it is known whether a write took effect.

    Each write is conditional on the same revision, so at most one succeeds.
    """
    data = bundle_seal.encode(envelope)
    for _ in range(MAX_WRITES):
        result = await store.compare_and_swap(KEY, data, before.revision)
        if isinstance(result, ports.Stored):
            return Published(Verdict.ACCEPTED, envelope.log[-1], envelope)
        if result is ports.StoreFault.TOO_LARGE:
            return Published(Verdict.TOO_LARGE, before.newest)
        try:
            now = await _read(store)
        except ReadError:
            # Still unknown; the next write or read may tell.
            continue
        if now.has_accepted(envelope.digest(), version):
            return Published(Verdict.ACCEPTED, now.newest, now.envelope)
        if now.revision != before.revision:
            return Published(Verdict.CONFLICT, now.newest)
        # The store still holds the old bundle: the write was lost or is
        # still on its way. Another one on the same revision covers both.
    return Published(Verdict.UNCERTAIN, before.newest, envelope)


async def _read(store: ports.Store) -> _Stored:
    stored = await store.get(KEY)
    if isinstance(stored, ports.StoreFault):
        raise ReadError(Verdict.UNCERTAIN)
    if stored.revision == 0:
        return _Stored(0, None)
    envelope = bundle_seal.decode(stored.value)
    if isinstance(envelope, bundle_seal.SealFault):
        raise ReadError(Verdict.GARBLED_STORE)
    return _Stored(stored.revision, envelope)
