"""
View of the fleet's gateways and their roles, as this gateway sees them.

Built from the gossip state, which ``membership`` keeps up to date; ``active_set`` and
``duties`` determine who is active, who is standby and who reads the source. Owns only
the cached view, which is valid until one of its inputs changes: computing it iterates
over all members, and it is requested up to 25 times per second.
"""

import functools

import msgspec

from spindlenotch import ids
from spindlenotch.gateway import lifecycle, state
from spindlenotch.gateway.cluster import active_set, duties, region_exchange
from spindlenotch.kernel import ownership
from spindlenotch.peers import messages, workload


class View:
    """
    Snapshot of the gateways' roles; derived values are computed lazily.

    ``isolated`` are the ready gateways that reach no upstream, empty if none reaches
    any: then the cause is rarely their links, and callers must be sent somewhere.

    Compared by identity: as long as ``Fleet.view`` returns the same object, no
    gateway's role has changed.
    """

    def __init__(
        self,
        ready: list[messages.MemberRecord],
        starting: list[messages.MemberRecord],
        active: list[active_set.Candidate],
        isolated: frozenset[ids.HostId] = frozenset(),
    ) -> None:
        self.ready = ready
        self.starting = starting
        self.isolated = isolated
        self.active_zones = {candidate.host: candidate.zone for candidate in active}

    @property
    def count(self) -> int:
        """Return the number of gateways in view, including those that are starting."""
        return len(self.ready) + len(self.starting)

    @functools.cached_property
    def zones(self) -> frozenset[ids.ZoneName]:
        """Return the zones of all gateways in view."""
        return frozenset(record.zone for record in (*self.ready, *self.starting))

    @functools.cached_property
    def standby_by_zone(self) -> duties.HostsByZone:
        """Return the gateways of each zone that are eligible for its duties."""
        members = [ownership.Member(record.zone, record.host) for record in self.ready]
        return duties.standby_hosts(members, self.active_zones)

    @functools.cached_property
    def probing_by_zone(self) -> duties.HostsByZone:
        """Return the gateways of each zone that may probe upstreams."""
        members = [
            ownership.Member(record.zone, record.host)
            for record in self.ready
            if record.host not in self.isolated
        ]
        return duties.standby_hosts(members, self.active_zones)

    def readers(self, zone: ids.ZoneName) -> list[ids.HostId]:
        """
        Return the gateways that may read the source for a zone, most preferred first.

        These are standby gateways or, if none is ready, those that are starting: a
        fleet that starts does not become ready before a gateway has read the source.
        """
        hosts = self.standby_by_zone.get(zone)
        if hosts is None:
            hosts = [record.host for record in self.starting if record.zone == zone]
        return duties.readers(zone, hosts)

    def region_readers(self, region: ids.RegionName) -> list[ids.HostId]:
        """Return the gateways that may read the source for all zones of this region."""
        hosts = [host for group in self.standby_by_zone.values() for host in group]
        if not hosts:
            hosts = [record.host for record in self.starting]
        return duties.readers(ids.ZoneName(region), hosts)


class _Inputs(msgspec.Struct, frozen=True):
    """
    Inputs of the view besides the demand, which also determines who is active.

    ``reachable_regions`` are the other regions that are not lost.
    """

    members_revision: int
    phase: lifecycle.Phase
    min_per_zone: int
    reachable_regions: frozenset[ids.RegionName]


