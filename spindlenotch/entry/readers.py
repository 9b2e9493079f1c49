"""
Which entries of a zone read the store and the host list for the others.

Pure. Readers are chosen by rendezvous hashing over the ready members that an
entry knows. Entries whose views differ may choose too many or too few readers
for a while; that costs some calls or delay and breaks nothing, so no lease is
needed.
"""

import enum

from spindlenotch.entry import entry_state
from spindlenotch.kernel import rendezvous

#: Readers in each zone; the second covers a failure of the first.
READERS_PER_ZONE = 2


class Resource(enum.Enum):
    """What is read; the value is hashed and must be the same on all entries."""

    STORE = "store"
    HOST_LIST = "hosts"


def is_reader(state: entry_state.EntryState, resource: Resource) -> bool:
    """Tell whether this entry is to read ``resource`` for its zone."""
    chosen = rendezvous.assigned_hosts(
        state.gossip.ready_members(),
        state.config.zone,
        resource.value,
        READERS_PER_ZONE,
    )
    return state.config.host in chosen
