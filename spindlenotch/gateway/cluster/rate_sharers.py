"""
Which gateways share the rates that upstreams take from all of them together.

That is what cold upstreams bear, and the limits that upstreams name. Only gateways
that see more than half of the fleet share them: of any partition at most one side
does. The others send nothing to cold upstreams, which are cold for some seconds only,
and a small part to those that name a limit.

Pure but for the fleet that it looks at. Relies on ``quorum``.
"""

from spindlenotch.gateway import state
from spindlenotch.gateway.cluster import fleet, quorum
from spindlenotch.kernel import ownership, shared_rate


class RateSharers:
    """Keeps in step with the fleet who shares rates in each pool."""

    def __init__(
        self, gateway_state: state.GatewayState, gateway_fleet: fleet.Fleet
    ) -> None:
        self.state = gateway_state
        self.fleet = gateway_fleet
        self.quorum = quorum.Quorum(gateway_state, gateway_fleet)

    def update(self) -> None:
        """Tell the pools who shares rates now."""
        now = self.state.clock.now()
        view = self.view()
        for service in self.state.balancer_by_service.values():
            service.pool.set_rate_view(view, now)

    def view(self) -> shared_rate.View:
        """Return who shares rates, as this gateway sees it."""
        members: tuple[ownership.Member, ...] = ()
        if self.quorum.of_region():
            active_zones = self.fleet.view().active_zones
            members = tuple(
                sorted(
                    ownership.Member(zone, host) for host, zone in active_zones.items()
                )
            )
        return shared_rate.View(members, self.state.region_size.largest)
