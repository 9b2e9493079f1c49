"""
Which gateways may send requests to cold upstreams.

A cold upstream bears a bounded rate from all gateways together, those that are cut
off included. So only gateways that see more than half of the fleet share it: of any
partition at most one side does. Being on the safe side costs little, since upstreams
are cold for some seconds only.

Pure but for the fleet that it looks at. Owns how many gateways were seen lately.
"""

from spindlenotch import ids
from spindlenotch.gateway import state
from spindlenotch.gateway.cluster import fleet

#: Seconds for which the largest number of gateways seen counts: longer than hosts are
#: cut off, far longer than upstreams are cold. Chosen, not measured.
MEMORY_S = 60.0
#: Share of the gateways seen lately that must be in view, and more.
QUORUM_SHARE = 0.5


class ColdSenders:
    """Keeps each pool's senders to cold upstreams in step with the fleet."""

    def __init__(
        self, gateway_state: state.GatewayState, gateway_fleet: fleet.Fleet
    ) -> None:
        self.state = gateway_state
        self.fleet = gateway_fleet
        self._most_seen = 0
        self._seen_at = gateway_state.clock.now()

    def update(self) -> None:
        """Tell the pools who sends to cold upstreams now."""
        now = self.state.clock.now()
        senders = self._senders(now)
        for service in self.state.balancer_by_service.values():
            service.pool.set_cold_senders(senders, now)

    def _senders(self, now: ids.Instant) -> tuple[ids.HostId, ...]:
        view = self.fleet.view()
        seen = len(view.ready) + len(view.starting)
        if seen >= self._most_seen or now - self._seen_at > MEMORY_S:
            self._most_seen = seen
            self._seen_at = now
        is_alone = seen <= 1 and self._has_others()
        if is_alone or seen <= QUORUM_SHARE * self._most_seen:
            return ()
        return tuple(sorted(view.active_zones))

    def _has_others(self) -> bool:
        """Tell whether the settings name gateways beside this one."""
        config = self.state.config
        return any(peer != config.peer_listen for peer in config.peers)
