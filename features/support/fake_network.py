"""
The network of a ``virtual_world``: how replies arrive, and the entries' peer links.

The store and the host list are in ``fake_platform``, the upstreams in
``fake_upstreams``.
"""

import asyncio
import typing
from collections import abc

from features.support import virtual_world
from spindlenotch import ids, metrics
from spindlenotch.peers import capnp_codec, documents, messages, peer_seal, wire_format

#: How long a message is on its way, in seconds.
DELIVERY_S = 0.001

Value = typing.TypeVar("Value")


def reply(
    world: virtual_world.World, loop: virtual_world.WorldLoop
) -> tuple["asyncio.Future[Value]", abc.Callable[[Value, float], None]]:
    """Return a future, and what resolves it after a delay."""
    future: asyncio.Future[Value] = loop.create_future()

    def resolve(value: Value, delay: float = DELIVERY_S) -> None:
        def arrive() -> None:
            if not future.done():
                future.set_result(value)

        world.deliver(loop, delay, arrive)

    return future, resolve


class Network:
    """
    Who can talk to whom among entries, and their links by address.

    ``cut`` holds pairs of hosts that cannot reach each other.
    """

    def __init__(self, world: virtual_world.World) -> None:
        self.world = world
        self.link_by_address: dict[str, FakeLink] = {}
        self.cut: set[frozenset[str]] = set()
        self.lose_share = 0.0

    def reaches(self, one: str, other: str) -> bool:
        """Tell whether a message from ``one`` gets to ``other`` now."""
        return frozenset({one, other}) not in self.cut


class FakeLink:
    """
    Stands in for ``peer_link.PeerLink``: same face, messages through a world.

    Messages go through the real codec, so that it is tested along the way.
    """

    def __init__(
        self,
        sealer: peer_seal.Sealer,
        measured: metrics.Metrics,
        on_gossip: abc.Callable[[messages.Message], None],
        on_frame: abc.Callable[[messages.DocumentFrame], documents.Document],
        *,
        network: Network,
        loop: virtual_world.WorldLoop,
        address: str,
    ) -> None:
        self.sealer = sealer
        self.on_gossip = on_gossip
        self.on_frame = on_frame
        self.network = network
        self.loop = loop
        self.address = address

    async def start(self, address: ids.Address) -> ids.Address:
        """Be reachable."""
        self.network.link_by_address[self.address] = self
        return address

    async def stop(self) -> None:
        """Be gone."""
        self.network.link_by_address.pop(self.address, None)

    def send(self, message: messages.Message, targets: list[ids.Address]) -> None:
        """Send a gossip message; some may get lost."""
        data = self.sealer.seal(capnp_codec.CAPNP.encode_gossip(message))
        for target in targets:
            other = self.network.link_by_address.get(target)
            lost = self.network.world.rng.random() < self.network.lose_share
            if other is None or lost or not self._reaches(target):
                continue
            self.network.world.deliver(
                other.loop,
                DELIVERY_S,
                lambda o=other: o._heard(data),  # type: ignore[misc]
            )

    async def fetch(
        self, target: ids.Address, kind: documents.DocumentKind
    ) -> documents.Document | None:
        """Fetch a peer's document."""
        nothing = documents.Document(kind, 0, ids.Digest(""), b"")
        return await self._call(target, messages.DocumentFrame(1, True, nothing))

    async def push(
        self, target: ids.Address, document: documents.Document
    ) -> documents.Document | None:
        """Offer a document."""
        return await self._call(target, messages.DocumentFrame(1, False, document))

    async def _call(
        self, target: ids.Address, frame: messages.DocumentFrame
    ) -> documents.Document | None:
        world = self.network.world
        other = self.network.link_by_address.get(target)
        future, resolve = reply(world, self.loop)
        if other is not None and self._reaches(target):
            world.deliver(
                other.loop,
                DELIVERY_S,
                lambda: resolve(other.on_frame(frame), DELIVERY_S),
            )
        try:
            document = await asyncio.wait_for(future, 2.0)
        except TimeoutError:
            return None
        return document if document.version else None

    def _heard(self, data: bytes) -> None:
        payload = self.sealer.open(data, wire_format.MAX_DATAGRAM_BYTES)
        assert isinstance(payload, bytes)
        message = capnp_codec.CAPNP.decode_gossip(payload)
        assert isinstance(message, messages.Message)
        self.on_gossip(message)

    def _reaches(self, target: str) -> bool:
        return self.network.reaches(self.address, target)
