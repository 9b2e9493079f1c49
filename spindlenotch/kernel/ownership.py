"""
Which slots of which upstreams an entry looks on as its own.

All entries lay the same upstreams on the same line and cut it into equal
parts, so that nearly all work in a slot comes from one entry, whose own count
of outstanding requests is then nearly exact. It is a preference, not a right:
where two entries see different lists they share some slots, and load reports
show it. Nothing unsafe follows from a wrong cut.
"""

import dataclasses
from collections import abc

from spindlenotch import ids


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Member:
    """An entry as ownership sees it; sorted by zone, then id."""

    zone: ids.ZoneName
    host: ids.HostId


@dataclasses.dataclass(frozen=True, slots=True)
class SlotOffer:
    """An upstream and the slots it offers, already weighted by zone."""

    upstream: ids.UpstreamId
    zone: ids.ZoneName
    slots: float


def owned(
    offers: abc.Iterable[SlotOffer], members: abc.Iterable[Member], local_member: Member
) -> dict[ids.UpstreamId, float]:
    """
    Return the slots that ``local_member`` owns, by upstream.

    Both lists are put in order of zone, so that where zones have entries and
    slots in equal proportion every entry owns slots of its own zone.
    """
    ordered = sorted(offers, key=lambda s: (s.zone, s.upstream))
    everyone = sorted({*members, local_member})
    total = sum(s.slots for s in ordered)
    part = total / len(everyone)
    begin = part * everyone.index(local_member)
    end = begin + part
    result: dict[ids.UpstreamId, float] = {}
    position = 0.0
    for offer in ordered:
        overlap = min(end, position + offer.slots) - max(begin, position)
        if overlap > 0:
            result[offer.upstream] = overlap
        position += offer.slots
    return result
