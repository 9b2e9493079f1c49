"""
Deterministic subsetting: which slots of which upstreams a member owns.

All members sort the same upstreams in the same order and divide their slots into equal
parts, so that nearly all work in a slot comes from one member, whose own count of
outstanding requests is then nearly exact. Ownership is a preference and not exclusive:
members with different lists share some slots, which shows in the load reports. A wrong
division is safe. Performs no I/O and reads no clock.
"""

from collections import abc

import msgspec

from spindlenotch import ids


class Member(msgspec.Struct, frozen=True, order=True):
    """A process that sends to the upstreams; sorts by zone, then host."""

    zone: ids.ZoneName
    host: ids.HostId


class SlotOffer(msgspec.Struct, frozen=True):
    """An upstream and the number of slots it offers, weighted by zone."""

    upstream: ids.UpstreamId
    zone: ids.ZoneName
    slots: float


def owned(
    offers: abc.Iterable[SlotOffer], members: abc.Iterable[Member], local_member: Member
) -> dict[ids.UpstreamId, float]:
    """
    Return the number of slots that ``local_member`` owns, by upstream.

    Both lists are sorted by zone: if members and slots are spread over the zones in
    the same proportion, every member owns slots of its own zone.
    """
    ordered = sorted(offers, key=lambda item: (item.zone, item.upstream))
    all_members = sorted({*members, local_member})
    total = sum(item.slots for item in ordered)
    slots_per_member = total / len(all_members)
    begin = slots_per_member * all_members.index(local_member)
    end = begin + slots_per_member
    result: dict[ids.UpstreamId, float] = {}
    position = 0.0
    for offer in ordered:
        overlap = min(end, position + offer.slots) - max(begin, position)
        if overlap > 0:
            result[offer.upstream] = overlap
        position += offer.slots
    return result
