"""
Which gateways may send requests to cold upstreams.

A cold upstream bears a bounded rate from all gateways together, those that are cut
off included. So only gateways that see more than half of the fleet share it: of any
partition at most one side does. Being on the safe side costs little, since upstreams
are cold for some seconds only.

Pure but for the fleet that it looks at. Relies on ``quorum``.
"""

from spindlenotch import ids
from spindlenotch.gateway import state
from spindlenotch.gateway.cluster import fleet, quorum


class ColdSenders:
    """Keeps each pool's senders to cold upstreams in step with the fleet."""

    def __init__(
        self, gateway_state: state.GatewayState, gateway_fleet: fleet.Fleet
    ) -> None:
        self.state = gateway_state
        self.fleet = gateway_fleet
        self.quorum = quorum.Quorum(gateway_state, gateway_fleet)

    def update(self) -> None:
        """Tell the pools who sends to cold upstreams now."""
        now = self.state.clock.now()
        senders = self._senders()
        for service in self.state.balancer_by_service.values():
            service.pool.set_cold_senders(senders, now)

    def _senders(self) -> tuple[ids.HostId, ...]:
        if not self.quorum.of_region():
            return ()
        return tuple(sorted(self.fleet.view().active_zones))
