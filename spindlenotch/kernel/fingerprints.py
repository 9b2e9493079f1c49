"""
Fingerprints that identify a request across resends.

A resent request has a new id and may come over another connection or to another
process. Its method, host, target and body stay the same, and usually its caller.
Performs no I/O and reads no clock.
"""

import hashlib
import zlib

import msgspec

from spindlenotch import ids

#: Bytes of a fingerprint's digest: among a million different requests, the probability
#: of a collision is 3 in 10^8.
DIGEST_BYTES = 8
#: Hexadecimal digits at the start of a fingerprint that depend on the target alone.
TARGET_DIGITS = 8


class Content(msgspec.Struct, frozen=True):
    """
    The parts of a request that are the same when it is sent again.

    ``body`` is None if there is none or if it is not buffered as a whole; in the second
    case its declared length, ``streamed_bytes``, is used in its place.
    """

    method: str
    host: str
    target: str
    body: bytes | None = None
    streamed_bytes: int = 0


class Fingerprints(msgspec.Struct, frozen=True):
    """
    The fingerprints of a request: by its content, and by its content and caller.

    Both are needed because a request that is harmless from one caller may crash
    upstreams when it comes from another.
    """

    content: ids.Fingerprint
    from_caller: ids.Fingerprint

    def as_tuple(self) -> tuple[ids.Fingerprint, ids.Fingerprint]:
        """Return the fingerprint by content and the one by content and caller."""
        return self.content, self.from_caller


def target_digits(target: str) -> str:
    """Return the prefix of all fingerprints of a target; cheaper than a digest."""
    return f"{zlib.crc32(target.encode()):0{TARGET_DIGITS}x}"


def compute(content: Content, caller: str) -> Fingerprints:
    """Return the fingerprints of a request from ``caller``."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (content.method, content.host, content.target):
        digest.update(part.encode() + b"\0")
    digest.update(b"%d\0" % content.streamed_bytes)
    digest.update(content.body or b"")
    start = target_digits(content.target)
    same_for_all = ids.Fingerprint(start + digest.hexdigest())
    digest.update(b"\0" + caller.encode())
    return Fingerprints(same_for_all, ids.Fingerprint(start + digest.hexdigest()))
