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
        self._moved = moved_demand.MovedDemand()

    def heard(self) -> frozenset[ids.RegionName]:
        """Return the other regions that are not lost."""
        links = self.state.links
        if links is None:
            return frozenset()
        return frozenset(links.young(self.state.clock.now(), region_links.LOST_S))

    def needed(self, own: workload.Work) -> workload.Work:
        """Return the demand to be ready for: the own one and what will move here."""
        links = self.state.links
        if links is None:
            return own
        now = self.state.clock.now()
        heard = links.young(now, region_links.LOST_S)
        known = {
            region: one.summary.demand for region, one in links.heard_by_region.items()
        }
        lost = {region: known[region] for region in known.keys() - heard.keys()}
        return self._moved.expected(
            own, {region: known[region] for region in heard}, lost, now
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
        be served only in the ``allowed`` regions are sent to one of these.
        """
        links = self.state.links
        if links is None:
            return sorted(own)
        region = self._permitted(links, region, allowed)
        if region not in links.others and own:
            return sorted(own)
        now = self.state.clock.now()
        lately = _addresses(links.young(now, region_links.DOUBTFUL_S), region)
        if lately:
            return lately
        heard = links.young(now, region_links.LOST_S)
        last = _addresses(heard, region)
        if own or last:
            return sorted({*own, *last})
        return sorted({a for name in heard for a in _addresses(heard, name)})

    def _permitted(
        self,
        links: region_links.RegionLinks,
        region: ids.RegionName,
        allowed: frozenset[ids.RegionName] | None,
    ) -> ids.RegionName:
        """Return the caller's region, this one or one that is heard: an allowed one."""
        if allowed is None or region in allowed:
            return region
        heard = sorted(self.heard() & allowed)
        if links.local_region in allowed or not heard:
            return links.local_region
        return heard[0]


def _addresses(
    summary_by_region: abc.Mapping[ids.RegionName, messages.RegionSummary],
    region: ids.RegionName,
) -> list[ids.Address]:
    summary = summary_by_region.get(region)
    return [] if summary is None else sorted(one.address for one in summary.gateways)
