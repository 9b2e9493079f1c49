"""
Sign-off of bundles: Ed25519 signatures by operators, checked by every entry.

What travels and is stored is an ``Envelope``. The version is part of the
signed text, so nobody can give an old text a new number. Sits between
``bundle_check`` and whoever publishes or applies a bundle.
"""

import dataclasses
import enum
import hashlib

import msgspec
from cryptography import exceptions
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519

from spindlenotch import ids
from spindlenotch.bundles import bundle, bundle_check

MAX_LOG = 50


class SealFault(enum.Enum):
    """Why an envelope cannot be trusted."""

    GARBLED = "garbled"
    UNTRUSTED_KEY = "untrusted-key"
    BAD_SIGNATURE = "bad-signature"
    BAD_BUNDLE = "bad-bundle"


class LogEntry(msgspec.Struct, frozen=True):
    """One accepted bundle in the envelope's memory of its forebears."""

    version: int
    digest: str
    key: str
    signed_at: float


class Envelope(msgspec.Struct, frozen=True):
    """
    A signed bundle as stored and sent.

    ``key`` is the signer's public key and ``signature`` the signature over
    the text, both in hexadecimal. ``log`` lists accepted versions, newest
    last, this one included; it lets an operator whose answer was lost see
    that the write took effect even after others have followed it.
    """

    text: str
    key: str
    signature: str
    log: tuple[LogEntry, ...] = ()

    def digest(self) -> ids.Digest:
        """Return the SHA-256 of the text."""
        return ids.Digest(hashlib.sha256(self.text.encode()).hexdigest())


@dataclasses.dataclass(frozen=True, slots=True)
class Opened:
    """An envelope whose signature held, with the bundle in it."""

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
    """Sign ``text``. Raise ``ValueError`` where the key is no Ed25519 key."""
    key = ed25519.Ed25519PrivateKey.from_private_bytes(bytes.fromhex(private_hex))
    public = key.public_key().public_bytes(
        serialization.Encoding.Raw, serialization.PublicFormat.Raw
    )
    return Envelope(text, public.hex(), key.sign(text.encode()).hex())


def logged(
    envelope: Envelope, earlier: Envelope | None, version: int, at: float
) -> Envelope:
    """Return ``envelope`` with the log of ``earlier`` and itself at its end."""
    before = earlier.log if earlier else ()
    own = LogEntry(version, envelope.digest(), envelope.key, at)
    return msgspec.structs.replace(envelope, log=(*before, own)[-MAX_LOG:])


def encode(envelope: Envelope) -> bytes:
    """Return the stored form of ``envelope``."""
    return msgspec.json.encode(envelope)


def decode(data: bytes) -> Envelope | SealFault:
    """Read the stored form."""
    try:
        return msgspec.json.decode(data, type=Envelope)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return SealFault.GARBLED


def open_envelope(
    envelope: Envelope, trusted: frozenset[str], policies: tuple[str, ...]
) -> Opened | SealFault:
    """Check signature and text; return the bundle or why not."""
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
    """Decode and open in one step."""
    envelope = decode(data)
    if isinstance(envelope, SealFault):
        return envelope
    return open_envelope(envelope, trusted, policies)
