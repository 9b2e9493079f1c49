"""
The day's movement: how much of a service's traffic each zone should carry.

Weights move on a straight line between the planned steps, around
midnight as well, so that a restart or a skewed clock causes no jump. What is
observed overrides the plan: a zone without usable upstreams gets weight zero,
and where all planned zones are empty every zone counts alike.
"""

import datetime
import zoneinfo

import msgspec

from spindlenotch import ids

#: By definition.
MINUTES_PER_DAY = 1440.0


class DayStep(msgspec.Struct, frozen=True):
    """Zone weights that hold exactly at ``minute`` of the local day."""

    minute: int
    weight_by_zone: dict[ids.ZoneName, float]


def minute_of_day(unix_s: float, timezone: str) -> float:
    """Return the local minute of the day, with fractions."""
    local = datetime.datetime.fromtimestamp(unix_s, zoneinfo.ZoneInfo(timezone))
    return local.hour * 60 + local.minute + local.second / 60


def planned_shares(
    zones: tuple[ids.ZoneName, ...], day: tuple[DayStep, ...], minute: float
) -> dict[ids.ZoneName, float]:
    """
    Return the weight of each zone at ``minute``; shares add up to one.

    ``day`` is in order of minutes; where it is empty every zone counts alike.
    """
    if not day:
        return _normalized(dict.fromkeys(zones, 1.0))
    before = day[-1]
    after = day[0]
    for step in day:
        if step.minute <= minute:
            before = step
    for step in reversed(day):
        if step.minute > minute:
            after = step
    span = (after.minute - before.minute) % MINUTES_PER_DAY or MINUTES_PER_DAY
    progress = ((minute - before.minute) % MINUTES_PER_DAY) / span
    return _normalized(
        {zone: _interpolated(before, after, zone, progress) for zone in zones}
    )


def slot_factors(
    plan: dict[ids.ZoneName, float], usable_slots: dict[ids.ZoneName, float]
) -> dict[ids.ZoneName, float]:
    """
    Return factors by which each zone's slots count, at most one each.

    ``usable_slots`` is what is observed to be there. The zone with the most
    planned weight per slot counts in full; the others in proportion.
    """
    wanted = {z: plan.get(z, 0.0) for z, slots in usable_slots.items() if slots > 0}
    if not any(wanted.values()):
        return dict.fromkeys(wanted, 1.0)
    density = {zone: wanted[zone] / usable_slots[zone] for zone in wanted}
    top = max(density.values())
    return {zone: density[zone] / top for zone in wanted}


def _interpolated(
    before: DayStep, after: DayStep, zone: ids.ZoneName, progress: float
) -> float:
    start = before.weight_by_zone.get(zone, 0.0)
    end = after.weight_by_zone.get(zone, 0.0)
    return start + (end - start) * progress


def _normalized(weights: dict[ids.ZoneName, float]) -> dict[ids.ZoneName, float]:
    total = sum(weights.values())
    if total <= 0:
        return dict.fromkeys(weights, 1.0 / max(1, len(weights)))
    return {zone: weight / total for zone, weight in weights.items()}
