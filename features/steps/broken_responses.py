"""Properties and steps of responses that are not valid HTTP."""

import asyncio
import itertools
import re
import typing
from collections import abc
from unittest import mock

import aiohttp
import aiohttp.http_exceptions
import behave
import hypothesis
from hypothesis import strategies

from features.steps import kernel
from features.support import (
    broken_responses,
    platform_context,
    platform_fleet,
    platform_worker,
    scripted_peer,
)
from spindlenotch import client as clients, ids, ports
from spindlenotch.cli import explain_entry
from spindlenotch.drivers import hostlist_http, http_client, store_http, upstream_http
from spindlenotch.gateway.source import sources
from spindlenotch_platform import http_dialect, store_client

#: Time within which a reader must have noticed, in seconds.
NOTICED_WITHIN_S = 1.0
#: Seconds between the valid beginning of a response and its rest.
PAUSE_S = 0.02
#: Each so many broken responses of a kind are sent to each reader.
SAMPLED = 19
#: Requests that a worker must have run of which each second one gets a broken response,
#: and the most that are sent until it has.
MIN_ALTERNATING_RUNS, MAX_REQUESTS = 4, 1000
#: Numbers of the log events: a gateway is isolated, an upstream ended under a request.
ISOLATED, ENDED_UNDER_REQUEST = 306, 606
ERRORS = (aiohttp.ClientError, aiohttp.http_exceptions.HttpProcessingError)

# A response by RFC 9112, written apart from the product.
TEXT = rb"[\t -~\x80-\xff]*"
FIELD = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:" + TEXT + rb"\r\n"
INTERIM = rb"HTTP/1\.[01] 1(?:0[02-9]|[1-9][0-9])(?: " + TEXT + rb")?\r\n"
FINAL = rb"HTTP/1\.[01] [2-5][0-9][0-9](?: " + TEXT + rb")?\r\n"
HEAD = re.compile(
    rb"(?:%b(?:%b)*\r\n)*(%b)((?:%b)*)\r\n" % (INTERIM, FIELD, FINAL, FIELD)
)
CHUNK = re.compile(rb"([0-9A-Fa-f]+)(?:;" + TEXT + rb")?\r\n")
TRAILER = re.compile(rb"(?:%b)*\r\n" % FIELD)


async def read(
    session: aiohttp.ClientSession, pieces: abc.Iterable[bytes]
) -> bytes | None:
    """Return the body that a session reads from a connection; None if it fails."""
    handler = typing.cast(typing.Any, session.connector)._factory()
    transport = mock.Mock(spec=asyncio.Transport)
    handler.connection_made(transport)
    handler.set_response_params(read_until_eof=True, auto_decompress=False)
    for piece in pieces:
        if transport.abort.called or transport.close.called:
            break
        handler.data_received(piece)
    handler.connection_lost(None)
    try:
        while True:
            message, payload = await handler.read()
            if not 100 <= message.code <= 199 or message.code == 101:
                return typing.cast(bytes, await payload.read())
    except ERRORS:
        return None


def valid_body(data: bytes) -> bytes | None:
    """Return the body of the response with which ``data`` begins; None: invalid."""
    head = HEAD.match(data)
    if head is None:
        return None
    rest = data[head.end() :]
    lines = [line.split(b":", 1) for line in head[2].split(b"\r\n")[:-1]]
    value_by_name = {name.lower(): value.strip(b" \t") for name, value in lines}
    codings = [v for n, v in lines if n.lower() == b"transfer-encoding"]
    lengths = [v.strip(b" \t") for n, v in lines if n.lower() == b"content-length"]
    if head[1][9:12] in (b"204", b"304"):
        return b""
    if codings:
        is_known = value_by_name[b"transfer-encoding"].lower() == b"chunked"
        if not is_known or lengths or len(codings) > 1 or head[1][:8] == b"HTTP/1.0":
            return None
        return _chunked_body(rest)
    if not lengths:
        return rest
    if len(lengths) > 1 or not re.fullmatch(rb"[0-9]+", lengths[0]):
        return None
    return rest[: int(lengths[0])] if len(rest) >= int(lengths[0]) else None


def _chunked_body(data: bytes) -> bytes | None:
    body = b""
    while size := CHUNK.match(data):
        length = int(size[1], 16)
        data = data[size.end() :]
        if length == 0:
            return body if TRAILER.match(data) else None
        if data[length : length + 2] != b"\r\n":
            return None
        body += data[:length]
        data = data[length + 2 :]
    return None


def _refuses(kind: broken_responses.Kind) -> None:
    async def play() -> None:
        async with http_client.new_session() as session:
            for one in broken_responses.of_kind(kind):
                assert valid_body(one.data) is None, one.data
                for pieces in _splits(one.data):
                    found = await read(session, pieces)
                    assert found is None, (pieces, found)

    asyncio.run(play())


def _splits(data: bytes) -> list[list[bytes]]:
    """Return a response whole, byte by byte, and in two halves."""
    half = len(data) // 2
    single = [data[place : place + 1] for place in range(len(data))]
    return [[data], single, [data[:half], data[half:]]]


# Guards against a status such as 000 that callers got as an answer.
@kernel.PROPERTIES.register("a response with an invalid status line is no answer")
def status_lines() -> None:
    _refuses(broken_responses.Kind.STATUS_LINE)


# Guards against lines that passed for other ones, and against values that could not be
# written for the caller.
@kernel.PROPERTIES.register("a response with an invalid field line is no answer")
def field_lines() -> None:
    _refuses(broken_responses.Kind.FIELD_LINE)


