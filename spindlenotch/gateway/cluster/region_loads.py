"""
Utilization of the upstreams of each region, exchanged between regions.

Load reports of single upstreams do not cross regions; the mean over a service does, in
the region's summary. Reads this region's utilization from the pools and stores that of
the other regions there, where ``decisions.overflow`` uses it.
"""

from spindlenotch import ids
from spindlenotch.decisions import overflow
from spindlenotch.gateway import state
from spindlenotch.peers import messages, region_links

#: Decimal places of a share; finer differences do not affect decisions.
SHARE_DIGITS = 2


class RegionLoads:
    """Synchronizes summaries and pools; no-op with a single region."""

    def __init__(self, gateway_state: state.GatewayState) -> None:
        self.state = gateway_state

    def update(self) -> None:
        """Update this region's summary, and the pools from those of other regions."""
        links = self.state.links
        if links is None:
            return
        now = self.state.clock.now()
        reachable = links.recent_summaries(now, region_links.SUMMARY_EXPIRY_S)
        services = []
        for name, service in self.state.balancer_by_service.items():
            service.pool.used_by_remote_region = _used_by_region(name, reachable)
            used = overflow.used_share(service.pool, now)
            service.pool.local_region_used = used
            services.append(messages.ServiceUse(name, round(used, SHARE_DIGITS)))
        links.describe_services(services)


def _used_by_region(
    service: ids.ServiceName,
    reachable: dict[ids.RegionName, messages.RegionSummary],
) -> dict[ids.RegionName, float]:
    return {
        region: use.used
        for region, summary in reachable.items()
        for use in summary.services
        if use.service == service
    }
