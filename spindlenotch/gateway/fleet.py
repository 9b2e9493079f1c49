"""
The gateways of the fleet as this one sees them, and what part each plays.

Reads what gossip holds (``membership`` keeps it up to date) and asks
``active_set`` and ``duties`` who is active, who is standby and who reads the
source. Owns nothing but the last answer, kept for a moment.
"""

from spindlenotch import ids
from spindlenotch.gateway import active_set, duties, lifecycle, state
from spindlenotch.kernel import ownership
from spindlenotch.peers import (
    messages,
    workload,
)

#: How long a choice of the active gateways stands. It is asked for 25 times a
#: second and grows with the fleet (commit 25a8df1). Chosen, not measured.
ACTIVE_KEPT_S = 0.05


class Fleet:
    """Answers who is where, from what gossip holds."""

    def __init__(self, gateway_state: state.GatewayState) -> None:
        self.state = gateway_state
        self._active_key: tuple[int, lifecycle.Phase, int] | None = None
        self._active_zones: dict[ids.HostId, ids.ZoneName] = {}

    def members(self) -> list[ownership.Member]:
        """Return the gateways that are believed ready, this one included."""
        return [
            ownership.Member(record.zone, record.host)
            for record in self._ready_records()
        ]

    def active_addresses(self) -> dict[ids.HostId, ids.Address]:
        """Return the addresses of the active gateways, for callers."""
        ready = {record.host: record.address for record in self._ready_records()}
        return {host: ready[host] for host in self.active_zones() if host in ready}

    def active_zones(self) -> dict[ids.HostId, ids.ZoneName]:
        """Return the zones of the active gateways."""
        gateway_state = self.state
        span = int(gateway_state.clock.now() / ACTIVE_KEPT_S)
        key = (span, gateway_state.phase, len(gateway_state.gossip.known_by_host))
        if key != self._active_key:
            self._active_key = key
            self._active_zones = self._choose_active()
        return self._active_zones

    def reader(self) -> ids.HostId | None:
        """
        Return the gateway that reads the source for this zone.

        A standby one; where none is ready yet, one that is starting, since a
        fleet that starts is not ready before somebody has read.
        """
        zone = self.state.config.zone
        hosts = self.standby_by_zone().get(zone)
        if hosts is None:
            starting = self._records_of(messages.Status.STARTING)
            hosts = [record.host for record in starting if record.zone == zone]
        return duties.reader(zone, hosts)

    def standby_by_zone(self) -> duties.HostsByZone:
        """Return the gateways of each zone that carry its duties."""
        return duties.standby_hosts(self.members(), self.active_zones())

    def _choose_active(self) -> dict[ids.HostId, ids.ZoneName]:
        records = self._ready_records()
        candidates = [
            active_set.Candidate(record.host, record.zone, record.capacity)
            for record in records
        ]
        demand = workload.Work(
            sum(record.demand.requests_per_s for record in records),
            sum(record.demand.bytes_per_s for record in records),
        )
        least = self.state.config.entries_per_zone
        chosen = active_set.choose(candidates, demand, least)
        return {candidate.host: candidate.zone for candidate in chosen}

    def _ready_records(self) -> list[messages.MemberRecord]:
        """Return the records of the gateways that are believed ready."""
        return self._records_of(messages.Status.READY)

    def _records_of(self, status: messages.Status) -> list[messages.MemberRecord]:
        """Return the records of the gateways believed in ``status``, the own last."""
        local = self.state.gossip
        records = [
            peer.record
            for peer in local.known_by_host.values()
            if peer.record.status is status and not peer.missed and not peer.suspected
        ]
        if local.local.status is status:
            records.append(local.local)
        return records
