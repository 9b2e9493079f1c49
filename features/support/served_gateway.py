"""
A gateway's callers' port in this process, before upstreams that follow a script.

Runs the product's own ingress, data path and balancer; the upstream port is a
fake, and no other process takes part.
"""

import asyncio
import dataclasses
import typing
from collections import abc

import aiohttp
import msgspec

from features.support import free_ports, recorded_gateway
from spindlenotch import clock, ids, ports
from spindlenotch.forwarding import data_path
from spindlenotch.gateway import dialect, gateway
from spindlenotch.gateway.serving import (
    handover,
    ingress,
    job_factory,
    request_processing,
)
from spindlenotch.gateway.source import routing, sources
from spindlenotch.kernel import backpressure, upstreams

#: Bytes of an answer that is too long to be read whole.
LONG_ANSWER_BYTES = 200_000
#: Seconds for which a test waits for what should come at once.
PATIENCE_S = 5.0
#: Retries of the whole fleet; enough that the budget never forbids one here.
EXTRA_RESERVE = 1000
FIRST_STATUS_LINE = b"HTTP/1.1 200"
ANY_STATUS_LINE = b"HTTP/1.1 "
ROUTE = routing.Route(
    name=routing.RouteName("r"),
    host="h",
    prefix="/",
    kind=routing.RequestKind.SAFE,
    timeout_s=None,
    target_s=None,
    rank=1,
    most_tries=2,
    parts=(routing.WeightedService(ids.ServiceName("s"), 1.0),),
)


class ScriptedAnswer:
    """
    An answer with these pieces, then its end.

    One that ``hangs`` never ends: no further piece comes.
    """

    def __init__(
        self,
        status: int,
        pieces: abc.Iterable[bytes | ports.UpstreamFault],
        *,
        length: int | None = None,
        hangs: bool = False,
    ) -> None:
        self.status = status
        self.headers: list[tuple[str, str]] = []
        self.length = length
        self.not_run = False
        self.draining = False
        self.retry_after_s: float | None = None
        self.signals = backpressure.Signals()
        self.report: upstreams.LoadReport | None = None
        self._pieces = list(pieces)
        self._hangs = hangs

    async def chunk(self) -> bytes | ports.UpstreamFault:
        """Return the next piece."""
        if self._pieces:
            return self._pieces.pop(0)
        if self._hangs:
            await asyncio.Event().wait()
        return b""

    def abandon(self) -> None:
        """Do nothing."""


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """A try as an upstream got it."""

    body_bytes: int
    headers: list[tuple[str, str]]


class ScriptedPort:
    """
    Answers every try alike, after it has read the request's body.

    A try whose target has a gate is answered when that is set.
    """

    def __init__(self, answer: abc.Callable[[], ScriptedAnswer]) -> None:
        self.answer = answer
        self.sent: list[Sent] = []
        self.targets: list[str] = []
        self.gate_by_target: dict[str, asyncio.Event] = {}

    async def send(
        self, request: ports.UpstreamRequest
    ) -> ports.UpstreamAnswer | ports.UpstreamFault:
        """Read the body as far as it is there, and answer."""
        size = 0
        if isinstance(request.body, bytes):
            size = len(request.body)
        elif request.body is not None:
            async for piece in request.body:
                size += len(piece)
        self.sent.append(Sent(size, request.headers))
        self.targets.append(request.target)
        gate = self.gate_by_target.get(request.target)
        if gate is not None:
            await gate.wait()
        return self.answer()

    async def probe(
        self, address: ids.Address, timeout_s: float, path: str | None = None
    ) -> upstreams.LoadReport | ports.UpstreamFault:
        """Be never asked."""
        raise NotImplementedError

    async def liveness(self, address: ids.Address, timeout_s: float) -> ports.Liveness:
        """Answer: the script breaks connections, and ends no upstream."""
        return ports.Liveness.ALIVE

    def close_idle(self, address: ids.Address) -> None:
        """Keep none."""

    async def close(self) -> None:
        """Do nothing."""


class NoChecks:
    """Links to upstreams that are never lost."""

    async def is_isolated_since(self, since: ids.Instant) -> bool:
        """Return that this gateway reaches its upstreams."""
        return False


