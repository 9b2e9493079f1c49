"""Properties of all that read responses of peers, faced with invalid ones."""

import asyncio
from collections import abc

from features.steps import kernel
from features.support import broken_responses, scripted_peer
from spindlenotch import client as clients, ids, ports
from spindlenotch.cli import explain_entry
from spindlenotch.drivers import hostlist_http, store_http, upstream_http
from spindlenotch.gateway.source import sources
from spindlenotch_platform import http_dialect, store_client

#: Time within which a reader must have noticed, in seconds.
NOTICED_WITHIN_S = 1.0
#: Seconds between the valid beginning of a response and its rest.
PAUSE_S = 0.02
#: One in this many broken responses of a kind is sent to each reader.
SAMPLED = 19

Reader = abc.Callable[[ids.Address], abc.Awaitable[object]]


async def _send(port: upstream_http.HttpUpstreamPort, address: ids.Address) -> object:
    """Return the fault that a request meets, or the body of its answer."""
    answer = await port.send(scripted_peer.request(address))
    body = b""
    while not isinstance(answer, ports.UpstreamFault):
        chunk = await answer.chunk()
        if isinstance(chunk, ports.UpstreamFault):
            return chunk
        if not chunk:
            return body
        body += chunk
    return answer


async def _closing(port: upstream_http.HttpUpstreamPort, address: str) -> object:
    try:
        return await _send(port, ids.Address(address))
    finally:
        await port.close()


async def _request(address: ids.Address) -> object:
    return await _closing(scripted_peer.upstream_port(), address)


async def _handed_over(address: ids.Address) -> object:
    upstream = http_dialect.platform().upstream
    return await _closing(upstream_http.HttpPeerPort(upstream), address)


async def _probe(address: ids.Address) -> object:
    port = scripted_peer.upstream_port()
    try:
        return await port.probe(address, 5.0, "/health")
    finally:
        await port.close()


async def _read_store(address: ids.Address) -> object:
    client = store_client.StoreClient(f"http://{address}")
    try:
        return await client.read_page(None)
    finally:
        await client.close()


async def _watch_store(address: ids.Address) -> object:
    client = store_client.StoreClient(f"http://{address}")
    try:
        return await client.watch(1, 5.0)
    finally:
        await client.close()


async def _write_store(address: ids.Address) -> object:
    client = store_client.StoreClient(f"http://{address}")
    try:
        return await client.replace("key", b"value", 1)
    finally:
        await client.close()


async def _read_own_store(address: ids.Address) -> object:
    store = store_http.HttpStore(f"http://{address}")
    try:
        return await store.get("key")
    finally:
        await store.close()


async def _read_host_list(address: ids.Address) -> object:
    hosts = hostlist_http.HttpHostList(f"http://{address}")
    try:
        return await hosts.fetch(1)
    finally:
        await hosts.close()


async def _explain(address: ids.Address) -> object:
    try:
        return await explain_entry.fetch(address)
    except explain_entry.FetchError:
        return explain_entry.FetchError


async def _is_alive(address: ids.Address) -> object:
    port = scripted_peer.upstream_port()
    try:
        return await port.liveness(address, 5.0)
    finally:
        await port.close()


LOST = ports.UpstreamFault.CONNECTION_LOST
FAULT_BY_READER: dict[Reader, object] = {
    _request: LOST,
    _handed_over: LOST,
    _probe: LOST,
    _read_store: sources.SourceFault.UNAVAILABLE,
    _watch_store: sources.SourceFault.UNAVAILABLE,
    _write_store: sources.SourceFault.UNAVAILABLE,
    _read_own_store: ports.StoreFault.UNAVAILABLE,
    _read_host_list: ports.HostListFault.UNAVAILABLE,
    _explain: explain_entry.FetchError,
}


async def _read_from_peer(reader: Reader, pieces: abc.Sequence[bytes]) -> object:
    """Return what a reader makes of a response whose peer keeps the connection."""
    is_read = asyncio.Event()

    async def write(writer: asyncio.StreamWriter) -> None:
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
        await is_read.wait()

    async with scripted_peer.Peer(write) as peer:
        try:
            async with asyncio.timeout(NOTICED_WITHIN_S):
                return await reader(peer.address)
        finally:
            is_read.set()


