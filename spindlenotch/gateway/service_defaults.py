"""
The balancing policies of a gateway's services.

The route configuration names services but not how to balance them, so their policies
are built from the defaults here and the settings. The type of a policy is defined by
``kernel.service_policy``. Holds no state.
"""

from spindlenotch import ids
from spindlenotch.decisions import least_latency
from spindlenotch.gateway import settings
from spindlenotch.gateway.cluster import fleet_size
from spindlenotch.gateway.source import routing
from spindlenotch.kernel import extra_budgets, regions, service_policy

#: Assumed typical latency of a route's requests until one has completed, as a share of
#: the route's latency target.
TYPICAL_SHARE_OF_TARGET = 0.35
#: Minimum and maximum of that latency in seconds, for targets that tell nothing of how
#: long requests take.
MIN_TYPICAL_S = 0.001
MAX_TYPICAL_S = 60.0
#: Assumed typical latency of a service, and of a route without a latency target, in
#: seconds.
DEFAULT_TYPICAL_S = 0.1
#: Maximum number of queued requests per service.
QUEUE_LIMIT = 2000
#: Maximum share of a service's upstreams that may be ejected.
EJECT_SHARE = 0.5
#: Share of the allowed retries and hedges that the fleet uses at most, as a margin.
EXTRA_MARGIN = 0.9
#: Parts of the fleet's reserve of retries and hedges per gateway: one for itself, and
#: one for the process or host that replaces it, which does not know how much its
#: predecessor used.
RESERVE_PARTS_PER_GATEWAY = 2
#: Minimum number of parts, for small fleets: a gateway that sees few others may belong
#: to a larger fleet.
MIN_RESERVE_PARTS = 24
#: Number of gateways assumed by a gateway that is starting or partitioned from all
#: others: the largest fleet planned for, so that many such gateways together stay
#: within the reserve.
ASSUMED_FLEET_SIZE = 300
#: Concurrency slots of an upstream that is listed without a number. The source always
#: gives one today.
DEFAULT_SLOTS = 1


def typical_latency_s(route: routing.Route) -> float:
    """Return the assumed typical latency of a route's requests, in seconds."""
    if route.target_s is None:
        return DEFAULT_TYPICAL_S
    typical_s = TYPICAL_SHARE_OF_TARGET * route.target_s
    return min(MAX_TYPICAL_S, max(MIN_TYPICAL_S, typical_s))


def extra_reserve(
    config: settings.GatewaySettings, size: fleet_size.FleetSize
) -> float:
    """
    Return this gateway's part of the fleet's reserve of retries and hedges.

    ``size`` is the number of gateways in the own region. Each region has an equal part,
    so that the fleet stays within the reserve while regions are partitioned.
    """
    largest = ASSUMED_FLEET_SIZE if size.is_alone else size.largest
    regions = max(1, len(set(config.region_by_zone.values())))
    parts = max(MIN_RESERVE_PARTS, RESERVE_PARTS_PER_GATEWAY * regions * largest)
    return config.extra_reserve / parts


def policy(
    spec: routing.ServiceSpec,
    zones: tuple[ids.ZoneName, ...],
    config: settings.GatewaySettings,
    size: fleet_size.FleetSize,
) -> service_policy.ServicePolicy:
    """Return the policy of a service with upstreams in ``zones``."""
    return service_policy.ServicePolicy(
        name=spec.name,
        zones=zones,
        slots=DEFAULT_SLOTS,
        typical_s=DEFAULT_TYPICAL_S,
        selection=least_latency.NAME,
        extra=extra_budgets.SharedWindow(
            share=EXTRA_MARGIN * config.extra_share,
            reserve=extra_reserve(config, size),
            window_s=config.extra_window_s,
        ),
        queue_limit=QUEUE_LIMIT,
        eject_share=EJECT_SHARE,
        cold_rate_per_s=spec.cold_rate_per_s,
        cold_start_s=spec.cold_start_s,
        region_map=regions.create(config.region_by_zone),
    )
