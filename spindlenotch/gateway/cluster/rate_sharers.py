"""
Selection of the gateways that share the rate limits of upstreams.

These limits hold for the sum over all gateways: the rate of cold upstreams, and limits
that upstreams name. Only gateways with a quorum share them, so that in any partition at
most one side does. The others send nothing to cold upstreams, which are cold for some
seconds only, and a small share to those that name a limit.

Owns no state but its ``quorum``; depends on the fleet's view.
"""

from spindlenotch.gateway import state
from spindlenotch.gateway.cluster import fleet, quorum
from spindlenotch.kernel import ownership, shared_rate


class RateSharers:
    """Updates the gateways that share rates in each pool."""

    def __init__(
        self, gateway_state: state.GatewayState, gateway_fleet: fleet.Fleet
    ) -> None:
        self.state = gateway_state
        self.fleet = gateway_fleet
        self.quorum = quorum.Quorum(gateway_state, gateway_fleet)

    def update(self) -> None:
        """Pass the gateways that share rates to the pools."""
        now = self.state.clock.now()
        view = self.view()
        for service in self.state.balancer_by_service.values():
            service.pool.set_rate_view(view, now)

    def view(self) -> shared_rate.View:
        """Return the gateways that share rates, as this gateway sees them."""
        members: tuple[ownership.Member, ...] = ()
        if self.quorum.of_region():
            active_zones = self.fleet.view().active_zones
            members = tuple(
                sorted(
                    ownership.Member(zone, host) for host, zone in active_zones.items()
                )
            )
        return shared_rate.View(members, self.state.region_size.largest)
