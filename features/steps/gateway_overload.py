"""Properties of gateways that lack processor time."""

import asyncio
import math
import os
import pathlib
import re
import shutil
import socket
import subprocess
import sys
import tempfile
import tomllib
import typing

import uvloop

from features.steps import kernel
from features.support import free_ports, processes
from spindlenotch import ids
from spindlenotch.drivers import listener
from spindlenotch.gateway.cluster import load_exchange
from spindlenotch.gateway.serving import gated_connection
from spindlenotch.kernel import concurrency_limit

HOST = "127.0.0.1"
WAITING = 50
LONG_S = concurrency_limit.MAX_LONG_ITERATION_S
SHORT_S = 0.001
REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
HEAD = b"POST /push/1 HTTP/1.1\r\nHost: any\r\n"


@kernel.PROPERTIES.register("all waiting connections are accepted in one iteration")
def accepts_all() -> None:
    uvloop.run(_accept_all())


async def _accept_all() -> None:
    accepted: list[socket.socket] = []
    (port,) = free_ports.find(1)

    def refuse(connection: socket.socket) -> None:
        accepted.append(connection)
        connection.close()

    listening = listener.create(refuse, ids.Address(f"{HOST}:{port}"), 2 * WAITING)
    callers = [socket.create_connection((HOST, port)) for _ in range(WAITING)]
    # The first turn may end before the loop looks at its sockets.
    for _ in range(3):
        await asyncio.sleep(0)
    assert len(accepted) == WAITING, len(accepted)
    listening.close()
    for caller in callers:
        caller.close()


@kernel.PROPERTIES.register("the limit falls while iterations are long, then is lifted")
def limit_falls() -> None:
    limit = concurrency_limit.ConcurrencyLimit()
    now = kernel.NOW
    for _ in range(concurrency_limit.LONG_ITERATIONS):
        assert limit.admits(1_000_000)
        now = ids.later(now, LONG_S)
        limit.add_iteration(LONG_S, 100, now)
    assert limit.is_limited and not limit.admits(100) and limit.admits(60)
    for _ in range(100):
        now = ids.later(now, LONG_S)
        limit.add_iteration(LONG_S, 60, now)
    assert limit.limit == concurrency_limit.MIN_LIMIT and limit.admits(1)
    before = limit.limit
    now = ids.later(now, SHORT_S)
    limit.add_iteration(SHORT_S, 2, now)
    assert before < limit.limit < math.inf
    now = ids.later(now, concurrency_limit.RELEASE_S)
    limit.add_iteration(SHORT_S, 2, now)
    assert not limit.is_limited and limit.admits(1_000_000)


@kernel.PROPERTIES.register("slow upstreams and standstills do not lower the limit")
def limit_stays() -> None:
    limit = concurrency_limit.ConcurrencyLimit()
    now = kernel.NOW
    for number in range(1_000):
        stands_still = number % 10 == 0
        took_s = 20 * LONG_S if stands_still else SHORT_S
        now = ids.later(now, took_s)
        limit.add_iteration(took_s, number, now)
        assert not limit.is_limited


@kernel.PROPERTIES.register("short timeouts allow only short iterations")
def limit_follows_timeouts() -> None:
    limit = concurrency_limit.ConcurrencyLimit()
    for timeout_s in (0.1, 60.0):
        for _ in range(200):
            limit.add_timeout(timeout_s)
        long_s = limit.long_iteration_s
        assert long_s <= max(
            concurrency_limit.MIN_LONG_ITERATION_S,
            concurrency_limit.LONG_ITERATION_SHARE * timeout_s * 1.01,
        )
    assert long_s == concurrency_limit.MAX_LONG_ITERATION_S


@kernel.PROPERTIES.register("rounds of load reports take a bounded share of the time")
def rounds_are_bounded() -> None:
    assert load_exchange.send_period_s(0.0001) == load_exchange.SEND_PERIOD_S
    assert math.isclose(load_exchange.send_period_s(0.01), 0.1)
    assert load_exchange.send_period_s(5.0) == load_exchange.MAX_SEND_PERIOD_S


class Gate:
    """Refuses or admits all requests."""

    def __init__(self, *, admits: bool) -> None:
        self.admits = admits

    def refusal(self, head: bytes) -> bytes | None:
        """Return the response that refuses a request."""
        return None if self.admits else REFUSAL


class Taken(asyncio.Protocol):
    """Keeps what it gets of a connection that was handed over."""

    def __init__(self) -> None:
        self.transport: asyncio.BaseTransport | None = None
        self.received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Keep what arrives."""
        self.received += data


@kernel.PROPERTIES.register("who is refused while it sends its body gets the response")
def refused_before_body() -> None:
    uvloop.run(_refuse_before_body())


async def _refuse_before_body() -> None:
    body = bytes(1_000_000)
    reader, writer, taken = await _connect(Gate(admits=False))
    writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % len(body))
    await asyncio.sleep(0.05)
    writer.write(body)
    await writer.drain()
    assert await reader.read() == REFUSAL
    assert not taken.received
    writer.close()


@kernel.PROPERTIES.register("an admitted request is handed over as it was received")
def admitted_as_received() -> None:
    uvloop.run(_admit())


async def _admit() -> None:
    request = HEAD + b"Content-Length: 2\r\n\r\nab"
    _, writer, taken = await _connect(Gate(admits=True))
    for byte in request:
        writer.write(bytes([byte]))
        await writer.drain()
    await asyncio.sleep(0.05)
    assert taken.transport is not None and taken.received == request
    writer.close()


async def _connect(
    gate: Gate,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, Taken]:
    taken = Taken()
    (port,) = free_ports.find(1)

    def create(connection: typing.Any) -> asyncio.BaseProtocol:
        return gated_connection.GatedConnection(gate, lambda: taken)

    listener.create(create, ids.Address(f"{HOST}:{port}"), WAITING)
    reader, writer = await asyncio.open_connection(HOST, port)
    return reader, writer, taken


@kernel.PROPERTIES.register("a copy of the built tree starts without compiling it")
def copy_is_compiled() -> None:
    deploy = tomllib.loads((processes.ROOT / "deploy/system.toml").read_text())
    (options,) = re.findall(r"python3 (-OO -m compileall [^|;]*)", deploy["build"])
    names = ("target/deps", "spindlenotch", "platform")
    compiles = [one for one in options.split() if one not in names]
    with tempfile.TemporaryDirectory() as folder:
        tree = pathlib.Path(folder)
        shutil.copytree(
            processes.ROOT / "spindlenotch/kernel",
            tree / "copied",
            ignore=shutil.ignore_patterns("__pycache__"),
        )
        subprocess.run([sys.executable, *compiles, "copied"], cwd=tree, check=True)
        for path in tree.glob("copied/*.py"):
            # As if copied or checked out later than it was built.
            os.utime(path)
        loaded = subprocess.run(
            [sys.executable, "-OO", "-v", "-c", "import copied.shared_rate"],
            env={**os.environ, "PYTHONPATH": f"{tree}:{processes.ROOT}"},
            capture_output=True,
            text=True,
            check=True,
        )
    compiled = re.findall(rf"code object from '?{folder}\S*\.py\b", loaded.stderr)
    assert not compiled, compiled
