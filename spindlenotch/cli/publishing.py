"""
Publish a signed bundle: compare-and-swap, read back when in doubt, push.

Accepted means that the compare-and-swap took effect. Two operators who start
from the same version cannot both succeed. A lost answer is settled by reading
the store, where the envelope's log shows whether this bundle was accepted,
even if others have followed it.
"""

import dataclasses
import enum

from spindlenotch import ids, ports
from spindlenotch.bundles import bundle_seal

KEY = "bundle"
TRIES = 5


class Verdict(enum.Enum):
    """What became of an attempt to publish."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    WRONG_VERSION = "wrong-version"
    NOT_ACCEPTED = "not-accepted"
    UNCERTAIN = "uncertain"
    TOO_LARGE = "too-large"
    GARBLED_STORE = "garbled-store"


@dataclasses.dataclass(frozen=True, slots=True)
class Published:
    """The verdict, and the bundle that the store holds, where it is known."""

    verdict: Verdict
    current: bundle_seal.LogEntry | None
    envelope: bundle_seal.Envelope | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Head:
    revision: int
    envelope: bundle_seal.Envelope | None

    @property
    def newest(self) -> bundle_seal.LogEntry | None:
        if self.envelope is None or not self.envelope.log:
            return None
        return self.envelope.log[-1]


async def publish(
    store: ports.Store,
    sealed: bundle_seal.Envelope,
    version: int,
    base: int,
    signed_at: float,
    *,
    dry_run: bool = False,
) -> Published:
    """
    Put ``sealed`` (bundle ``version``) in place of version ``base``.

    ``base`` is the version the operator started from, zero for the first.
    """
    head = await _read(store)
    if isinstance(head, Published):
        return head
    if _accepted(head, sealed.digest(), version):
        return Published(Verdict.ACCEPTED, head.newest, head.envelope)
    in_force = head.newest.version if head.newest else 0
    if in_force != base:
        return Published(Verdict.CONFLICT, head.newest)
    if version != base + 1:
        return Published(Verdict.WRONG_VERSION, head.newest)
    envelope = bundle_seal.with_log(sealed, head.envelope, version, signed_at)
    if dry_run:
        return Published(Verdict.NOT_ACCEPTED, head.newest, envelope)
    return await _write(store, envelope, head, version)


async def _write(
    store: ports.Store, envelope: bundle_seal.Envelope, head: _Head, version: int
) -> Published:
    """Write until it is known whether it took effect; each try is safe."""
    data = bundle_seal.encode(envelope)
    for _ in range(TRIES):
        result = await store.swap(KEY, data, head.revision)
        if isinstance(result, ports.Stored):
            return Published(Verdict.ACCEPTED, envelope.log[-1], envelope)
        if result is ports.StoreFault.TOO_LARGE:
            return Published(Verdict.TOO_LARGE, head.newest)
        now = await _read(store)
        if isinstance(now, Published):
            continue
        if _accepted(now, envelope.digest(), version):
            return Published(Verdict.ACCEPTED, now.newest, now.envelope)
        if now.revision != head.revision:
            return Published(Verdict.CONFLICT, now.newest)
        # The store still holds the old one: the write was lost, or is yet
        # to come. Swapping again on the same revision covers both.
    return Published(Verdict.UNCERTAIN, head.newest, envelope)


async def current(store: ports.Store) -> bundle_seal.Envelope | Published | None:
    """Return the envelope in the store, None where there is none."""
    head = await _read(store)
    return head if isinstance(head, Published) else head.envelope


async def _read(store: ports.Store) -> _Head | Published:
    stored = await store.get(KEY)
    if isinstance(stored, ports.StoreFault):
        return Published(Verdict.UNCERTAIN, None)
    if stored.revision == 0:
        return _Head(0, None)
    envelope = bundle_seal.decode(stored.value)
    if isinstance(envelope, bundle_seal.SealFault):
        return Published(Verdict.GARBLED_STORE, None)
    return _Head(stored.revision, envelope)


def _accepted(head: _Head, digest: ids.Digest, version: int) -> bool:
    if head.envelope is None:
        return False
    return any(e.digest == digest and e.version == version for e in head.envelope.log)
