"""
Network distance of the peer at an address, for the metrics of peer traffic.

Looks the address up among the known peers and the gateways of other regions. Owns a map
from peer address to zone, which is rebuilt when the members change.
"""

from spindlenotch import ids
from spindlenotch.gateway import state
from spindlenotch.kernel import regions

#: Label of peers whose zone is unknown: those of the settings before they answer.
UNKNOWN = "unknown"


class PeerDistance:
    """Determines the distance of peers from this gateway."""

    def __init__(self, gateway_state: state.GatewayState) -> None:
        self.state = gateway_state
        self._revision = -1
        self._zone_by_address: dict[ids.Address, ids.ZoneName] = {}

    def to(self, address: ids.Address) -> str:
        """Return the distance label of a peer address, as used in metrics."""
        if self.state.gossip.members_revision != self._revision:
            self._rebuild()
        zone = self._zone_by_address.get(address)
        if zone is not None:
            return self.state.regions.distance(self.state.config.zone, zone).value
        links = self.state.links
        if links is not None and links.is_remote_address(address):
            return regions.Distance.REMOTE.value
        return UNKNOWN

    def _rebuild(self) -> None:
        self._revision = self.state.gossip.members_revision
        self._zone_by_address = {
            peer.record.peer_address: peer.record.zone
            for peer in self.state.gossip.known_by_host.values()
        }
