"""
What the kernel is told of a gateway's services.

The configuration of routes names services but not how to balance them, so the
policy of each comes from here and from the settings. Relies on
``kernel.service_policy`` for the form; owns no state.
"""

from spindlenotch import ids
from spindlenotch.decisions import least_latency
from spindlenotch.gateway import settings
from spindlenotch.gateway.cluster import fleet_size
from spindlenotch.gateway.source import routing
from spindlenotch.kernel import extra_budgets, regions, service_policy

#: Typical latency of a route's requests before any has ended, as a share of the
#: route's target.
TYPICAL_SHARE_OF_TARGET = 0.35
#: The same where a route has no target, and of a service as a whole, in seconds.
DEFAULT_TYPICAL_S = 0.1
#: Most waiting requests of a service.
QUEUE_LIMIT = 2000
#: Largest share of a service's upstreams that may be ejected.
EJECT_SHARE = 0.5
#: Share of the allowed retries and hedges that the fleet uses at most.
EXTRA_MARGIN = 0.9
#: Parts of the reserve of retries and hedges for each gateway of the fleet: its own,
#: and that of the process or host that follows on it, which knows nothing of what
#: was used before it.
RESERVE_PARTS_PER_GATEWAY = 2
#: Parts where the fleet is small: a gateway that sees few others may be one of more.
MIN_RESERVE_PARTS = 24
#: Gateways that the fleet may have as far as one knows that starts, or is cut off from
#: all others: the largest that is planned for, so that many such use little.
ASSUMED_FLEET_SIZE = 300
#: Slots of an upstream that is listed without a number. The source always gives
#: one today.
DEFAULT_SLOTS = 1


def typical_latency_s(route: routing.Route) -> float:
    """Return the assumed latency of a route's requests, in seconds."""
    if route.target_s is None:
        return DEFAULT_TYPICAL_S
    return TYPICAL_SHARE_OF_TARGET * route.target_s


def extra_reserve(
    config: settings.GatewaySettings, size: fleet_size.FleetSize
) -> float:
    """
    Return this gateway's part of the fleet's reserve of retries and hedges.

    ``size`` is that of the own region. Each region has an equal part, so that the sum
    holds while they have lost each other.
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
    """Return how a service with upstreams in ``zones`` is balanced."""
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
