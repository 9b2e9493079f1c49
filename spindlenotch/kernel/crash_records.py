"""
Records of requests under which upstreams crashed, as peers exchange them.

Types only. Records of one request are merged by taking the higher round, and within a
round the higher depth and all upstreams: in whatever order they come, and however
often, the result is the same.
"""

import msgspec

from spindlenotch import ids

#: Most upstreams that a record names; more of them add no information.
MAX_ENDED_UPSTREAMS = 3


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """
    A request and the upstreams that crashed under it.

    An answer begins a new ``round``: what was known before counts no longer. ``depth``
    is the length of the chain of crashes, each under an attempt sent when
    the one before was known. ``ended`` are some upstreams that ended in this round.
    ``is_retried``: since then the request was sent once more, to test it.
    """

    fingerprint: ids.Fingerprint
    round: int = 0
    depth: int = 0
    ended: tuple[ids.UpstreamId, ...] = ()
    is_retried: bool = False

    def merged(self, other: "CrashRecord") -> "CrashRecord":
        """Return the merger of two records of the same request."""
        if self.round != other.round:
            newer = max(self, other, key=lambda note: note.round)
            # A peer's record may name upstreams in any order, or twice; merging it
            # with itself normalizes that.
            return newer.merged(newer)
        ended = {*self.ended, *other.ended}
        return CrashRecord(
            self.fingerprint,
            self.round,
            max(self.depth, other.depth),
            tuple(sorted(ended)[:MAX_ENDED_UPSTREAMS]),
            self.is_retried or other.is_retried,
        )
