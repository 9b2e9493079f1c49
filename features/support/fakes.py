"""
Fakes at the ports of an entry, in a ``world``: store, host list, upstreams,
peer link. Their state is shared by all entries; each can be told to misbehave.
"""

import asyncio
import dataclasses
import typing
from collections import abc

import msgspec

from features.support import world as worlds
from spindlenotch import (
    documents,
    gossip,
    headers,
    ids,
    metrics,
    peer_codec,
    ports,
    upstreams,
)

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
        sealer: peer_codec.Sealer,
        measured: metrics.Metrics,
        on_gossip: abc.Callable[[gossip.Message], None],
        on_frame: abc.Callable[[peer_codec.DocumentFrame], documents.Document],
        *,
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

    def tell(self, message: gossip.Message, targets: list[ids.Address]) -> None:
        """Send a gossip message; some may get lost."""
        data = self.sealer.seal(peer_codec.encode_gossip(message))
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

    async def ask(
        self, target: ids.Address, kind: documents.DocumentKind
    ) -> documents.Document | None:
        """Fetch a peer's document."""
        nothing = documents.Document(kind, 0, ids.Digest(""), b"")
        return await self._call(target, peer_codec.DocumentFrame(1, True, nothing))

    async def push(
        self, target: ids.Address, document: documents.Document
    ) -> documents.Document | None:
        """Offer a document."""
        return await self._call(target, peer_codec.DocumentFrame(1, False, document))

    async def _call(
        self, target: ids.Address, frame: peer_codec.DocumentFrame
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
        payload = self.sealer.open(data, peer_codec.MAX_DATAGRAM)
        assert isinstance(payload, bytes)
        message = peer_codec.decode_gossip(payload)
        assert isinstance(message, gossip.Message)
        self.on_gossip(message)

    def _reaches(self, target: str) -> bool:
        return self.network.reaches(self.address, target)


@dataclasses.dataclass(slots=True)
class Run:
    """One run in an upstream's ledger."""

    work: str
    attempt: int
    at: float
    upstream: str


class UpstreamState:
    """One upstream of a world, and how it behaves just now."""

    def __init__(self, name: str, slots: int) -> None:
        self.name = name
        self.slots = slots
        self.mode = "good"
        self.service_s = 0.01
        self.running = 0
        self.leaving_since: float | None = None
        self.probe_times: list[float] = []
        #: (when, entry's address) of requests that came while it was leaving.
        self.late_requests: list[tuple[float, str]] = []


class Upstreams:
    """All upstreams of a world and the ledger of what ran where."""

    def __init__(self, world: worlds.World) -> None:
        self.world = world
        self.upstream_by_address: dict[str, UpstreamState] = {}
        self.ledger: list[Run] = []
        self.forward_by_address: dict[
            str, abc.Callable[[ports.UpstreamRequest], abc.Awaitable[Answer]]
        ] = {}
        self.loop_by_address: dict[str, worlds.WorldLoop] = {}

    def run(self, one: UpstreamState, request: ports.UpstreamRequest) -> Run:
        """Enter a run into the ledger."""
        fields = dict(request.headers)
        attempt = int(fields.get(headers.ATTEMPT, "1"))
        run = Run(fields.get("X-Work", ""), attempt, self.world.now, one.name)
        self.ledger.append(run)
        return run


class Answer:
    """An answer from a fake upstream or from a peer."""

    def __init__(
        self,
        status: int,
        pairs: list[tuple[str, str]],
        body: bytes,
        *,
        breaks: bool = False,
    ) -> None:
        self.status = status
        self.headers = pairs
        self.length: int | None = len(body)
        fields = dict(pairs)
        self.not_run = fields.get(headers.OUTCOME) == "not-run" and status == 503
        self.draining = fields.get(headers.STATE) == "draining"
        self.retry_after_s: float | None = None
        self.report: upstreams.LoadReport | None = upstreams.LoadReport(1, 0)
        self._pieces: list[bytes | ports.UpstreamFault] = [body] if body else []
        if breaks:
            self._pieces = [body[:3], ports.UpstreamFault.CONNECTION_LOST]

    async def chunk(self) -> bytes | ports.UpstreamFault:
        """Return the next piece."""
        return self._pieces.pop(0) if self._pieces else b""

    def abandon(self) -> None:
        """Do nothing."""


class FakeUpstreamPort:
    """One entry's driver for upstreams, and for forwarding to peers."""

    def __init__(
        self, everyone: Upstreams, loop: worlds.WorldLoop, network: Network, own: str
    ) -> None:
        self.everyone = everyone
        self.loop = loop
        self.network = network
        self.own = own

    async def send(
        self, request: ports.UpstreamRequest
    ) -> ports.UpstreamAnswer | ports.UpstreamFault:
        """Send a request the way the upstream's mode says."""
        world = self.everyone.world
        if not request.may_send():
            return ports.UpstreamFault.TOO_LATE
        await asyncio.sleep(WAY_S if request.fresh else 0)
        if not request.may_send():
            return ports.UpstreamFault.TOO_LATE
        future, resolve = reply(world, self.loop)
        if request.address in self.everyone.forward_by_address:
            self._forward(request, resolve)
        else:
            one = self.everyone.upstream_by_address[request.address]
            if one.mode == "refuse":
                return ports.UpstreamFault.CONNECT_FAILED
            world.after(WAY_S, lambda: self._reach(one, request, resolve))
        result = await future
        if isinstance(result, Answer):
            shown = dict(result.headers).get(headers.REQUEST_ID)
            if shown != request.request_id:
                return ports.UpstreamFault.FOREIGN_ANSWER
        return typing.cast("Answer | ports.UpstreamFault", result)

    async def probe(
        self, address: ids.Address, timeout_s: float
    ) -> upstreams.LoadReport | ports.UpstreamFault:
        """Count the probe and answer it."""
        one = self.everyone.upstream_by_address[address]
        one.probe_times.append(self.everyone.world.now)
        if one.mode in ("freeze", "refuse", "lost"):
            await asyncio.sleep(timeout_s)
            return ports.UpstreamFault.CONNECTION_LOST
        await asyncio.sleep(0.006)
        if one.leaving_since is not None:
            return ports.UpstreamFault.DRAINING
        return upstreams.LoadReport(one.running, 0)

    async def close(self) -> None:
        """Do nothing."""

    def _forward(
        self,
        request: ports.UpstreamRequest,
        resolve: abc.Callable[[typing.Any, float], None],
    ) -> None:
        peer = request.address
        loop = self.everyone.loop_by_address[peer]
        if not self.network.reaches(self.own, peer):
            return
        serve = self.everyone.forward_by_address[peer]

        async def carry_out() -> None:
            resolve(await serve(request), WAY_S)

        world = self.everyone.world
        world.deliver(loop, WAY_S, lambda: _start(loop, carry_out()))

    def _reach(
        self,
        one: UpstreamState,
        request: ports.UpstreamRequest,
        resolve: abc.Callable[[typing.Any, float], None],
    ) -> None:
        world = self.everyone.world
        marks = [(headers.REQUEST_ID, request.request_id)]
        if one.leaving_since is not None:
            one.late_requests.append((world.now, self.own))
            marks.append((headers.STATE, "draining"))
        if one.mode == "shed" or one.leaving_since is not None:
            marks.append((headers.OUTCOME, "not-run"))
            resolve(Answer(503, marks, b""), WAY_S)
            return
        if one.mode == "lost":
            resolve(ports.UpstreamFault.CONNECTION_LOST, 0.1)
            return
        run = self.everyone.run(one, request)
        body = f"{one.name} ran {run.work}".encode()
        answer: Answer | ports.UpstreamFault = Answer(200, marks, body)
        if one.mode == "break":
            answer = ports.UpstreamFault.CONNECTION_LOST
        elif one.mode == "truncate":
            answer = Answer(200, marks, body, breaks=True)
        elif one.mode == "mix":
            wrong = [(headers.REQUEST_ID, "somebody-else")]
            answer = Answer(200, wrong, b"another caller's answer")
        delay = 1e9 if one.mode == "freeze" else one.service_s * world.rng.random() * 2
        resolve(answer, delay)


def _start(loop: worlds.WorldLoop, work: abc.Coroutine[None, None, None]) -> None:
    task = loop.create_task(work)
    loop.world_tasks = getattr(loop, "world_tasks", set())  # type: ignore[attr-defined]
    loop.world_tasks.add(task)  # type: ignore[attr-defined]
    task.add_done_callback(loop.world_tasks.discard)  # type: ignore[attr-defined]