# Guards against chunks, or coded bytes, that callers got as a whole body.
@kernel.PROPERTIES.register("a response with an unknown transfer coding is no answer")
def transfer_codings() -> None:
    _refuses(broken_responses.Kind.TRANSFER_CODING)


@kernel.PROPERTIES.register("a response with a broken chunk or trailer is not whole")
def chunked_bodies() -> None:
    _refuses(broken_responses.Kind.CHUNKED_BODY)


@kernel.PROPERTIES.register("a valid response is read whole however it is split")
def valid_responses() -> None:
    async def play() -> None:
        async with http_client.new_session() as session:
            for data in broken_responses.valid():
                assert valid_body(data) == broken_responses.BODY, data
                splits = [[data[:place], data[place:]] for place in range(len(data))]
                for pieces in [*splits, *_splits(data)]:
                    found = await read(session, pieces)
                    assert found == broken_responses.BODY, (pieces, found)

    asyncio.run(play())


# Guards against applications that embed the client library and whose own sessions
# refused responses from then on.
@kernel.PROPERTIES.register("sessions of others in the same process stay lenient")
def other_sessions() -> None:
    line = b" X-Ab: c\r\n"
    data = broken_responses.response(fields=line + broken_responses.FIELDS)

    async def play() -> None:
        async with http_client.new_session() as own, aiohttp.ClientSession() as other:
            assert await read(own, [data]) is None
            assert await read(other, [data]) == broken_responses.BODY

    asyncio.run(play())


@kernel.PROPERTIES.register("what is read as a response is one by RFC 9112")
def no_more_than_the_grammar() -> None:
    odd = b'\0\x01\t\n\x0b\r\x1b "(,/:;=@\x7f\x80\xff019AaHT+-_{}'

    async def play(data: bytes) -> bytes | None:
        async with http_client.new_session() as session:
            return await read(session, [data])

    with asyncio.Runner() as runner:

        @hypothesis.settings(kernel.SETTINGS, max_examples=1000)
        @hypothesis.given(
            strategies.sampled_from([*broken_responses.valid()]),
            strategies.lists(
                strategies.tuples(
                    strategies.floats(0.0, 0.999),
                    strategies.integers(0, 2),
                    strategies.lists(strategies.sampled_from(odd), max_size=2),
                ),
                min_size=1,
                max_size=3,
            ),
        )
        def check(data: bytes, changes: list[tuple[float, int, list[int]]]) -> None:
            for where, removed, added in changes:
                place = int(where * len(data))
                data = data[:place] + bytes(added) + data[place + removed :]
            found = runner.run(play(data))
            assert found is None or found == valid_body(data), (data, found)

        check()


# Readers of responses

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


# The whole path


def _script(name: str, *, alternates: bool) -> platform_worker.Script:
    """Return what a worker sends; ``alternates``: for each second request only."""
    broken = broken_responses.SCRIPT_BY_NAME[name]
    is_broken = itertools.cycle([False, True] if alternates else [True])

    def send(request_id: str, body: bytes) -> list[bytes] | None:
        fields = (
            f"X-Spindlenotch-Request-Id: {request_id}\r\n"
            f"X-Spindlenotch-Server-Stamp: {platform_worker.STAMP}\r\n"
        )
        return broken(fields.encode(), body) if next(is_broken) else None

    return send


@behave.given('one worker sends "{name}" in place of each second answer')
def one_worker_sends(context: typing.Any, name: str) -> None:
    worker = platform_context.fleet_of(context).worker_by_id["i-0"]
    worker.script = _script(name, alternates=True)


@behave.given('all workers send "{name}" in place of their answers')
def all_workers_send(context: typing.Any, name: str) -> None:
    for worker in platform_context.fleet_of(context).worker_by_id.values():
        worker.script = _script(name, alternates=False)


@behave.given('{count:d} of the workers send "{name}" to requests and health checks')
def some_workers_send(context: typing.Any, count: int, name: str) -> None:
    workers = platform_context.fleet_of(context).worker_by_id
    for number in range(count):
        workers[f"i-{number}"].script = _script(name, alternates=False)
        workers[f"i-{number}"].breaks_health = True


@behave.then("no request is suspected of having ended its worker")
def none_suspected(context: typing.Any) -> None:
    _require_no_event(context, ENDED_UNDER_REQUEST)


@behave.then("no gateway takes itself for cut off from its workers")
def none_isolated(context: typing.Any) -> None:
    _require_no_event(context, ISOLATED)


def _require_no_event(context: typing.Any, event: int) -> None:
    logs = platform_context.fleet_of(context).logs.values()
    lines = [line for log in logs for line in log.read_text().splitlines()]
    assert lines and not [line for line in lines if f'"event":{event},' in line]


@behave.when('requests GET "{target}" are sent until the worker has sent some of these')
def sends_until_broken(context: typing.Any, target: str) -> None:
    fleet = platform_context.fleet_of(context)
    runs = fleet.worker_by_id["i-0"].runs

    async def send() -> list[platform_fleet.Answer]:
        answers = []
        while len(runs) < MIN_ALTERNATING_RUNS:
            number = len(answers)
            assert number < MAX_REQUESTS, "the worker got too few"
            node = f"node-{1 + number % 2}"
            answers.append(await fleet.send(node, f"{target}?n={number}", f"m{number}"))
        return answers

    context.answers = platform_context.run(context, send())
    context.target = target


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
