"""
How full the upstreams of each region are: told to other regions, learnt of them.

Load reports of single upstreams do not cross regions; the mean over a service does,
with the region's summary. Relies on the pools for the own region's and puts those of
the others into them, where ``decisions.overflow`` looks.
"""

from spindlenotch import ids
from spindlenotch.decisions import overflow
from spindlenotch.gateway import state
from spindlenotch.peers import messages, region_links

#: Digits behind the point of a share: hundredths decide nothing.
SHARE_DIGITS = 2


class RegionLoads:
    """Keeps summaries and pools in step; nothing where there is one region."""

    def __init__(self, gateway_state: state.GatewayState) -> None:
        self.state = gateway_state

    def update(self) -> None:
        """Tell what is known here, and take in what other regions have told."""
        links = self.state.links
        if links is None:
            return
        now = self.state.clock.now()
        heard = links.young(now, region_links.LOST_S)
        services = []
        for name, service in self.state.balancer_by_service.items():
            service.pool.used_by_remote_region = _used_by_region(name, heard)
            used = overflow.used_share(service.pool, now)
            service.pool.local_region_used = used
            services.append(messages.ServiceUse(name, round(used, SHARE_DIGITS)))
        links.describe_services(services)


def _used_by_region(
    service: ids.ServiceName,
    heard: dict[ids.RegionName, messages.RegionSummary],
) -> dict[ids.RegionName, float]:
    return {
        region: use.used
        for region, summary in heard.items()
        for use in summary.services
        if use.service == service
    }
