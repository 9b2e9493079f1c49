"""Properties of responses of peers that are broken, or never end."""

import asyncio
import contextlib
import os
import pathlib
import time
from collections import abc
from unittest import mock

from features.steps import kernel
from features.support import scripted_peer, store_reading
from spindlenotch import ids, ports
from spindlenotch.drivers import (
    hostlist_http,
    response_handler,
    store_http,
    upstream_http,
)
from spindlenotch.gateway.source import sources
from spindlenotch_platform import records, store_client

#: Interim responses in one block, and the seconds between two blocks.
BLOCK = 2000
BLOCK_EVERY_S = 0.01
#: Time within which a request to such a peer must have failed, and the longest time for
#: which others may wait meanwhile, in seconds.
FAILS_WITHIN_S = 1.0
LONGEST_PAUSE_S = 0.25
INTERIM = (
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n",
)
HEAD = (
    "HTTP/1.1 200 OK\r\n"
    f"X-Spindlenotch-Request-Id: {scripted_peer.REQUEST_ID}\r\n"
    f"X-Spindlenotch-Server-Stamp: {scripted_peer.STAMP}\r\n"
)
#: Complete responses, by framing.
RESPONSES = (
    f"{HEAD}Content-Length: 5\r\n\r\nhello".encode(),
    f"{HEAD}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n".encode(),
    b"HTTP/1.1 100 Continue\r\n\r\n" + f"{HEAD}Content-Length: 5\r\n\r\nhello".encode(),
)

#: Bytes in one write of an endless response, and seconds for which one is read.
BLOCK_BYTES, ENDLESS_S = 65536, 0.3
#: Memory that the process may take for one, in bytes.
MAX_KEPT_BYTES = 32 * 1024 * 1024
#: The beginnings of endless responses, and the bytes that are repeated after them.
ENDLESS = (
    ("", b"x"),
    ("", b"\r\n"),
    ("HTTP/1.1 200 ", b"x"),
    ("HTTP/1.1 100 ", b"x"),
    ("HTTP/1.1 100 Continue\r\n", b"A: b\r\n"),
    (HEAD, b"x"),
    (HEAD, b"A: b\r\n"),
    (f"{HEAD}A: ", b"x"),
    (f"{HEAD}Transfer-Encoding: chunked\r\n\r\n", b"0"),
    (f"{HEAD}Transfer-Encoding: chunked\r\n\r\n5;", b"x"),
    (f"{HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\n", b"A: b\r\n"),
    (f"{HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\nA: ", b"x"),
)


def endless(interim: bytes) -> scripted_peer.Writing:
    """Return how a peer sends interim responses until its connection is closed."""

    async def write(writer: asyncio.StreamWriter) -> None:
        while not writer.is_closing():
            writer.write(interim * BLOCK)
            await writer.drain()
            await asyncio.sleep(BLOCK_EVERY_S)

    return write


