"""
Seals peer messages with an authentication code and opens sealed ones.

A sealed message is the code followed by the payload. Received bytes are untrusted
until their code is verified; only then does a codec see the payload. Messages are
authenticated, not encrypted.
"""

import hashlib
import hmac

from spindlenotch.peers import wire_format

#: Size of the authentication code in bytes: half of HMAC-SHA-256, the minimum that
#: RFC 2104, section 5, recommends.
MAC_BYTES = 16


class Sealer:
    """
    Adds and verifies authentication codes.

    The first key signs and all keys are accepted, so that keys can be rotated
    host by host: append the new key, move it to the front, remove the old one.
    """

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        self.keys = keys

    def seal(self, payload: bytes) -> bytes:
        """Return ``payload`` with its code in front."""
        return self._code(self.keys[0], payload) + payload

    def open(self, data: bytes, limit: int) -> bytes | wire_format.CodecFault:
        """Return the payload, or why the data is refused; ``limit`` is in bytes."""
        if len(data) <= MAC_BYTES:
            return wire_format.CodecFault.TOO_SHORT
        if len(data) > limit:
            return wire_format.CodecFault.TOO_LONG
        code, payload = data[:MAC_BYTES], data[MAC_BYTES:]
        for key in self.keys:
            if hmac.compare_digest(code, self._code(key, payload)):
                return payload
        return wire_format.CodecFault.BAD_CODE

    def _code(self, key: bytes, payload: bytes) -> bytes:
        return hmac.new(key, payload, hashlib.sha256).digest()[:MAC_BYTES]
