"""
The gateways of the fleet as this one sees them, and what part each plays.

Reads what gossip holds (``membership`` keeps it up to date) and asks
``active_set`` and ``duties`` who is active, who is standby and who reads the
source. Owns nothing but the last answer, which stands until what it depends on
changes: it walks all members, and is asked for up to 25 times a second.
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
    Who plays which part at one time; a part is worked out when it is asked for.

    Compared by identity: as long as ``Fleet.view`` returns the same one, no
    gateway's part has changed.
    """

    def __init__(
        self,
        ready: list[messages.MemberRecord],
        starting: list[messages.MemberRecord],
        active: list[active_set.Candidate],
    ) -> None:
        self.ready = ready
        self.starting = starting
        self.active_zones = {one.host: one.zone for one in active}

    @property
    def count(self) -> int:
        """Return how many gateways are in view, those that start included."""
        return len(self.ready) + len(self.starting)

    @functools.cached_property
    def standby_by_zone(self) -> duties.HostsByZone:
        """Return the gateways of each zone that carry its duties."""
        members = [ownership.Member(record.zone, record.host) for record in self.ready]
        return duties.standby_hosts(members, self.active_zones)

    def readers(self, zone: ids.ZoneName) -> list[ids.HostId]:
        """
        Return the gateways that may read the source for a zone, first ones first.

        Standby ones; where none is ready yet, those that are starting, since a
        fleet that starts is not ready before somebody has read.
        """
        hosts = self.standby_by_zone.get(zone)
        if hosts is None:
            hosts = [record.host for record in self.starting if record.zone == zone]
        return duties.readers(zone, hosts)

    def region_readers(self, region: ids.RegionName) -> list[ids.HostId]:
        """Return those that may read for all zones in view, which are of a region."""
        hosts = [host for some in self.standby_by_zone.values() for host in some]
        if not hosts:
            hosts = [record.host for record in self.starting]
        return duties.readers(ids.ZoneName(region), hosts)


class _Inputs(msgspec.Struct, frozen=True):
    """
    What decides who is ready; the demand decides with it who is active.

    ``regions_heard`` are the other regions that are not lost.
    """

    members_revision: int
    phase: lifecycle.Phase
    least_per_zone: int
    regions_heard: frozenset[ids.RegionName]


class Fleet:
    """Answers who is where, from what gossip holds."""

    def __init__(self, gateway_state: state.GatewayState) -> None:
        self.state = gateway_state
        self._inputs: _Inputs | None = None
        self._demand_revision = 0
        self._ranking = active_set.Ranking([], 0)
        self._view = View([], [], [])
        self._readers: list[ids.HostId] | None = None
        self._regions = region_exchange.RegionExchange(gateway_state)

    def view(self) -> View:
        """Return who plays which part now; the same one until that changes."""
        gateway_state = self.state
        inputs = _Inputs(
            gateway_state.gossip.members_revision,
            gateway_state.phase,
            gateway_state.config.entries_per_zone,
            self._regions.heard(),
        )
        if inputs != self._inputs:
            self._inputs = inputs
            self._look_at_members(inputs.least_per_zone)
        elif gateway_state.gossip.demand_revision != self._demand_revision:
            self._look_at_demand()
        return self._view

    def update_size(self) -> None:
        """Tell the state how many gateways are in view; called a few times a second."""
        config = self.state.config
        now = self.state.clock.now()
        has_others = any(peer != config.peer_listen for peer in config.peers)
        count = self.view().count
        self.state.region_size.update(count, now, has_others=has_others)

    def active_addresses(self) -> dict[ids.HostId, ids.Address]:
        """Return the addresses of the active gateways, for callers."""
        view = self.view()
        return {
            record.host: record.address
            for record in view.ready
            if record.host in view.active_zones
        }

    def addresses_for(
        self,
        region: ids.RegionName,
        allowed: frozenset[ids.RegionName] | None = None,
    ) -> list[ids.Address]:
        """Return the addresses for callers of a region, in ``allowed`` ones if any."""
        own = self.active_addresses().values()
        return self._regions.addresses(region, own, allowed)

    def active_zones(self) -> dict[ids.HostId, ids.ZoneName]:
        """Return the zones of the active gateways."""
        return self.view().active_zones

    def readers(self) -> list[ids.HostId]:
        """
        Return who may read the source for this zone, in the order of duty.

        For all zones of the region where there are several: a reading crosses regions
        then, and what it brings costs less between two zones.
        """
        view = self.view()
        if self._readers is None:
            if self.state.links is None:
                self._readers = view.readers(self.state.config.zone)
            else:
                self._readers = view.region_readers(self.state.region)
        return self._readers

    def shares_reader(self, zone: ids.ZoneName) -> bool:
        """Tell whether who reads for this gateway's zone reads for that one too."""
        if self.state.links is None:
            return zone == self.state.config.zone
        return not self.state.is_remote(zone)

    def _look_at_members(self, least_per_zone: int) -> None:
        records = self._believed_records()
        ready = [r for r in records if r.status is messages.Status.READY]
        starting = [r for r in records if r.status is messages.Status.STARTING]
        candidates = [active_set.Candidate(r.host, r.zone, r.capacity) for r in ready]
        self._ranking = active_set.rank(candidates, least_per_zone)
        self._set_view(View(ready, starting, self._active(ready)))

    def _look_at_demand(self) -> None:
        """Choose the active gateways anew; mostly they are the same as before."""
        view = self._view
        active = self._active(view.ready)
        if {one.host for one in active} != view.active_zones.keys():
            self._set_view(View(view.ready, view.starting, active))

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
            sum(one.requests_per_s for one in demands),
            sum(one.bytes_per_s for one in demands),
        )
        active = self._ranking.active(self._regions.needed(demand))
        hosts = {one.host for one in active}
        records = [record for record in ready if record.host in hosts]
        self._regions.describe(records, len(ready), demand)
        return active

    def _believed_records(self) -> list[messages.MemberRecord]:
        """Return the records of the gateways believed to live, the own one last."""
        gossip = self.state.gossip
        records = [
            peer.record
            for peer in gossip.known_by_host.values()
            if not peer.missed and not peer.suspected
        ]
        records.append(gossip.local)
        return records