def endless_after(beginning: bytes, repeated: bytes = b"x") -> scripted_peer.Writing:
    """Return how a peer repeats some bytes after others until it is closed."""

    async def write(writer: asyncio.StreamWriter) -> None:
        writer.write(beginning)
        while not writer.is_closing():
            writer.write(repeated * (BLOCK_BYTES // len(repeated)))
            await writer.drain()

    return write


async def longest_pause_s(work: abc.Awaitable[object]) -> tuple[object, float]:
    """Return a result and the longest pause of the loop until it was there."""
    task = asyncio.ensure_future(work)
    longest_s = 0.0
    started_at = time.monotonic()
    while not task.done():
        before = time.monotonic()
        await asyncio.sleep(0.005)
        longest_s = max(longest_s, time.monotonic() - before)
        if time.monotonic() - started_at > FAILS_WITHIN_S:
            task.cancel()
            raise AssertionError(f"no result within {FAILS_WITHIN_S} s")
    return task.result(), longest_s


# Guards against a peer whose interim responses without end took the process up.
@kernel.PROPERTIES.register("interim responses without end fail the request soon")
def endless_interim() -> None:
    async def play() -> None:
        for interim in INTERIM:
            port = scripted_peer.upstream_port()
            async with scripted_peer.Peer(endless(interim)) as peer:
                found, longest_s = await longest_pause_s(
                    port.send(scripted_peer.request(peer.address))
                )
            await port.close()
            assert found is ports.UpstreamFault.CONNECTION_LOST, found
            assert longest_s < LONGEST_PAUSE_S, longest_s

    asyncio.run(play())


@kernel.PROPERTIES.register("interim responses without end fail a health check soon")
def endless_probe() -> None:
    async def play() -> None:
        for interim in INTERIM:
            port = scripted_peer.upstream_port()
            async with scripted_peer.Peer(endless(interim)) as peer:
                probe = port.probe(peer.address, 5.0, "/health")
                found, longest_s = await longest_pause_s(probe)
            await port.close()
            assert found is ports.UpstreamFault.CONNECTION_LOST, found
            assert longest_s < LONGEST_PAUSE_S, longest_s

    asyncio.run(play())


@kernel.PROPERTIES.register("interim responses without end fail a call of the store")
def endless_store() -> None:
    async def play() -> None:
        for interim in INTERIM:
            async with scripted_peer.Peer(endless(interim)) as peer:
                client = store_client.StoreClient(f"http://{peer.address}")
                found, longest_s = await longest_pause_s(client.watch(1, 5.0))
                await client.close()
            assert found is sources.SourceFault.UNAVAILABLE, found
            assert longest_s < LONGEST_PAUSE_S, longest_s

    asyncio.run(play())


@kernel.PROPERTIES.register("some interim responses before a final one do no harm")
def some_interim() -> None:
    async def play() -> None:
        count = response_handler.MAX_INTERIM_RESPONSES

        async def write(writer: asyncio.StreamWriter) -> None:
            writer.write(INTERIM[0] * count + RESPONSES[0])

        port = scripted_peer.upstream_port()
        async with scripted_peer.Peer(write) as peer:
            found = await port.send(scripted_peer.request(peer.address))
            assert not isinstance(found, ports.UpstreamFault), found
            assert await found.chunk() == b"hello"
        await port.close()

    asyncio.run(play())


@kernel.PROPERTIES.register("a response that is cut at any byte is no success")
def cut_anywhere() -> None:
    async def play() -> None:
        port = scripted_peer.upstream_port()
        for response in RESPONSES:
            for length in range(len(response)):

                async def write(
                    writer: asyncio.StreamWriter, cut: bytes = response[:length]
                ) -> None:
                    writer.write(cut)

                async with scripted_peer.Peer(write) as peer:
                    found = await port.send(scripted_peer.request(peer.address))
                    chunk: object = found
                    while isinstance(found, upstream_http.HttpAnswer):
                        chunk = await found.chunk()
                        if not chunk or isinstance(chunk, ports.UpstreamFault):
                            break
                    assert isinstance(chunk, ports.UpstreamFault), response[:length]
        await port.close()

    asyncio.run(play())


@kernel.PROPERTIES.register("a body without end is not read for ever")
def endless_body() -> None:
    async def play() -> None:
        write = endless_after(b"HTTP/1.1 200 OK\r\n\r\n")
        port = scripted_peer.upstream_port()
        async with scripted_peer.Peer(write) as peer:
            found, _ = await longest_pause_s(port.probe(peer.address, 5.0, "/health"))
            assert found is ports.UpstreamFault.CONNECTION_LOST
            client = store_client.StoreClient(f"http://{peer.address}")
            with mock.patch.object(store_client, "CALL_TIMEOUT_S", 60.0):
                answer = await client.read_page(None)
            assert answer is sources.SourceFault.UNAVAILABLE
            await client.close()
        await port.close()

    asyncio.run(play())


# Guards against a store or host list whose body without end took the process up.
@kernel.PROPERTIES.register("an own store's body without end is not read for ever")
def endless_own_store() -> None:
    async def play() -> None:
        async with scripted_peer.Peer(
            endless_after(b"HTTP/1.1 200 OK\r\n\r\n")
        ) as peer:
            store = store_http.HttpStore(f"http://{peer.address}")
            hosts = hostlist_http.HttpHostList(f"http://{peer.address}")
            found, _ = await longest_pause_s(store.watch("key", 1, 60.0))
            assert found is ports.StoreFault.UNAVAILABLE, found
            with (
                mock.patch.object(store_http, "CALL_TIMEOUT_S", 60.0),
                mock.patch.object(hostlist_http, "CALL_TIMEOUT_S", 60.0),
            ):
                found, _ = await longest_pause_s(store.get("key"))
                assert found is ports.StoreFault.UNAVAILABLE, found
                found, _ = await longest_pause_s(
                    store.compare_and_swap("key", b"value", 1)
                )
                assert found is ports.StoreFault.UNAVAILABLE, found
                found, _ = await longest_pause_s(hosts.fetch(1))
                assert found is ports.HostListFault.UNAVAILABLE, found
            await store.close()
            await hosts.close()

    asyncio.run(play())


@kernel.PROPERTIES.register("bytes without end that are no response are not kept")
def endless_garbage() -> None:
    async def play() -> None:
        for beginning, repeated in ENDLESS:
            port = scripted_peer.upstream_port()
            write = endless_after(beginning.encode(), repeated)
            async with scripted_peer.Peer(write) as peer:
                before = resident_bytes()
                for call in (
                    port.send(scripted_peer.request(peer.address)),
                    port.probe(peer.address, ENDLESS_S, "/health"),
                    port.liveness(peer.address, ENDLESS_S),
                ):
                    await until_failed(call)
                kept = resident_bytes() - before
                assert kept < MAX_KEPT_BYTES, (beginning, repeated, kept)
            await port.close()

    asyncio.run(play())


async def until_failed(call: abc.Awaitable[object]) -> None:
    """Wait for the end of a call and of the body of its answer, not for long."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(ENDLESS_S):
            answer = await call
            while isinstance(answer, upstream_http.HttpAnswer):
                chunk = await answer.chunk()
                if not chunk or isinstance(chunk, ports.UpstreamFault):
                    return


def resident_bytes() -> int:
    """Return the memory that this process takes."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGESIZE")


@kernel.PROPERTIES.register("hosts that no resolver takes are refused before sending")
def unresolvable() -> None:
    hosts = ("..", "a..b", "x" * 64, "x" * 200, ".a", "-" * 200)

    async def play() -> None:
        port = scripted_peer.upstream_port()
        for host in hosts:
            address = ids.Address(f"{host}:80")
            found = await port.send(scripted_peer.request(address))
            assert found is ports.UpstreamFault.CONNECT_FAILED, (host, found)
            probed = await port.probe(address, 1.0, "/health")
            assert probed is ports.UpstreamFault.CONNECTION_LOST, (host, probed)
            assert await port.liveness(address, 1.0) is ports.Liveness.REFUSED, host
        await port.close()

    asyncio.run(play())
    for host in hosts:
        entry = store_reading.entry(address=f"{host}:80")
        found = records.read_upstream("servers/u", platform_json(entry))
        assert isinstance(found, sources.BadItem), host
    for host in ("10.0.0.1", "w-1", "a.b.example", "a.", "x" * 63):
        entry = store_reading.entry(address=f"{host}:80")
        found = records.read_upstream("servers/u", platform_json(entry))
        assert isinstance(found, sources.ListedUpstream), host


def platform_json(value: object) -> bytes:
    """Return a value as its writer encodes it."""
    return store_client.msgspec.json.encode(value)
