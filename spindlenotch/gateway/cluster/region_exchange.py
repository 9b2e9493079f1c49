"""
Exchange with other regions: gateway addresses and the demand of their callers.

Updates the summary of this region from the fleet and selects the addresses that callers
of a region are given. ``peers.region_links`` holds the summaries of the other regions;
``failover_demand`` estimates the demand that moves here from them.
"""

from collections import abc

from spindlenotch import ids
from spindlenotch.gateway import state
from spindlenotch.gateway.cluster import failover_demand
from spindlenotch.peers import messages, region_links, workload


class RegionExchange:
    """The other regions, as seen by this region's fleet; no-op with a single region."""

    def __init__(self, gateway_state: state.GatewayState) -> None:
        self.state = gateway_state
        self._failover_demand = failover_demand.FailoverDemand()

    def reachable(self) -> frozenset[ids.RegionName]:
        """Return the other regions that are not lost."""
        links = self.state.links
        if links is None:
            return frozenset()
        return frozenset(
            links.recent_summaries(
                self.state.clock.now(), region_links.SUMMARY_EXPIRY_S
            )
        )

    def required_demand(self, own: workload.Work) -> workload.Work:
        """Return the demand to provision for: ``own`` and what will move here."""
        links = self.state.links
        if links is None:
            return own
        now = self.state.clock.now()
        reachable = links.recent_summaries(now, region_links.SUMMARY_EXPIRY_S)
        known = {
            region: heard.summary.demand
            for region, heard in links.received_by_region.items()
        }
        lost = {region: known[region] for region in known.keys() - reachable.keys()}
        return self._failover_demand.expected(
            own, {region: known[region] for region in reachable}, lost, now
        )

    def describe(
        self,
        active: abc.Collection[messages.MemberRecord],
        member_count: int,
        demand: workload.Work,
    ) -> None:
        """Update the summary of this region that is sent to others."""
        links = self.state.links
        if links is not None:
            gateways = [
                messages.RegionGateway(record.address, record.peer_address)
                for record in active
            ]
            local_host = self.state.config.host
            is_active = any(record.host == local_host for record in active)
            links.describe(gateways, member_count, demand, is_active=is_active)

    def addresses(
        self,
        region: ids.RegionName,
        own: abc.Collection[ids.Address],
        allowed: frozenset[ids.RegionName] | None,
    ) -> list[ids.Address]:
        """
        Return the gateway addresses for callers of a region.

        ``own`` are the addresses of this region. While it is uncertain that the other
        region is reachable, they are returned together with its last known ones. Where
        neither has any, those of all reachable regions are returned. Callers who may be
        served only in the ``allowed`` regions (None: any) are sent to one of these, or
        to this region, which rejects them, where none of these is reachable.
        """
        links = self.state.links
        if links is None:
            return sorted(own)
        permitted = self._permitted_region(links, region, allowed)
        if allowed is None or links.local_region in allowed:
            return self._addresses_of(links, permitted, own, allowed)
        return self._addresses_of(links, permitted, (), allowed) or sorted(own)

    def _addresses_of(
        self,
        links: region_links.RegionLinks,
        region: ids.RegionName,
        own: abc.Collection[ids.Address],
        allowed: frozenset[ids.RegionName] | None,
    ) -> list[ids.Address]:
        """Return the addresses of a region, with the fallbacks of ``addresses``."""
        if region not in links.others and own:
            return sorted(own)
        now = self.state.clock.now()
        recent = _addresses(
            links.recent_summaries(now, region_links.SUMMARY_STALE_S), region
        )
        if recent:
            return recent
        reachable = links.recent_summaries(now, region_links.SUMMARY_EXPIRY_S)
        last_known = _addresses(reachable, region)
        if own or last_known:
            return sorted({*own, *last_known})
        fallback_regions = (
            reachable.keys() if allowed is None else reachable.keys() & allowed
        )
        return sorted(
            {
                address
                for name in fallback_regions
                for address in _addresses(reachable, name)
            }
        )

    def _permitted_region(
        self,
        links: region_links.RegionLinks,
        region: ids.RegionName,
        allowed: frozenset[ids.RegionName] | None,
    ) -> ids.RegionName:
        """Return the region to serve a caller in, an allowed one where there is one."""
        if allowed is None:
            return region
        reachable = self.reachable() & allowed
        if region in reachable:
            return region
        if links.local_region in allowed or not reachable:
            return links.local_region
        return min(reachable)


def _addresses(
    summary_by_region: abc.Mapping[ids.RegionName, messages.RegionSummary],
    region: ids.RegionName,
) -> list[ids.Address]:
    summary = summary_by_region.get(region)
    return [] if summary is None else sorted(one.address for one in summary.gateways)
