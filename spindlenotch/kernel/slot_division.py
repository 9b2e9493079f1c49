"""
Which slots of a pool's upstreams are divided among the members.

Between the state of the upstreams and ``ownership``, which divides: ejected ones
are left out, and the day's plan weights the zones (``zone_schedule``). Pure.
"""

from collections import abc

from spindlenotch import ids
from spindlenotch.kernel import ownership, upstreams


def slots_by_zone(
    usable: abc.Sequence[upstreams.Upstream],
) -> dict[ids.ZoneName, float]:
    """
    Return the slots of each zone that has an upstream in use.

    Ejected slots count here: a zone that has lost most of its own must not
    make the plan shrink the others.
    """
    zones = {u.spec.zone for u in usable if u.state is not upstreams.State.EJECTED}
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
    """Return the slots that are divided, weighted by zone."""
    return [
        ownership.SlotOffer(
            u.spec.id, u.spec.zone, u.slots * zone_factor.get(u.spec.zone, 0.0)
        )
        for u in usable
        if u.state is not upstreams.State.EJECTED
    ]
