"""Properties of who reads the source, and of what gateways pass on."""

import asyncio

import msgspec

from features.steps import kernel
from spindlenotch import clock, ids
from spindlenotch.gateway import (
    fleet as fleets,
    membership,
    relay,
    settings,
    state as states,
)
from spindlenotch.peers import documents, messages

ME = "127.0.0.1:9001"
SEED = "127.0.0.1:9002"
ZONE = "a"


def gateway(seeds: str) -> tuple[states.GatewayState, relay.Relay]:
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
    return state, relay.Relay(state, fleet, membership.Membership(state).link)


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


@kernel.PROPERTIES.register("one that starts gives a peer time to spare it the reading")
def spared() -> None:
    state, passing = gateway(SEED)
    assert not passing.must_read()
    assert isinstance(state.clock, clock.ManualClock)
    state.clock.advance(relay.FIRST_PEER_WAIT_S + 0.01)
    assert passing.must_read()
    for seeds in (f"{ME},{SEED}", ""):
        _, alone = gateway(seeds)
        assert alone.must_read()


@kernel.PROPERTIES.register("a fleet that starts has one reader a zone")
def starting() -> None:
    state, passing = gateway(SEED)
    assert isinstance(state.clock, clock.ManualClock)
    state.clock.advance(relay.FIRST_PEER_WAIT_S + 0.01)
    for number in range(9):
        peer(state, f"p{number}", messages.Status.STARTING)
    readers = state.gossip.known_by_host.keys() | {state.config.host}
    order = passing.fleet.readers()
    assert set(order) == readers
    if not passing.is_reader():
        heard(state, passing, order[0], reads=True)
        assert not passing.must_read()
    peer(state, "ready", messages.Status.READY)
    assert passing.fleet.readers() == ["ready"]


@kernel.PROPERTIES.register("only who reads the source passes news on at once")
def eager() -> None:
    for reads in (True, False):
        state, passing = gateway(SEED)
        peer(state, "p", messages.Status.READY)
        told: list[ids.Address] = []
        passing.link.send = lambda message, targets, told=told: told.extend(  # type: ignore[method-assign,misc]
            targets
        )
        state.reads_source = reads
        news = documents.Document(
            documents.DocumentKind.HOSTS, 7, ids.Digest(""), b"[]"
        )

        async def offer(
            passing: relay.Relay = passing, news: documents.Document = news
        ) -> None:
            passing._offer(news)
            await asyncio.gather(*passing.tasks.running)

        asyncio.run(offer())
        assert (ids.Address(SEED) in told) is reads
