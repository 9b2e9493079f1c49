"""
Whether a gateway sees more than half of the others, so that no other side does.

Pure but for the fleet that it looks at; owns no state. Relies on ``fleet_size`` for
how many gateways were seen lately.
"""

from spindlenotch.gateway import state
from spindlenotch.gateway.cluster import fleet

#: Share of the gateways seen lately that must be in view, and more.
QUORUM_SHARE = 0.5


class Quorum:
    """Compares the gateways in view with those seen lately."""

    def __init__(
        self, gateway_state: state.GatewayState, gateway_fleet: fleet.Fleet
    ) -> None:
        self.state = gateway_state
        self.fleet = gateway_fleet

    def of_region(self) -> bool:
        """Tell whether more than half of the own region's gateways are in view."""
        self.fleet.update_size()
        size = self.state.region_size
        return not size.is_alone and size.seen > QUORUM_SHARE * size.largest

    def of_fleet(self) -> bool:
        """
        Tell whether more than half of the whole fleet's gateways are in view.

        In a fleet of several regions that is nobody: members of other regions are not
        in view.
        """
        self.fleet.update_size()
        size = self.state.region_size
        most = self.state.fleet_size.largest
        return not size.is_alone and size.seen > QUORUM_SHARE * most
