"""
Which entries callers are sent to, and the tickets that they get with that.

The answer to ``GET /v1/entries``: relies on gossip for the ready peers.
"""

from spindlenotch import api
from spindlenotch.entry import entry_state
from spindlenotch.peers import messages

#: Most entries that one answer names.
MAX_ENTRIES_NAMED = 8
#: Most tickets in one answer.
MAX_TICKETS = 64
#: Digits that the count of tickets may have, leading zeros included.
MAX_COUNT_DIGITS = 8


def ticket_count(text: str) -> int | None:
    """Read how many tickets a caller asks for; None where that is not allowed."""
    # A number of thousands of digits is refused before it is read.
    if len(text) > MAX_COUNT_DIGITS or not (text.isascii() and text.isdigit()):
        return None
    count = int(text)
    return count if count <= MAX_TICKETS else None


def answer(state: entry_state.EntryState, tickets: int) -> api.EntriesAnswer:
    """Name entries and mint that many tickets."""
    now = state.clock.now()
    return api.EntriesAnswer(
        entries=_ready_entries(state),
        valid_for_ms=int(state.config.hand_out_s * 1000),
        tickets=tuple(state.mint.mint(now) for _ in range(tickets)),
    )


def _ready_entries(state: entry_state.EntryState) -> tuple[api.NamedEntry, ...]:
    """
    Return ready entries, those of this zone first, at random otherwise.

    Without any other, this entry names itself even while it is leaving.
    """
    ready = [
        api.NamedEntry(member.record.address, member.record.zone)
        for member in state.gossip.known_by_host.values()
        if member.record.status is messages.Status.READY and not member.suspected
    ]
    if state.readiness.handed_out or not ready:
        ready.append(api.NamedEntry(state.gossip.local.address, state.config.zone))
    state.rng.shuffle(ready)
    ready.sort(key=lambda entry: entry.zone != state.config.zone)
    return tuple(ready[:MAX_ENTRIES_NAMED])
