"""
What the kernel needs to know of one service.

Built from a signed bundle in the entry daemon and from the gateway's defaults
in the gateway. Owns no state. Immutable: a changed service is a new policy,
which ``Balancer.update_service`` puts into force.
"""

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import extra_budgets, regions, zone_schedule


class ServicePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """
    How the calls of one service are treated.

    ``slots`` is what an upstream runs at once where its own spec says nothing;
    ``typical_s`` seeds every latency estimate before there are measurements;
    ``latency_keys`` name the kinds of calls whose latency is followed
    separately. ``selection`` is the registered name of the selection policy,
    ``eject_share`` the share of the upstreams that may be ejected at a time.
    ``day`` holds the planned zone weights; empty where all zones count alike.
    ``cold_rate_per_s`` is how many requests a second a cold upstream bears from all
    processes together, None where nothing bounds it; one that starts is cold for
    ``cold_start_s`` seconds. ``region_map`` says which zones lie far from each other.
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
