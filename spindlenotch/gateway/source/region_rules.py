"""
Restriction of routes to regions: where the requests of a route may be served.

Pure rules on the configuration. An operator can require that the data of a route stays
in some regions whatever fails; a request that arrives in another region is refused.
"""

from collections import abc

from spindlenotch import ids
from spindlenotch.gateway.source import routing
from spindlenotch.kernel import regions


def allows(route: routing.Route, region: ids.RegionName) -> bool:
    """
    Tell whether requests of a route may be served in a region.

    A gateway without configured regions can't tell that it is in an allowed one.
    """
    if route.allowed_regions is None:
        return True
    return region != regions.UNNAMED_REGION and region in route.allowed_regions


def common_regions(
    routes: abc.Iterable[routing.Route | routing.RefusedRoute],
) -> frozenset[ids.RegionName] | None:
    """
    Return the regions in which all of ``routes`` may be served; None: anywhere.

    Also None if the routes have no region in common, as some requests are then refused
    in every region.
    """
    allowed: frozenset[ids.RegionName] | None = None
    for route in routes:
        if isinstance(route, routing.Route) and route.allowed_regions is not None:
            route_regions = frozenset(route.allowed_regions)
            allowed = route_regions if allowed is None else allowed & route_regions
    return allowed or None
