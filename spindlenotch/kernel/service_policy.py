"""
The balancing policy of one service.

The entry daemon builds it from a signed bundle, the gateway from its defaults.
Immutable and without state: a change to a service is a new policy, which
``Balancer.update_service`` applies.
"""

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import extra_budgets, regions, zone_schedule


class ServicePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """
    How the calls of one service are balanced.

    ``slots`` is the concurrency of an upstream whose own spec sets none.
    ``typical_s`` is the initial value of every latency estimate, in seconds.
    ``latency_keys`` names the kinds of calls whose latency is tracked separately.
    ``selection`` is the registered name of the selection policy. ``eject_share`` is
    the largest share of the upstreams that may be ejected at a time. ``day`` holds the
    scheduled zone weights; if empty, all zones have equal weights.
    ``cold_rate_per_s`` is how many requests per second a cold upstream can take from
    all processes together, None if that is not limited; an upstream is cold for
    ``cold_start_s`` seconds after its start. ``region_map`` gives the region of each
    zone.
    """

    name: ids.ServiceName
    zones: tuple[ids.ZoneName, ...]
    slots: int
    typical_s: float
    selection: str
    extra: extra_budgets.ExtraPolicy
    queue_limit: int
    eject_share: float
    latency_keys: tuple[str, ...] = ()
    day: tuple[zone_schedule.DayStep, ...] = ()
    cold_rate_per_s: float | None = None
    cold_start_s: float = 0.0
    region_map: regions.Regions = regions.ONE_REGION
