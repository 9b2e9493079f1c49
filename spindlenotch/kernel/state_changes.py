"""
The changes of upstreams' states that have not been logged yet.

The kernel does no output: it records each change here, and the process that owns
the pool collects them a few times a second and writes its events.
"""

import collections

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import upstreams

#: Changes kept until they are collected; older ones are dropped.
CHANGES_KEPT = 1000


class Change(msgspec.Struct, frozen=True):
    """An upstream changed its state, and why."""

    upstream: ids.UpstreamId
    state: upstreams.State
    reason: str


class ChangeLog:
    """The latest changes, oldest first."""

    def __init__(self) -> None:
        self._changes: collections.deque[Change] = collections.deque(
            maxlen=CHANGES_KEPT
        )

    def record(self, upstream: upstreams.Upstream) -> None:
        """Add the state that an upstream has got into."""
        self._changes.append(
            Change(upstream.spec.id, upstream.state, upstream.state_reason)
        )

    def collect(self) -> list[Change]:
        """Return and forget the changes so far."""
        changes = list(self._changes)
        self._changes.clear()
        return changes
