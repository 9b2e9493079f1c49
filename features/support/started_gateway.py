"""A gateway of its own that has just started, without ports, and peers it hears of."""

import msgspec

from spindlenotch import clock, ids
from spindlenotch.gateway import settings, state as states
from spindlenotch.gateway.cluster import fleet as fleets, membership
from spindlenotch.gateway.source import relay
from spindlenotch.peers import messages

ME = "127.0.0.1:9001"
SEED = "127.0.0.1:9002"
ZONE = "a"


def gateway(
    seeds: str, startup_s: float = 0.0
) -> tuple[states.GatewayState, relay.Relay]:
    """Return a gateway that has just started, and its relay."""
    given = {
        "host": "me",
        "zone": ZONE,
        "peer_listen": ME,
        "peers": seeds,
        "source": "http://127.0.0.1:1",
        "source_driver": "platform",
        "peer_keys": "0123456789abcdef",
        "seed": "1",
    }
    config = settings.read(given, {})
    assert isinstance(config, settings.GatewaySettings), config
    state = states.GatewayState(config, clock.ManualClock())
    fleet = fleets.Fleet(state)
    return state, relay.Relay(
        state, fleet, membership.Membership(state).link, startup_s
    )


def peer(state: states.GatewayState, name: str, status: messages.Status) -> None:
    """Let the gateway hear of a peer of its zone."""
    news = msgspec.structs.replace(
        state.gossip.local,
        host=ids.HostId(name),
        peer_address=ids.Address(SEED),
        status=status,
    )
    state.gossip.handle(messages.Message(news, 1), state.clock.now())


def heard(
    state: states.GatewayState, passing: relay.Relay, host: str, *, reads: bool
) -> None:
    """Let the gateway get a message of a peer that it knows."""
    record = state.gossip.known_by_host[ids.HostId(host)].record
    message = messages.Message(record, 1, reads_source=reads)
    handled = state.gossip.handle(message, state.clock.now())
    passing.message_received(message, handled)