class Fleet:
    """Answers queries on the fleet's gateways and their roles."""

    def __init__(self, gateway_state: state.GatewayState) -> None:
        self.state = gateway_state
        self._inputs: _Inputs | None = None
        self._demand_revision = 0
        self._ranking = active_set.Ranking([], 0)
        self._view = View([], [], [])
        self._readers: list[ids.HostId] | None = None
        self._regions = region_exchange.RegionExchange(gateway_state)

    def view(self) -> View:
        """Return the current view, which is cached until its inputs change."""
        gateway_state = self.state
        inputs = _Inputs(
            gateway_state.gossip.members_revision,
            gateway_state.phase,
            gateway_state.config.entries_per_zone,
            self._regions.reachable(),
        )
        if inputs != self._inputs:
            self._inputs = inputs
            self._update_members(inputs.min_per_zone)
        elif gateway_state.gossip.demand_revision != self._demand_revision:
            self._update_demand()
        return self._view

    def update_size(self) -> None:
        """Update ``region_size`` of the state; called a few times per second."""
        config = self.state.config
        now = self.state.clock.now()
        has_others = any(peer != config.peer_listen for peer in config.peers)
        count = self.view().count
        self.state.region_size.update(count, now, has_others=has_others)

    def active_addresses(self) -> dict[ids.HostId, ids.Address]:
        """Return the addresses of the active gateways that callers connect to."""
        view = self.view()
        return {
            record.host: record.address
            for record in view.ready
            if record.host in view.active_zones
        }

    def handover_addresses(self) -> list[ids.Address]:
        """Return the active gateways that can serve requests for this one."""
        # Called for each request, and nearly always on a gateway that is not isolated.
        if not self.state.gossip.local.is_isolated:
            return []
        if self.state.config.host not in self.view().isolated:
            return []
        return list(self.active_addresses().values())

    def other_addresses(self) -> list[ids.Address]:
        """
        Return the gateways besides this one that are ready, the active ones first.

        Leaves out those that reach no upstream, and returns none if this one reaches
        none; see ``handover_addresses``.
        """
        if self.state.gossip.local.is_isolated:
            return []
        view = self.view()
        others = [
            record
            for record in view.ready
            if record.host != self.state.config.host
            and record.host not in view.isolated
        ]
        others.sort(key=lambda record: record.host not in view.active_zones)
        return [record.address for record in others]

    def addresses_for(
        self,
        region: ids.RegionName,
        allowed: frozenset[ids.RegionName] | None = None,
    ) -> list[ids.Address]:
        """
        Return the gateway addresses for callers of ``region``.

        ``allowed`` are the regions that may serve these callers; None means any.
        """
        own = self.active_addresses().values()
        return self._regions.addresses(region, own, allowed)

    def active_zones(self) -> dict[ids.HostId, ids.ZoneName]:
        """Return the zones of the active gateways."""
        return self.view().active_zones

    def readers(self) -> list[ids.HostId]:
        """
        Return the gateways that may read the source for this zone, preferred first.

        With several regions, one reader serves all zones of its region: a read then
        crosses regions, and passing the result on between zones costs less.
        """
        view = self.view()
        if self._readers is None:
            if self.state.links is None:
                self._readers = view.readers(self.state.config.zone)
            else:
                self._readers = view.region_readers(self.state.region)
        return self._readers

    def first_readers(self) -> list[ids.HostId]:
        """Return the most preferred reader of each other zone of this region."""
        if self.state.links is not None:
            return []
        view = self.view()
        return [
            host
            for zone in view.zones
            if zone != self.state.config.zone
            for host in view.readers(zone)[:1]
        ]

    def reader_slot(self) -> tuple[int, int]:
        """Return this zone's number among those with a reader, and their count."""
        if self.state.links is not None:
            return 0, 1
        zones = sorted({self.state.config.zone, *self.view().zones})
        return zones.index(self.state.config.zone), len(zones)

    def shares_reader(self, zone: ids.ZoneName) -> bool:
        """Tell whether the reader of this gateway's zone also reads for ``zone``."""
        if self.state.links is None:
            return zone == self.state.config.zone
        return not self.state.is_remote(zone)

    def _update_members(self, min_per_zone: int) -> None:
        records = self._live_records()
        ready = [record for record in records if record.status is messages.Status.READY]
        starting = [
            record for record in records if record.status is messages.Status.STARTING
        ]
        isolated = frozenset(record.host for record in ready if record.is_isolated)
        if len(isolated) == len(ready):
            isolated = frozenset()
        candidates = [
            active_set.Candidate(record.host, record.zone, record.capacity)
            for record in ready
            if record.host not in isolated
        ]
        self._ranking = active_set.rank(candidates, min_per_zone)
        self._set_view(View(ready, starting, self._active(ready), isolated))

    def _update_demand(self) -> None:
        """Reselect the active gateways; keep the view if they are unchanged."""
        view = self._view
        active = self._active(view.ready)
        if {candidate.host for candidate in active} != view.active_zones.keys():
            self._set_view(View(view.ready, view.starting, active, view.isolated))

    def _set_view(self, view: View) -> None:
        self._view = view
        self._readers = None

    def _active(self, ready: list[messages.MemberRecord]) -> list[active_set.Candidate]:
        gossip = self.state.gossip
        self._demand_revision = gossip.demand_revision
        ready_hosts = {record.host for record in ready}
        demands = [
            demand
            for host, demand in gossip.demand_by_host.items()
            if host in ready_hosts
        ]
        demand = workload.Work(
            sum(host_demand.requests_per_s for host_demand in demands),
            sum(host_demand.bytes_per_s for host_demand in demands),
        )
        active = self._ranking.active(self._regions.required_demand(demand))
        hosts = {candidate.host for candidate in active}
        records = [record for record in ready if record.host in hosts]
        self._regions.describe(records, len(ready), demand)
        return active

    def _live_records(self) -> list[messages.MemberRecord]:
        """Return the records of the gateways presumed alive, this gateway's last."""
        gossip = self.state.gossip
        records = [
            peer.record
            for peer in gossip.known_by_host.values()
            if not peer.missed and not peer.suspected
        ]
        records.append(gossip.local)
        return records
