"""
What a gateway makes of other regions: their addresses and their callers' demand.

Keeps the summary of the own region in step with the fleet and says which addresses of
another region its callers are to be given. Relies on ``peers.region_links`` for what
is known of the others and on ``moved_demand`` for what their callers will ask.
"""

from collections import abc

from spindlenotch import ids
from spindlenotch.gateway import state
from spindlenotch.gateway.cluster import moved_demand
from spindlenotch.peers import messages, region_links, workload


class RegionExchange:
    """The other regions, as the fleet of one needs them; nothing where there is one."""

    def __init__(self, gateway_state: state.GatewayState) -> None:
        self.state = gateway_state
        self._failover_demand = moved_demand.FailoverDemand()

    def reachable(self) -> frozenset[ids.RegionName]:
        """Return the other regions that are not lost."""
        links = self.state.links
        if links is None:
            return frozenset()
        return frozenset(links.young(self.state.clock.now(), region_links.LOST_S))

    def required_demand(self, own: workload.Work) -> workload.Work:
        """Return the demand to be ready for: the own one and what will move here."""
        links = self.state.links
        if links is None:
            return own
        now = self.state.clock.now()
        reachable = links.young(now, region_links.LOST_S)
        known = {
            region: heard.summary.demand
            for region, heard in links.heard_by_region.items()
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
        """Let other regions know of this one."""
        links = self.state.links
        if links is not None:
            gateways = [
                messages.RegionGateway(record.address, record.peer_address)
                for record in active
            ]
            local_host = self.state.config.host
            speaks = any(record.host == local_host for record in active)
            links.describe(gateways, member_count, demand, speaks=speaks)

    def addresses(
        self,
        region: ids.RegionName,
        own: abc.Collection[ids.Address],
        allowed: frozenset[ids.RegionName] | None,
    ) -> list[ids.Address]:
        """
        Return the addresses for callers of a region; ``own`` are those of this one.

        While it is not sure that the other region is there, the own ones stand beside
        its last ones. Where this region has none, all others help out. Callers who may
        be served only in the ``allowed`` regions are sent to one of these; to the own
        one, which refuses them, where none of these is heard of.
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
        """Return the addresses of a region, of ``own`` ones or of all that help out."""
        if region not in links.others and own:
            return sorted(own)
        now = self.state.clock.now()
        recent = _addresses(links.young(now, region_links.DOUBTFUL_S), region)
        if recent:
            return recent
        reachable = links.young(now, region_links.LOST_S)
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
        """Return the caller's region, this one or one that is heard: an allowed one."""
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
