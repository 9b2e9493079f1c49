"""
State changes of upstreams that have not been logged yet.

The kernel does no output: it records each change here, and the process that owns
the pool collects the changes a few times per second and logs them.
"""

import collections

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import upstreams

#: Changes kept until they are collected; older ones are dropped.
CHANGES_KEPT = 1000


class Change(msgspec.Struct, frozen=True):
    """The new state of an upstream, and the reason for it."""

    upstream: ids.UpstreamId
    state: upstreams.State
    reason: str


class ChangeLog:
    """The most recent changes, oldest first."""

    def __init__(self) -> None:
        self._changes: collections.deque[Change] = collections.deque(
            maxlen=CHANGES_KEPT
        )

    def record(self, upstream: upstreams.Upstream) -> None:
        """Add the present state of an upstream."""
        self._changes.append(
            Change(upstream.spec.id, upstream.state, upstream.state_reason)
        )

    def collect(self) -> list[Change]:
        """Return the changes so far and remove them."""
        changes = list(self._changes)
        self._changes.clear()
        return changes