class NoPeers:
    """A fleet of one gateway."""

    def handover_addresses(self) -> list[ids.Address]:
        """Return none."""
        return []

    def other_addresses(self) -> list[ids.Address]:
        """Return none."""
        return []


class ServedGateway:
    """
    One gateway with a route without time limits, and two upstreams.

    One that does not ``know`` them yet has just started.
    """

    def __init__(
        self, answer: abc.Callable[[], ScriptedAnswer], *, knows: bool = True
    ) -> None:
        self.port = ScriptedPort(answer)
        (number,) = free_ports.find(1)
        self.address = ids.Address(f"{free_ports.LOOPBACK}:{number}")
        state, _ = recorded_gateway.gateway()
        state.config = msgspec.structs.replace(
            state.config, listen=self.address, extra_reserve=EXTRA_RESERVE
        )
        self.state = state
        if knows:
            self.learn()
        native = dialect.DIALECTS.get("native")()
        path = data_path.DataPath(state, self.port, job_factory.labels(native))
        handing_over = handover.Handover(
            state, native, self.port, NoChecks(), NoPeers()
        )
        processor = request_processing.RequestProcessor(
            state, path, native, handing_over
        )
        self.ingress = ingress.Ingress(state, processor)

    def use_clock(self, host_clock: clock.Clock) -> None:
        """Let the gateway reckon by another clock of the host."""
        self.state.clock = host_clock
        self.state.deadlines.clock = host_clock

    async def tick(self) -> None:
        """Do what a running gateway does a few times a second."""
        while True:
            self.state.deadlines.check()
            await asyncio.sleep(gateway.TICK_S)

    def learn(self) -> None:
        """Let the gateway know its route and upstreams."""
        self.state.apply_snapshot(snapshot(self.state.config.zone))

    async def __aenter__(self) -> typing.Self:
        await self.ingress.start()
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.ingress.stop(0.0)

    async def request(
        self, headers: dict[str, str] | None = None, body: bytes | None = None
    ) -> tuple[int, bytes]:
        """Send a request as a caller; return the answer's status and body."""
        limit = aiohttp.ClientTimeout(total=PATIENCE_S)
        async with (
            aiohttp.ClientSession(timeout=limit) as session,
            session.request(
                "GET",
                f"http://{self.address}/",
                headers={"Host": ROUTE.host, **(headers or {})},
                data=body,
            ) as response,
        ):
            return response.status, await response.read()

    async def raw(self, headers: dict[str, str]) -> tuple[bytes, bool]:
        """
        Send a request; return all that comes, and whether the gateway closed.

        Reads until the connection ends, a second response begins, or nothing
        has come for ``PATIENCE_S`` seconds.
        """
        reader, writer = await self.connect()
        lines = [
            "GET / HTTP/1.1",
            f"Host: {ROUTE.host}",
            *(f"{name}: {value}" for name, value in headers.items()),
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        try:
            return await _read_all(reader)
        finally:
            writer.close()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a caller's connection."""
        host, port = self.address.split(":")
        return await asyncio.open_connection(host, int(port))


async def _read_all(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    data = b""
    while data.count(ANY_STATUS_LINE) < 2:
        try:
            async with asyncio.timeout(PATIENCE_S):
                piece = await reader.read(65536)
        except TimeoutError:
            return data, False
        except ConnectionError:
            return data, True
        if not piece:
            return data, True
        data += piece
    return data, False


def snapshot(zone: ids.ZoneName, upstream_count: int = 2) -> sources.Snapshot:
    """Return a configuration with one route, and its service's upstreams."""
    (part,) = ROUTE.parts
    service = routing.ServiceSpec(part.service, health_path="/health", connections=8)
    configuration = routing.Configuration(
        version=1,
        routes=(ROUTE,),
        service_by_name={part.service: service},
        limits=routing.Limits(),
    )
    listed = [
        sources.ListedUpstream(
            id=ids.UpstreamId(f"up-{number}"),
            service=part.service,
            address=ids.Address(f"127.0.0.{number}:6000"),
            zone=zone,
            slots=4,
            state=sources.UpstreamState.READY,
            cold_s=0.0,
        )
        for number in range(1, upstream_count + 1)
    ]
    return sources.Snapshot(1, configuration, {one.id: one for one in listed})
