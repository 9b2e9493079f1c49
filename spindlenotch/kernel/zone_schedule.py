"""
Daily schedule of the zone weights: the share of a service's traffic per zone.

Weights are interpolated linearly between the scheduled steps, across midnight too, so
that a restart or a skewed clock causes no jump. Observed state overrides the
schedule: a zone without usable upstreams gets no weight, and if all zones with a
planned weight are empty, the slots of the others count in full.
"""

import datetime
import zoneinfo

import msgspec

from spindlenotch import ids

#: Minutes of a day, ignoring changes to and from daylight saving time.
MINUTES_PER_DAY = 1440.0


class DayStep(msgspec.Struct, frozen=True):
    """Zone weights that apply exactly at ``minute`` of the local day."""

    minute: int
    weight_by_zone: dict[ids.ZoneName, float]


def minute_of_day(unix_s: float, timezone: str) -> float:
    """Return the local minute of the day, including the fraction."""
    local = datetime.datetime.fromtimestamp(unix_s, zoneinfo.ZoneInfo(timezone))
    return local.hour * 60 + local.minute + local.second / 60


def planned_shares(
    zones: tuple[ids.ZoneName, ...], day: tuple[DayStep, ...], minute: float
) -> dict[ids.ZoneName, float]:
    """
    Return the share of each zone at ``minute``; the shares add up to one.

    ``day`` is sorted by minute; if it is empty, all zones get equal shares.
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
    Return the factor, at most one, by which the slots of each zone are weighted.

    ``usable_slots`` is the number of slots observed in each zone. The zone with the
    most planned weight per slot gets factor one, the others in proportion.
    """
    wanted = {
        name: plan.get(name, 0.0) for name, slots in usable_slots.items() if slots > 0
    }
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
