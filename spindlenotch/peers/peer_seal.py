"""
What every codec of peer messages shares: authentication, limits and faults.

Everything that arrives is hostile until its code is right; only then does a
codec see it. A fault is a value that is counted by the caller, never an
exception.
"""

import enum
import hashlib
import hmac
import typing

from spindlenotch.peers import messages

MAC_BYTES = 16
MAX_DATAGRAM = 8 * 1024
MAX_FRAME = 2 * 1024 * 1024
TEXT_LIMIT = 256


class CodecFault(enum.Enum):
    """Why bytes from a peer were dropped."""

    TOO_SHORT = "too-short"
    TOO_LONG = "too-long"
    BAD_CODE = "bad-code"
    GARBLED = "garbled"


# The name under which callers use the frame.
DocumentFrame = messages.DocumentFrame


class Sealer:
    """
    Adds and checks authentication codes.

    The first key signs; all keys are accepted, so that keys can be rotated
    host by host: add the new one behind, move it to the front, drop the old.
    """

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        self.keys = keys

    def seal(self, payload: bytes) -> bytes:
        """Return ``payload`` with its code in front."""
        return self._code(self.keys[0], payload) + payload

    def open(self, data: bytes, limit: int) -> bytes | CodecFault:
        """Check the code and return the payload."""
        if len(data) <= MAC_BYTES:
            return CodecFault.TOO_SHORT
        if len(data) > limit:
            return CodecFault.TOO_LONG
        code, payload = data[:MAC_BYTES], data[MAC_BYTES:]
        for key in self.keys:
            if hmac.compare_digest(code, self._code(key, payload)):
                return payload
        return CodecFault.BAD_CODE

    def _code(self, key: bytes, payload: bytes) -> bytes:
        return hmac.new(key, payload, hashlib.sha256).digest()[:MAC_BYTES]


class Codec(typing.Protocol):
    """Peer messages to bytes and back, without the authentication code."""

    def encode_gossip(self, message: messages.Message) -> bytes:
        """Return the wire form of a gossip message."""

    def decode_gossip(self, payload: bytes) -> messages.Message | CodecFault:
        """Read the wire form of a gossip message."""

    def encode_frame(self, frame: DocumentFrame) -> bytes:
        """Return the wire form of a document frame."""

    def decode_frame(self, payload: bytes) -> DocumentFrame | CodecFault:
        """Read the wire form of a document frame."""
