"""
What the kernel is told of a gateway's services.

The configuration of routes names services but not how to balance them, so the
policy of each comes from here and from the settings. Relies on
``kernel.service_policy`` for the form; owns no state.
"""

from spindlenotch import ids
from spindlenotch.decisions import soonest
from spindlenotch.gateway import settings
from spindlenotch.gateway.source import routing
from spindlenotch.kernel import extra_budgets, regions, service_policy

#: Typical latency of a route's requests before any was measured, as a share of
#: the route's target. Chosen, not measured.
TYPICAL_SHARE_OF_TARGET = 0.35
#: The same where a route has no target, and of a service as a whole, in seconds.
#: Chosen, not measured.
TYPICAL_UNKNOWN_S = 0.1
#: Most waiting requests of a service. Chosen, not measured.
QUEUE_LIMIT = 2000
#: Largest share of a service's upstreams that may be ejected. Chosen, not
#: measured.
EJECT_SHARE = 0.5
#: Share of the allowed retries and hedges that the fleet uses at most. Chosen,
#: not measured.
EXTRA_MARGIN = 0.9
#: Gateways that share the reserve of retries and hedges in equal parts. Chosen,
#: not measured.
RESERVE_PARTS = 24
#: Slots of an upstream that is listed without a number. The source always gives
#: one today.
DEFAULT_SLOTS = 1


def typical_latency_s(route: routing.Route) -> float:
    """Return the assumed latency of a route's requests, in seconds."""
    if route.target_s is None:
        return TYPICAL_UNKNOWN_S
    return TYPICAL_SHARE_OF_TARGET * route.target_s


def policy(
    spec: routing.ServiceSpec,
    zones: tuple[ids.ZoneName, ...],
    config: settings.GatewaySettings,
) -> service_policy.ServicePolicy:
    """Return how a service with upstreams in ``zones`` is balanced."""
    return service_policy.ServicePolicy(
        name=spec.name,
        zones=zones,
        slots=DEFAULT_SLOTS,
        typical_s=TYPICAL_UNKNOWN_S,
        selection=soonest.NAME,
        extra=extra_budgets.SharedWindow(
            share=EXTRA_MARGIN * config.extra_share,
            reserve=int(config.extra_reserve / RESERVE_PARTS),
            window_s=config.extra_window_s,
        ),
        queue_limit=QUEUE_LIMIT,
        eject_share=EJECT_SHARE,
        cold_rate_per_s=spec.cold_rate_per_s,
        cold_start_s=spec.cold_start_s,
        region_map=regions.create(config.region_by_zone),
    )