# Guards against a response of which only the first of two request ids was compared.
@kernel.PROPERTIES.register("a response that names two requests or stamps is foreign")
def named_twice() -> None:
    foreign = ports.UpstreamFault.FOREIGN_ANSWER

    async def play() -> None:
        for name, value in (
            ("X-Spindlenotch-Request-Id", scripted_peer.REQUEST_ID),
            ("X-Spindlenotch-Server-Stamp", scripted_peer.STAMP),
        ):
            for other in ("another", value):
                line = f"{name}: {other}\r\n".encode()
                for fields in (
                    line + broken_responses.FIELDS,
                    broken_responses.FIELDS + line,
                ):
                    data = broken_responses.response(fields=fields)
                    for reader in (_request, _handed_over):
                        found = await _read_from_peer(reader, [data])
                        assert found is foreign, (reader, data, found)

    asyncio.run(play())


def _each_reader_refuses(kind: broken_responses.Kind) -> None:
    async def play() -> None:
        for reader, fault in FAULT_BY_READER.items():
            for one in broken_responses.of_kind(kind)[::SAMPLED]:
                beginning = one.data[: one.valid_bytes]
                rest = one.data[one.valid_bytes :]
                pieces = [beginning, rest] if beginning else [rest]
                found = await _read_from_peer(reader, pieces)
                assert found == fault, (reader, one.data, found)

    asyncio.run(play())


@kernel.PROPERTIES.register("no reader takes an invalid status line for an answer")
def readers_of_status_lines() -> None:
    _each_reader_refuses(broken_responses.Kind.STATUS_LINE)


@kernel.PROPERTIES.register("no reader takes an invalid field line for an answer")
def readers_of_field_lines() -> None:
    _each_reader_refuses(broken_responses.Kind.FIELD_LINE)


@kernel.PROPERTIES.register("no reader takes an unknown transfer coding for an answer")
def readers_of_codings() -> None:
    _each_reader_refuses(broken_responses.Kind.TRANSFER_CODING)


# Guards against readers that waited until their deadline for the rest of such a body.
@kernel.PROPERTIES.register("no reader waits for the rest of a broken body")
def readers_of_chunks() -> None:
    _each_reader_refuses(broken_responses.Kind.CHUNKED_BODY)


@kernel.PROPERTIES.register("each reader takes a valid response")
def readers_of_valid() -> None:
    async def play() -> None:
        for reader, fault in FAULT_BY_READER.items():
            for data in broken_responses.valid():
                found = await _read_from_peer(reader, [data])
                assert found != fault, (reader, data, found)

    asyncio.run(play())


# Guards against responses that callers of the client library got as answers.
@kernel.PROPERTIES.register("the client library takes no invalid response for one")
def client_library() -> None:
    async def play() -> None:
        for _, one in [*broken_responses.broken()][::SAMPLED]:
            found = await _call_entry(one.data)
            assert isinstance(found, clients.NoAnswer), (one.data, found)
        found = await _call_entry(broken_responses.response())
        assert isinstance(found, clients.Answer), found

    asyncio.run(play())


async def _call_entry(data: bytes) -> clients.Answer | clients.NoAnswer:
    """Return what a caller gets if its only entry sends this to requests."""
    listing = iter([True])

    async def write(writer: asyncio.StreamWriter) -> None:
        if next(listing, False):
            entry = f'{{"address":"{peer.address}","zone":"z"}}'
            body = f'{{"entries":[{entry}],"valid_for_ms":60000}}'.encode()
            framing = b"Content-Length: %d\r\nConnection: close\r\n" % len(body)
            writer.write(broken_responses.response(framing=framing, body=body))
        else:
            writer.write(data)
            await writer.drain()
            await is_read.wait()

    is_read = asyncio.Event()
    async with scripted_peer.Peer(write) as peer:
        client = clients.Client([peer.address])
        try:
            async with asyncio.timeout(NOTICED_WITHIN_S):
                return await client.call(clients.Request("resv", timeout_s=0.5))
        finally:
            is_read.set()
            await client.close()


# Guards against requests that were quarantined as ones that end their upstreams.
@kernel.PROPERTIES.register("an upstream that sends no valid response is alive")
def broken_is_alive() -> None:
    async def play() -> None:
        for _, one in [*broken_responses.broken()][::SAMPLED]:
            found = await _read_from_peer(_is_alive, [one.data])
            assert found is ports.Liveness.ALIVE, (one.data, found)
        found = await _read_from_peer(_is_alive, [b"\x16\x03 no response"])
        assert found is ports.Liveness.ALIVE, found

    asyncio.run(play())
