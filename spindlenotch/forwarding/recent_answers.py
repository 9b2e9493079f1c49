"""
Which requests were answered lately: the loss of one with its upstream says little then.

A request that ends what runs it is never answered. One that was, a moment ago, is not
such a request: beside one that is, popular requests are lost with the same upstreams.
Kept in two generations, of which the older is dropped. Pure.
"""

from spindlenotch import ids
from spindlenotch.forwarding import jobs

#: Seconds for which an answer counts at least; twice that at most. A request that comes
#: once in five seconds is known to be harmless; one that turns harmful is held to be
#: harmless for ten more at most.
GENERATION_S = 5.0
#: Bytes of a body that tell it apart here; hashing them takes some 10 microseconds.
HASHED_BODY_BYTES = 16 * 1024


class RecentAnswers:
    """The requests that this process had answered lately."""

    def __init__(self) -> None:
        self._new: set[int] = set()
        self._old: set[int] = set()
        self._rotate_at = ids.Instant(float("-inf"))

    def add(self, job: jobs.Job, now: ids.Instant) -> None:
        """Take in that a request was answered."""
        if now >= self._rotate_at:
            self._rotate(now)
        self._new.add(_key(job))

    def contains(self, job: jobs.Job, now: ids.Instant) -> bool:
        """Tell whether the same request was answered lately."""
        if now >= self._rotate_at:
            self._rotate(now)
        key = _key(job)
        return key in self._new or key in self._old

    def _rotate(self, now: ids.Instant) -> None:
        is_long_ago = now >= self._rotate_at + GENERATION_S
        self._old = set() if is_long_ago else self._new
        self._new = set()
        self._rotate_at = ids.later(now, GENERATION_S)


def _key(job: jobs.Job) -> int:
    """Return what tells requests apart in this process; cheaper than a fingerprint."""
    body = job.body if isinstance(job.body, bytes) else b""
    size = len(body) + job.streamed_bytes
    return hash((job.method, job.target, job.caller, size, body[:HASHED_BODY_BYTES]))
