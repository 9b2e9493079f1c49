"""
The slots of a pool's upstreams that are divided among the members.

Prepares the input of ``ownership``, which divides the slots: leaves out ejected
upstreams and applies the scheduled zone weights (``zone_schedule``). Performs no I/O
and reads no clock.
"""

from collections import abc

from spindlenotch import ids
from spindlenotch.kernel import ownership, upstreams


def slots_by_zone(
    usable: abc.Sequence[upstreams.Upstream],
) -> dict[ids.ZoneName, float]:
    """
    Return the slots of each zone that has an upstream that is not ejected.

    Slots of ejected upstreams count here: otherwise, a zone most of whose upstreams
    are ejected would lower the factors of the other zones.
    """
    zones = {
        candidate.spec.zone
        for candidate in usable
        if candidate.state is not upstreams.State.EJECTED
    }
    slots: dict[ids.ZoneName, float] = {}
    for upstream in usable:
        zone = upstream.spec.zone
        if zone in zones:
            slots[zone] = slots.get(zone, 0.0) + upstream.slots
    return slots


def offers(
    usable: abc.Iterable[upstreams.Upstream],
    zone_factor: abc.Mapping[ids.ZoneName, float],
) -> list[ownership.SlotOffer]:
    """Return the slots to divide among the members, weighted by zone."""
    return [
        ownership.SlotOffer(
            candidate.spec.id,
            candidate.spec.zone,
            candidate.slots * zone_factor.get(candidate.spec.zone, 0.0),
        )
        for candidate in usable
        if candidate.state is not upstreams.State.EJECTED
    ]
