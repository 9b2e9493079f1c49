"""
Where requests of a route may be served: only in the regions that it allows.

Pure rules on the configuration. Answers the operator's wish that what a route carries
stays in some regions, whatever fails: a request that comes elsewhere is refused.
"""

from collections import abc

from spindlenotch import ids
from spindlenotch.gateway.source import routing
from spindlenotch.kernel import regions


def allows(route: routing.Route, region: ids.RegionName) -> bool:
    """
    Tell whether requests of a route may be served in a region.

    A gateway that knows no regions can't say that it lies in an allowed one.
    """
    if route.allowed_regions is None:
        return True
    return region != regions.UNNAMED and region in route.allowed_regions


def common_regions(
    routes: abc.Iterable[routing.Route | routing.RefusedRoute],
) -> frozenset[ids.RegionName] | None:
    """
    Return the regions in which all of some routes may be served; None: anywhere.

    None too where they have no region in common: wherever their callers are sent,
    some are refused.
    """
    allowed: frozenset[ids.RegionName] | None = None
    for route in routes:
        if isinstance(route, routing.Route) and route.allowed_regions is not None:
            route_regions = frozenset(route.allowed_regions)
            allowed = route_regions if allowed is None else allowed & route_regions
    return allowed or None
