"""
The gateways of the fleet as this one sees them, and which callers are sent to.

Members find each other by gossip (``spindlenotch.peers.gossip``) over UDP. Callers
are sent to a few gateways in each zone, the same for equal views: few
gateways see most of what an upstream does, and the others stand by.
"""

from spindlenotch import ids
from spindlenotch.gateway import duties, entry_choice, state as states
from spindlenotch.kernel import ownership
from spindlenotch.peers import gossip, workload

#: The choice of entries is asked for many times a second and grows with the
#: fleet; it stands for this long.
ENTRIES_KEPT_S = 0.05


class Fleet:
    """Answers who is where, from what gossip holds."""

    def __init__(self, state: states.GatewayState) -> None:
        self.state = state
        self._entries_key: tuple[int, states.Phase, int] | None = None
        self._entry_zones: dict[ids.HostId, ids.ZoneName] = {}

    def members(self) -> list[ownership.Member]:
        """Return the gateways that are believed to serve, this one included."""
        return [ownership.Member(one.zone, one.host) for one in self._ready_records()]

    def entries(self) -> dict[ids.HostId, ids.Address]:
        """Return the gateways that callers are sent to."""
        address_by_host = {one.host: one.address for one in self._ready_records()}
        return {
            host: address_by_host[host]
            for host in self.active_zones()
            if host in address_by_host
        }

    def active_zones(self) -> dict[ids.HostId, ids.ZoneName]:
        """Return the zones of the gateways that callers are sent to."""
        state = self.state
        span = int(state.clock.now() / ENTRIES_KEPT_S)
        key = (span, state.phase, len(state.gossip.known_by_host))
        if key != self._entries_key:
            self._entries_key = key
            self._entry_zones = self._choose_entries()
        return self._entry_zones

    def _choose_entries(self) -> dict[ids.HostId, ids.ZoneName]:
        news = self._ready_records()
        candidates = [
            entry_choice.Candidate(one.host, one.zone, one.capacity) for one in news
        ]
        demand = workload.Work(
            sum(one.demand.requests_per_s for one in news),
            sum(one.demand.bytes_per_s for one in news),
        )
        least = self.state.config.entries_per_zone
        chosen = entry_choice.choose(candidates, demand, least)
        return {one.host: one.zone for one in chosen}

    def reader(self) -> ids.HostId | None:
        """
        Return the gateway that reads the source for this zone.

        A standby one; where none is ready yet, one that is starting, since a
        fleet that starts is not ready before somebody has read.
        """
        zone = self.state.config.zone
        hosts = self.standby_by_zone().get(zone)
        if hosts is None:
            starting = self._records_of(gossip.Status.STARTING)
            hosts = [record.host for record in starting if record.zone == zone]
        return duties.reader(zone, hosts)

    def standby_by_zone(self) -> duties.HostsByZone:
        """Return the gateways of each zone that carry its duties."""
        return duties.standby_hosts(self.members(), self.active_zones())

    def _ready_records(self) -> list[gossip.MemberRecord]:
        """Return the news of the gateways that are believed to serve."""
        return self._records_of(gossip.Status.READY)

    def _records_of(self, status: gossip.Status) -> list[gossip.MemberRecord]:
        """Return the news of the gateways that are believed to be in ``status``."""
        state = self.state
        found = [
            known.record
            for known in state.gossip.known_by_host.values()
            if known.record.status is status
            and not known.missed
            and not known.suspected
        ]
        return (
            [*found, state.gossip.local]
            if state.gossip.local.status is status
            else found
        )
