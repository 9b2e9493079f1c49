"""
Which slots of which upstreams a member owns: deterministic subsetting.

All members put the same upstreams in the same order and divide their slots into
equal parts, so that nearly all work in a slot comes from one member, whose own
count of outstanding requests is then nearly exact. Ownership is a preference,
not a right: members with different lists share some slots, and load reports show
it. Nothing unsafe follows from a wrong division. Pure.
"""

from collections import abc

import msgspec

from spindlenotch import ids


class Member(msgspec.Struct, frozen=True, order=True):
    """A process that sends to the upstreams; sorted by zone, then host."""

    zone: ids.ZoneName
    host: ids.HostId


class SlotOffer(msgspec.Struct, frozen=True):
    """An upstream and the slots it offers, already weighted by zone."""

    upstream: ids.UpstreamId
    zone: ids.ZoneName
    slots: float


def owned(
    offers: abc.Iterable[SlotOffer], members: abc.Iterable[Member], local_member: Member
) -> dict[ids.UpstreamId, float]:
    """
    Return the slots that ``local_member`` owns, by upstream.

    Both lists are put in order of zone, so that where zones have members and
    slots in equal proportion every member owns slots of its own zone.
    """
    ordered = sorted(offers, key=lambda s: (s.zone, s.upstream))
    all_members = sorted({*members, local_member})
    total = sum(s.slots for s in ordered)
    part = total / len(all_members)
    begin = part * all_members.index(local_member)
    end = begin + part
    result: dict[ids.UpstreamId, float] = {}
    position = 0.0
    for offer in ordered:
        overlap = min(end, position + offer.slots) - max(begin, position)
        if overlap > 0:
            result[offer.upstream] = overlap
        position += offer.slots
    return result
