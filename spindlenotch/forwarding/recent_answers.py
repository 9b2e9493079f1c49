"""
Requests that were answered recently, which are not suspected of crashing upstreams.

A request that crashes its upstreams is never answered. One that was answered a moment
ago is therefore not the cause of a crash: frequent requests are often in flight at an
upstream that another request crashes. Entries are held in two generations; the older
one is dropped periodically. Performs no I/O and reads no clock.
"""

from spindlenotch import ids
from spindlenotch.forwarding import jobs

#: Seconds for which an answer is remembered at least; twice that at most. A request
#: sent once every five seconds stays known as harmless; one that becomes harmful passes
#: for harmless for at most ten seconds more.
GENERATION_S = 5.0
#: Bytes at the start of a body that are hashed; this takes about 10 microseconds.
HASHED_BODY_BYTES = 16 * 1024


class RecentAnswers:
    """The requests of this process that were answered recently."""

    def __init__(self) -> None:
        self._new: set[int] = set()
        self._old: set[int] = set()
        self._rotate_at = ids.Instant(float("-inf"))

    def add(self, job: jobs.Job, now: ids.Instant) -> None:
        """Record that a request was answered."""
        if now >= self._rotate_at:
            self._rotate(now)
        self._new.add(_key(job))

    def contains(self, job: jobs.Job, now: ids.Instant) -> bool:
        """Return whether an identical request was answered recently."""
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
    """Return a hash for use in this process only; cheaper than a fingerprint."""
    body = job.body if isinstance(job.body, bytes) else b""
    size = len(body) + job.streamed_bytes
    return hash((job.method, job.target, job.caller, size, body[:HASHED_BODY_BYTES]))
