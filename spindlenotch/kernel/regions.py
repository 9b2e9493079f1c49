"""
Which zones lie near each other, and how far it is from one to another.

Pure values from the settings. Without any region all zones lie in one.
"""

import enum

import msgspec

from spindlenotch import ids

#: The region of zones that the settings give none.
UNNAMED_REGION = ids.RegionName("")


class Distance(enum.Enum):
    """How far bytes travel; the values label metrics."""

    ZONE = "zone"
    REGION = "region"
    FAR = "far"


class Regions(msgspec.Struct, frozen=True):
    """The region of each zone; zones without one share ``default_region``."""

    region_by_zone: dict[ids.ZoneName, ids.RegionName] = {}
    default_region: ids.RegionName = UNNAMED_REGION

    def region(self, zone: ids.ZoneName) -> ids.RegionName:
        """Return the region of a zone."""
        return self.region_by_zone.get(zone, self.default_region)

    def all_regions(self, zone: ids.ZoneName) -> frozenset[ids.RegionName]:
        """Return all regions, that of ``zone`` included."""
        return frozenset((*self.region_by_zone.values(), self.region(zone)))

    def distance(self, zone: ids.ZoneName, other: ids.ZoneName) -> Distance:
        """Return how far it is from one zone to another."""
        if zone == other:
            return Distance.ZONE
        if self.region(zone) == self.region(other):
            return Distance.REGION
        return Distance.FAR


ONE_REGION = Regions()


def create(region_by_zone: dict[ids.ZoneName, ids.RegionName]) -> Regions:
    """
    Return the regions of a fleet.

    Where only one is named, all zones lie in it: settings of a fleet of one region may
    name just that of the own zone.
    """
    all_regions = set(region_by_zone.values())
    return Regions(
        region_by_zone, all_regions.pop() if len(all_regions) == 1 else UNNAMED_REGION
    )
