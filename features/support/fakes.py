"""
Fakes at the ports of an entry, in a ``world``: store, host list, peer link.

Their state is shared by all entries; each can be told to misbehave. Upstreams
are in ``fake_upstreams``.
"""

import asyncio
import dataclasses
import typing
from collections import abc

import msgspec

from features.support import world as worlds
from spindlenotch import ids, metrics, ports
from spindlenotch.peers import capnp_codec, documents, messages, peer_seal, wire_format

STORE_TIMEOUT_S = 1.5
WAY_S = 0.001

Value = typing.TypeVar("Value")


def reply(
    world: worlds.World, loop: worlds.WorldLoop
) -> tuple["asyncio.Future[Value]", abc.Callable[[Value, float], None]]:
    """Return a future, and what resolves it after a delay."""
    future: asyncio.Future[Value] = loop.create_future()

    def resolve(value: Value, delay: float = WAY_S) -> None:
        def arrive() -> None:
            if not future.done():
                future.set_result(value)

        world.deliver(loop, delay, arrive)

    return future, resolve


@dataclasses.dataclass(slots=True)
class StoredValue:
    """A value and, for a leased one, when it vanishes."""

    revision: int
    data: bytes
    expires_at: float | None


class StoreState:
    """
    The one store of a world.

    ``down`` lets every call vanish; ``lose_answers`` lets that many writes
    take effect unanswered; ``late_writes`` lets that many take effect only
    seconds later, when the client has long given up.
    """

    def __init__(self, world: worlds.World) -> None:
        self.world = world
        self.value_by_key: dict[str, StoredValue] = {}
        self.revision = 0
        self.down = False
        self.lose_answers = 0
        self.late_writes = 0
        self.watchers: list[tuple[str, int, abc.Callable[[ports.Stored], None]]] = []

    def read(self, key: str) -> ports.Stored:
        """Return a value; revision zero where there is none."""
        value = self.value_by_key.get(key)
        if value is None:
            return ports.Stored(0, b"")
        if value.expires_at is not None and value.expires_at <= self.world.now:
            del self.value_by_key[key]
            return ports.Stored(0, b"")
        return ports.Stored(value.revision, value.data)

    def swap(
        self, key: str, data: bytes, expected: int, lease_s: float | None
    ) -> ports.Stored | ports.Conflict:
        """Compare and swap now."""
        found = self.read(key).revision
        if found != expected:
            return ports.Conflict(found)
        self.revision += 1
        expires_at = None if lease_s is None else self.world.now + lease_s
        self.value_by_key[key] = StoredValue(self.revision, data, expires_at)
        self._notify()
        return ports.Stored(self.revision, data)

    def _notify(self) -> None:
        left = []
        for key, after, resolve in self.watchers:
            stored = self.read(key)
            if stored.revision > after and not self.down:
                resolve(stored)
            else:
                left.append((key, after, resolve))
        self.watchers = left


class FakeStore:
    """One entry's, or operator's, driver for the store."""

    def __init__(self, state: StoreState, loop: worlds.WorldLoop) -> None:
        self.state = state
        self.loop = loop

    async def get(self, key: str) -> ports.Stored | ports.StoreFault:
        """Read a value."""
        return await self._call(lambda resolve: resolve(self.state.read(key), WAY_S))

    async def swap(
        self, key: str, value: bytes, expected: int, lease_s: float | None = None
    ) -> ports.Stored | ports.Conflict | ports.StoreFault:
        """Compare and swap, with the faults of the moment."""
        state = self.state

        def carry_out(resolve: abc.Callable[[typing.Any, float], None]) -> None:
            if state.late_writes > 0:
                state.late_writes -= 1
                state.world.after(
                    2.5, lambda: state.swap(key, value, expected, lease_s) and None
                )
                return
            result = state.swap(key, value, expected, lease_s)
            if isinstance(result, ports.Stored) and state.lose_answers > 0:
                state.lose_answers -= 1
                return
            resolve(result, WAY_S)

        return await self._call(carry_out)

    async def watch(
        self, key: str, after: int, wait_s: float
    ) -> ports.Stored | ports.StoreFault:
        """Wait for a newer revision."""
        state = self.state

        def carry_out(resolve: abc.Callable[[typing.Any, float], None]) -> None:
            stored = state.read(key)
            if stored.revision > after:
                resolve(stored, WAY_S)
            else:
                state.watchers.append((key, after, lambda s: resolve(s, WAY_S)))
                state.world.after(wait_s, lambda: resolve(state.read(key), WAY_S))

        return await self._call(carry_out, wait_s + 2.0)

    async def close(self) -> None:
        """Do nothing."""

    async def _call(
        self, carry_out: abc.Callable[..., None], timeout_s: float = STORE_TIMEOUT_S
    ) -> typing.Any:
        future, resolve = reply(self.state.world, self.loop)

        def reach() -> None:
            if not self.state.down:
                carry_out(resolve)

        self.state.world.after(WAY_S, reach)
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            return ports.StoreFault.UNAVAILABLE


class HostsState:
    """The one host list of a world; ``down`` lets every call fail."""

    def __init__(self) -> None:
        self.revision = 1
        self.record_by_id: dict[str, dict[str, typing.Any]] = {}
        self.down = False

    def put(self, **record: typing.Any) -> None:
        """Add or change a host."""
        self.revision += 1
        self.record_by_id[record["id"]] = record

    def listing(self) -> ports.HostListing:
        """Return the list."""
        hosts = list(self.record_by_id.values())
        table = {"revision": self.revision, "hosts": hosts}
        return ports.HostListing(self.revision, msgspec.json.encode(table))


class FakeHostList:
    """One entry's driver for the host list."""

    def __init__(self, state: HostsState) -> None:
        self.state = state

    async def fetch(self, known: int) -> ports.HostListing | ports.HostListFault | None:
        """Return the list if it is news."""
        await asyncio.sleep(WAY_S)
        if self.state.down:
            return ports.HostListFault.UNAVAILABLE
        listing = self.state.listing()
        return None if listing.revision == known else listing

    async def close(self) -> None:
        """Do nothing."""


class Network:
    """
    Who can talk to whom among entries, and their links by address.

    ``cut`` holds pairs of hosts that cannot reach each other.
    """

    def __init__(self, world: worlds.World) -> None:
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
        *,
        on_gossip: abc.Callable[[messages.Message], None],
        on_frame: abc.Callable[[messages.DocumentFrame], documents.Document],
        network: Network,
        loop: worlds.WorldLoop,
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
                WAY_S,
                lambda o=other: o._heard(data),  # type: ignore[misc]
            )

    async def fetch(
        self, target: ids.Address, kind: documents.DocumentKind
    ) -> documents.Document | None:
        """Fetch a peer's document."""
        nothing = documents.absent(kind)
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
                other.loop, WAY_S, lambda: resolve(other.on_frame(frame), WAY_S)
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
