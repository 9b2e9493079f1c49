"""
Regions: groups of availability zones that are close to each other.

Performs no I/O and reads no clock: the regions are values from the settings. If no
region is set, all zones are in the same one.
"""

import enum

import msgspec

from spindlenotch import ids

#: Region of zones for which the settings name none.
UNNAMED_REGION = ids.RegionName("")


class Distance(enum.Enum):
    """The distance that traffic travels; the values are metric labels."""

    ZONE = "zone"
    REGION = "region"
    REMOTE = "far"


class Regions(msgspec.Struct, frozen=True):
    """The region of each zone; zones without one are in ``default_region``."""

    region_by_zone: dict[ids.ZoneName, ids.RegionName] = {}
    default_region: ids.RegionName = UNNAMED_REGION

    def region(self, zone: ids.ZoneName) -> ids.RegionName:
        """Return the region of a zone."""
        return self.region_by_zone.get(zone, self.default_region)

    def all_regions(self, zone: ids.ZoneName) -> frozenset[ids.RegionName]:
        """Return the names of all regions, including that of ``zone``."""
        return frozenset((*self.region_by_zone.values(), self.region(zone)))

    def distance(self, zone: ids.ZoneName, other: ids.ZoneName) -> Distance:
        """Return the distance between two zones."""
        if zone == other:
            return Distance.ZONE
        if self.region(zone) == self.region(other):
            return Distance.REGION
        return Distance.REMOTE


ONE_REGION = Regions()


def create(region_by_zone: dict[ids.ZoneName, ids.RegionName]) -> Regions:
    """
    Return the regions of a fleet.

    If the settings name only one region, all zones are in it: in a fleet with a single
    region they may name only that of the local zone.
    """
    all_regions = set(region_by_zone.values())
    return Regions(
        region_by_zone, all_regions.pop() if len(all_regions) == 1 else UNNAMED_REGION
    )
