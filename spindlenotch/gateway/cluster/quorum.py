"""
Whether a gateway sees more than half of the fleet, so that no other side does.

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


class Quorum:
    """Remembers the size of the fleet; ``is_met`` looks at it."""

    def __init__(
        self, gateway_state: state.GatewayState, gateway_fleet: fleet.Fleet
    ) -> None:
        self.state = gateway_state
        self.fleet = gateway_fleet
        self._most_seen = 0
        self._seen_at = gateway_state.clock.now()

    def is_met(self, now: ids.Instant) -> bool:
        """Tell whether more than half of the gateways seen lately are in view."""
        view = self.fleet.view()
        seen = len(view.ready) + len(view.starting)
        if seen >= self._most_seen or now - self._seen_at > MEMORY_S:
            self._most_seen = seen
            self._seen_at = now
        is_alone = seen <= 1 and self._has_others()
        return not is_alone and seen > QUORUM_SHARE * self._most_seen

    def _has_others(self) -> bool:
        """Tell whether the settings name gateways beside this one."""
        config = self.state.config
        return any(peer != config.peer_listen for peer in config.peers)
