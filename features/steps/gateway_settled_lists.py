"""Properties of lists that gateways publish at one revision of the source."""

import asyncio
import itertools
import typing

import msgspec

from features.steps import kernel
from features.support import store_reading
from spindlenotch.gateway.source import lease_expiry, relay, sources
from spindlenotch.peers import documents

HOSTS = documents.DocumentKind.HOSTS
REVISION = 900
#: The upstreams that vanish after an outage, and those that stay.
GONE = ("u0", "u1")
LEFT = {"u2", "u3"}


def items(names: typing.Iterable[str]) -> list[typing.Any]:
    """Return what the store holds if it lists these upstreams."""
    return [store_reading.item(name, store_reading.entry()) for name in names]


def gateway(era: int | None) -> store_reading.Reading:
    """Return a gateway that knows all upstreams."""
    found = store_reading.Reading()
    found.store.revision, found.store.era = REVISION - 2, era
    found.read(*items(store_reading.NAMES))
    return found


def publish(reader: store_reading.Reading) -> documents.Document:
    """Publish what a gateway has read; return the list that it holds then."""

    async def publish_listing() -> None:
        listing = reader.state.listing
        reader.relay.publish(listing.revision, listing.era)

    asyncio.run(publish_listing())
    return reader.state.fence.held(HOSTS)


def receive(peer: store_reading.Reading, document: documents.Document) -> None:
    """Let a gateway receive a list."""

    async def receive_document() -> None:
        peer.relay._receive(document)

    asyncio.run(receive_document())


def read_after_outage(reader: store_reading.Reading) -> None:
    """Let a reader find half of the upstreams gone as the store is back."""
    reader.state.listing.note_outage_end(reader.clock.now())
    reader.store.revision = REVISION - 1
    reader.read(*items(sorted(LEFT)))


def read_sound(reader: store_reading.Reading) -> None:
    """Let another reader find the same without an outage."""
    reader.store.revision = REVISION - 1
    reader.read(*items(sorted(LEFT)))


# Guards against a gone upstream that got requests without end, as the reader that had
# kept it for a while was killed and the next one's list had the same version.
@kernel.PROPERTIES.register(
    "the next reader's list replaces one that retains upstreams"
)
def settled_replaces() -> None:
    for era, retained_first in itertools.product((None, 4), (True, False)):
        killed, successor, peer = gateway(era), gateway(era), gateway(era)
        read_after_outage(killed)
        read_sound(successor)
        retaining, settled = publish(killed), publish(successor)
        order = (retaining, settled) if retained_first else (settled, retaining)
        for document in order:
            receive(peer, document)
        assert peer.in_use() == LEFT, (era, retained_first)
        assert retaining.version // relay.EXPIRIES_PER_REVISION == REVISION
        assert settled.version // relay.EXPIRIES_PER_REVISION == REVISION


# Guards against peers that kept such an upstream until some reader told them.
@kernel.PROPERTIES.register("peers end the grace of retained upstreams by themselves")
def grace_of_peers() -> None:
    reader, peer = gateway(None), gateway(None)
    read_after_outage(reader)
    reader.clock.advance(1.0)
    receive(peer, publish(reader))
    assert peer.in_use() == LEFT | set(GONE)
    for advance_s, expected in ((1.0, LEFT | set(GONE)), (0.3, LEFT)):
        peer.clock.advance(advance_s)
        peer.state.tick()
        assert peer.in_use() == expected


@kernel.PROPERTIES.register("a reader that starts after an outage ends no grace early")
def grace_of_new_reader() -> None:
    reader, starting = gateway(None), gateway(None)
    read_after_outage(reader)
    receive(starting, publish(reader))
    # It reads the store for the first time and has noticed no outage.
    read_sound(starting)
    assert starting.in_use() == LEFT | set(GONE)
    held = publish(starting)
    assert held.version % relay.EXPIRIES_PER_REVISION < relay.SETTLED_OFFSET
    starting.clock.advance(lease_expiry.GRACE_S + 0.01)
    assert starting.state.tick()
    assert starting.in_use() == LEFT


@kernel.PROPERTIES.register("the list after the grace is settled and of its revision")
def expiry_settles() -> None:
    for era in (None, 4):
        reader, peer = gateway(era), gateway(era)
        read_after_outage(reader)
        receive(peer, publish(reader))
        reader.clock.advance(lease_expiry.GRACE_S + 0.01)
        assert reader.state.tick()

        async def expire(relaying: relay.Relay = reader.relay) -> None:
            relaying.publish_expiry()

        asyncio.run(expire())
        held = reader.state.fence.held(HOSTS)
        position = held.version if held.position is None else held.position.version
        settled = REVISION * relay.EXPIRIES_PER_REVISION + relay.SETTLED_OFFSET
        assert position == settled
        receive(peer, held)
        assert peer.in_use() == LEFT
        assert peer.state.listing.revision == REVISION


# Guards against an upstream in a list made between the end of its grace and the tick
# that drops it, which peers took for one that the source lists.
@kernel.PROPERTIES.register("a list leaves out upstreams whose grace is over")
def grace_over() -> None:
    reader, peer = gateway(None), gateway(None)
    read_after_outage(reader)
    reader.clock.advance(lease_expiry.GRACE_S + 0.01)
    receive(peer, publish(reader))
    assert peer.in_use() == LEFT


@kernel.PROPERTIES.register("gateways of earlier releases read lists with grace")
def read_by_earlier() -> None:
    reader = gateway(None)
    read_after_outage(reader)
    body = publish(reader).body
    listed = msgspec.json.decode(body)
    retained = [entry for entry in listed if "grace_s" in entry]
    assert {entry["id"] for entry in retained} == set(GONE)
    # Earlier releases ignore fields that they don't know.
    decoded = msgspec.json.decode(body, type=tuple[sources.ListedUpstream, ...])
    assert len(decoded) == len(store_reading.NAMES)
