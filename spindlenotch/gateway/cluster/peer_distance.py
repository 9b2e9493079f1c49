"""
How far away the peer at an address is, for the count of bytes.

Looks the address up among the known peers and the gateways that other regions name.
Owns the zones of these addresses, worked out anew when the members change.
"""

from spindlenotch import ids
from spindlenotch.gateway import state
from spindlenotch.kernel import regions

#: Label of peers of which nothing is known yet: those of the settings at the start.
UNKNOWN = "unknown"


class PeerDistance:
    """Tells distances from one gateway."""

    def __init__(self, gateway_state: state.GatewayState) -> None:
        self.state = gateway_state
        self._revision = -1
        self._zone_by_address: dict[ids.Address, ids.ZoneName] = {}

    def to(self, address: ids.Address) -> str:
        """Return how far a peer address is, as the metrics name it."""
        if self.state.gossip.members_revision != self._revision:
            self._look_up()
        zone = self._zone_by_address.get(address)
        if zone is not None:
            return self.state.regions.distance(self.state.config.zone, zone).value
        links = self.state.links
        if links is not None and links.names_far(address):
            return regions.Distance.REMOTE.value
        return UNKNOWN

    def _look_up(self) -> None:
        self._revision = self.state.gossip.members_revision
        self._zone_by_address = {
            peer.record.peer_address: peer.record.zone
            for peer in self.state.gossip.known_by_host.values()
        }
