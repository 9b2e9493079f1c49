"""
What makes a request the same one when it is sent again.

Each time it has another id, and may come over another connection and to another
process; method, host, target and body stay, and mostly who sends it. Pure.
"""

import hashlib
import zlib

import msgspec

from spindlenotch import ids

#: Bytes of a fingerprint's digest: of a million requests, two differing ones have the
#: same with a probability of 3 in 10^8.
DIGEST_BYTES = 8
#: Hexadecimal digits at the beginning of a fingerprint that come from the target alone.
TARGET_DIGITS = 8


class Content(msgspec.Struct, frozen=True):
    """
    What a request asks for.

    ``body`` is None where there is none, or where it is not here as a whole; then
    ``streamed_bytes`` is its declared length, which stands for it.
    """

    method: str
    host: str
    target: str
    body: bytes | None = None
    streamed_bytes: int = 0


class Fingerprints(msgspec.Struct, frozen=True):
    """
    A request by what it asks for alone, and by that and its caller.

    What is harmless from one caller may do harm from another.
    """

    content: ids.Fingerprint
    from_caller: ids.Fingerprint

    def as_tuple(self) -> tuple[ids.Fingerprint, ids.Fingerprint]:
        """Return both."""
        return self.content, self.from_caller


def target_digits(target: str) -> str:
    """Return how all fingerprints of a target begin; cheap beside the whole."""
    return f"{zlib.crc32(target.encode()):0{TARGET_DIGITS}x}"


def compute(content: Content, caller: str) -> Fingerprints:
    """Return the fingerprints of a request that ``caller`` sends."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (content.method, content.host, content.target):
        digest.update(part.encode() + b"\0")
    digest.update(b"%d\0" % content.streamed_bytes)
    digest.update(content.body or b"")
    start = target_digits(content.target)
    same_for_all = ids.Fingerprint(start + digest.hexdigest())
    digest.update(b"\0" + caller.encode())
    return Fingerprints(same_for_all, ids.Fingerprint(start + digest.hexdigest()))
