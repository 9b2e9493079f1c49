"""
The state that one member keeps about another: its newest record and its replies.

Types and the order of records only; ``membership`` decides what follows from them.
"""

from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.peers import messages


class Peer(msgspec.Struct):
    """
    Another member as known here.

    ``updated_at`` is when its record was last confirmed, ``suspect_until`` when it
    is dropped unless it refutes the suspicion, or ``ids.NEVER``; ``missed`` counts
    consecutive missed replies.
    """

    record: messages.MemberRecord
    updated_at: ids.Instant
    suspect_until: ids.Instant = ids.NEVER
    missed: int = 0

    @property
    def suspected(self) -> bool:
        """Return whether it is suspected of having failed and has not refuted that."""
        return self.suspect_until != ids.NEVER


def replaces(
    record: messages.MemberRecord, old: messages.MemberRecord, *, direct: bool
) -> bool:
    """Return whether ``record`` is newer, or not older if ``direct``."""
    if direct:
        return record.record_version >= old.record_version
    return record.record_version > old.record_version


def hosts_in_zone(
    known_by_host: abc.Mapping[ids.HostId, Peer], zone: ids.ZoneName
) -> list[ids.HostId]:
    """Return the members in a zone, in the order in which they became known."""
    known = known_by_host.items()
    return [host for host, peer in known if peer.record.zone == zone]
