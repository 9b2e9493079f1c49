"""
Tombstones of dropped members.

The last record of a dropped member still circulates in messages of other members.
Its tombstone keeps that record from adding the member again.
"""

import collections

from spindlenotch import ids
from spindlenotch.peers import messages

#: Maximum number of tombstones; the oldest is evicted beyond this.
MAX_TOMBSTONES = 4096

NO_TOMBSTONE = messages.RecordVersion(0, 0)


class Tombstones:
    """The record versions at which members were dropped, in order of the drops."""

    def __init__(self) -> None:
        self.version_by_host: collections.OrderedDict[
            ids.HostId, messages.RecordVersion
        ] = collections.OrderedDict()

    def add(self, record: messages.MemberRecord) -> None:
        """Record that a member was dropped, with its newest record."""
        self.version_by_host[record.host] = record.record_version
        if len(self.version_by_host) > MAX_TOMBSTONES:
            self.version_by_host.popitem(last=False)

    def discard(self, host: ids.HostId) -> None:
        """Remove the tombstone of a member that has sent a message itself."""
        self.version_by_host.pop(host, None)

    def covers(self, record: messages.MemberRecord) -> bool:
        """Return whether the record is no newer than its member's tombstone."""
        dropped_at = self.version_by_host.get(record.host, NO_TOMBSTONE)
        return record.record_version <= dropped_at
