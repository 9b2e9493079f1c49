"""
Majority quorum: whether more than half of the gateways are in view.

At most one side of a network partition has a quorum, as long as ``fleet_size`` retains
the number of gateways before it. Owns no state; depends on the fleet's view and on
``fleet_size``.
"""

from spindlenotch.gateway import state
from spindlenotch.gateway.cluster import fleet

#: Share of the recent number of gateways that those in view must exceed.
QUORUM_SHARE = 0.5


class Quorum:
    """Compares the number of gateways in view with the recent maximum."""

    def __init__(
        self, gateway_state: state.GatewayState, gateway_fleet: fleet.Fleet
    ) -> None:
        self.state = gateway_state
        self.fleet = gateway_fleet

    def of_region(self) -> bool:
        """Tell whether more than half of this region's gateways are in view."""
        self.fleet.update_size()
        size = self.state.region_size
        return not size.is_alone and size.seen > QUORUM_SHARE * size.largest

    def of_fleet(self) -> bool:
        """
        Tell whether more than half of the whole fleet's gateways are in view.

        Always false in a fleet of several regions, even where most gateways are in
        one of them, because members of other regions are not in view.
        """
        return self.state.links is None and self.of_region()
