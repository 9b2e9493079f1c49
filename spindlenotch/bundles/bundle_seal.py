"""
Sign bundles with operators' Ed25519 keys, and verify them in every entry.

Owns the ``Envelope``, which is what the store holds and peers exchange, and
its JSON form. The version is part of the signed text, so nobody can give an
old text a new number. The log is not signed: it serves operators, no entry
decides by it. Relies on ``bundle_check`` for the text.
"""

import enum
import hashlib

import msgspec
from cryptography import exceptions
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519

from spindlenotch import ids
from spindlenotch.bundles import bundle, bundle_check

#: Versions that the log keeps.
MAX_LOG_ENTRIES = 50


class SealFault(enum.Enum):
    """Why an envelope is not accepted; the values are printed to operators."""

    GARBLED = "garbled"
    UNTRUSTED_KEY = "untrusted-key"
    BAD_SIGNATURE = "bad-signature"
    BAD_BUNDLE = "bad-bundle"


class LogEntry(msgspec.Struct, frozen=True):
    """
    One accepted version: digest of its text, the signer's public key.

    ``signed_at`` is the time of publication in seconds since 1970, by the
    operator's clock.
    """

    version: int
    digest: str
    key: str
    signed_at: float


class Envelope(msgspec.Struct, frozen=True):
    """
    A signed bundle as stored and sent.

    ``key`` is the signer's public key and ``signature`` the signature over
    the text, both in hexadecimal. ``log`` lists accepted versions, newest
    last, this one included: an operator who got no reply to a write finds in
    it that the write took effect, even after later versions.
    """

    text: str
    key: str
    signature: str
    log: tuple[LogEntry, ...] = ()

    def digest(self) -> ids.Digest:
        """Return the SHA-256 of the text in hexadecimal."""
        return ids.Digest(hashlib.sha256(self.text.encode()).hexdigest())


class Opened(msgspec.Struct, frozen=True):
    """An envelope whose signature was verified, with the bundle in it."""

    envelope: Envelope
    bundle: bundle.Bundle
    digest: ids.Digest


def generate_key() -> tuple[str, str]:
    """Return a new (private, public) key pair in hexadecimal."""
    key = ed25519.Ed25519PrivateKey.generate()
    raw = serialization.Encoding.Raw
    private = key.private_bytes(
        raw, serialization.PrivateFormat.Raw, serialization.NoEncryption()
    )
    public = key.public_key().public_bytes(raw, serialization.PublicFormat.Raw)
    return private.hex(), public.hex()


def seal(text: str, private_hex: str) -> Envelope:
    """
    Sign ``text``; the log stays empty.

    Raise ``ValueError`` where the key is not 32 bytes in hexadecimal.
    """
    key = ed25519.Ed25519PrivateKey.from_private_bytes(bytes.fromhex(private_hex))
    public = key.public_key().public_bytes(
        serialization.Encoding.Raw, serialization.PublicFormat.Raw
    )
    return Envelope(text, public.hex(), key.sign(text.encode()).hex())


def with_log(
    envelope: Envelope, earlier: Envelope | None, version: int, signed_at: float
) -> Envelope:
    """Return ``envelope`` with the log of ``earlier`` and an entry of its own."""
    log = earlier.log if earlier else ()
    entry = LogEntry(version, envelope.digest(), envelope.key, signed_at)
    return msgspec.structs.replace(envelope, log=(*log, entry)[-MAX_LOG_ENTRIES:])


def encode(envelope: Envelope) -> bytes:
    """Return the JSON form of ``envelope``."""
    return msgspec.json.encode(envelope)


def decode(data: bytes) -> Envelope | SealFault:
    """Read the JSON form."""
    try:
        return msgspec.json.decode(data, type=Envelope)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return SealFault.GARBLED


def open_envelope(
    envelope: Envelope, trusted: frozenset[str], policies: tuple[str, ...]
) -> Opened | SealFault:
    """Verify the signature and check the text; return the bundle or why not."""
    if envelope.key not in trusted:
        return SealFault.UNTRUSTED_KEY
    try:
        key = ed25519.Ed25519PublicKey.from_public_bytes(bytes.fromhex(envelope.key))
        key.verify(bytes.fromhex(envelope.signature), envelope.text.encode())
    except (exceptions.InvalidSignature, ValueError):
        return SealFault.BAD_SIGNATURE
    result = bundle_check.check(envelope.text, policies)
    if not isinstance(result, bundle.Bundle):
        return SealFault.BAD_BUNDLE
    return Opened(envelope, result, envelope.digest())


def open_bytes(
    data: bytes, trusted: frozenset[str], policies: tuple[str, ...]
) -> Opened | SealFault:
    """Decode an envelope and open it."""
    envelope = decode(data)
    if isinstance(envelope, SealFault):
        return envelope
    return open_envelope(envelope, trusted, policies)
