"""Steps on single connections between a gateway, its callers and its workers."""

import asyncio
import contextlib
import time
import typing

import behave

from features.support import platform_context, platform_fleet, platform_worker
from spindlenotch import ids, ports
from spindlenotch.drivers import upstream_http
from spindlenotch.kernel import upstreams
from spindlenotch_platform import http_dialect, store_client

fleet_of = platform_context.fleet_of
run = platform_context.run
#: Longer than the worker takes to send its surplus answer.
SURPLUS_IS_THERE_S = 0.15
#: Shorter than that.
BEFORE_SURPLUS_S = 0.03
STORE_CALLS = 4


@behave.when("its surplus answers lie unread before each of {count:d} requests to it")
def surplus_before(context: typing.Any, count: int) -> None:
    context.answers = run(context, _answers_behind_surplus(context, count))


@behave.when(
    "its surplus answers come while the event loop stands still, before each of "
    "{count:d} requests to it"
)
def surplus_in_standstill(context: typing.Any, count: int) -> None:
    context.answers = run(
        context, _answers_behind_surplus(context, count, stands_still=True)
    )


async def _answers_behind_surplus(
    context: typing.Any, count: int, *, stands_still: bool = False
) -> list[typing.Any]:
    worker = fleet_of(context).worker_by_id["i-0"]
    loop = asyncio.get_running_loop()
    port = upstream_http.HttpUpstreamPort(http_dialect.platform().upstream)
    found = []
    try:
        for number in range(count):
            answer = await port.send(_request(worker.address, f"s{number}"))
            found.append(answer)
            while not isinstance(answer, ports.UpstreamFault):
                if not await answer.chunk():
                    break
            if stands_still:
                # The worker sends and this step goes on at the same turn of the loop.
                loop.call_later(BEFORE_SURPLUS_S, time.sleep, SURPLUS_IS_THERE_S)
            await asyncio.sleep(SURPLUS_IS_THERE_S)
    finally:
        await port.close()
    return found


@behave.when(
    "a health check follows surplus answers that came while the event loop stood still"
)
def probed_behind_surplus(context: typing.Any) -> None:
    worker = fleet_of(context).worker_by_id["i-0"]

    async def probe() -> typing.Any:
        port = upstream_http.HttpUpstreamPort(http_dialect.platform().upstream)
        try:
            answer = await port.send(_request(worker.address, "s0"))
            assert not isinstance(answer, ports.UpstreamFault)
            while await answer.chunk():
                pass
            loop = asyncio.get_running_loop()
            loop.call_later(BEFORE_SURPLUS_S, time.sleep, SURPLUS_IS_THERE_S)
            await asyncio.sleep(SURPLUS_IS_THERE_S)
            return await port.probe(ids.Address(worker.address), 1.0, "/health")
        finally:
            await port.close()

    context.report = run(context, probe())


@behave.then("the health check tells the worker's load")
def tells_load(context: typing.Any) -> None:
    assert isinstance(context.report, upstreams.LoadReport), context.report


@behave.when("the store's surplus answers come while the event loop stands still")
def store_surplus(context: typing.Any) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(_watched(1))
                loop.call_later(2 * BEFORE_SURPLUS_S, writer.write, _watched(99))

    async def watch() -> list[typing.Any]:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        client = store_client.StoreClient(f"http://{host}:{port}")
        found = []
        try:
            for _ in range(STORE_CALLS):
                found.append(await client.watch(0, 1.0))
                loop = asyncio.get_running_loop()
                loop.call_later(BEFORE_SURPLUS_S, time.sleep, SURPLUS_IS_THERE_S)
                await asyncio.sleep(SURPLUS_IS_THERE_S)
        finally:
            await client.close()
            server.close()
        return found

    context.answers = run(context, watch())


def _watched(revision: int) -> bytes:
    body = b'{"events":[],"at":%d}' % revision
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


@behave.then("each call to the store gets its own answer")
def own_store_answers(context: typing.Any) -> None:
    expected = [store_client.Watched([], 1)] * STORE_CALLS
    assert context.answers == expected, context.answers


@behave.when("a request is sent to an upstream that resets each new connection")
def sent_to_resetting(context: typing.Any) -> None:
    async def serve(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        context.accepted += 1
        platform_worker.reset(writer)

    async def send() -> typing.Any:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, number = server.sockets[0].getsockname()[:2]
        port = upstream_http.HttpUpstreamPort(http_dialect.platform().upstream)
        loop = asyncio.get_running_loop()
        # The reset is there before the request is sent.
        loop.call_soon(loop.call_soon, time.sleep, BEFORE_SURPLUS_S)
        try:
            async with asyncio.timeout(platform_fleet.LIMIT_S):
                return await port.send(_request(f"{host}:{number}", "s0"))
        finally:
            await port.close()
            server.close()

    context.accepted = 0
    context.answer = run(context, send())


@behave.then("it fails and at most {count:d} connection was opened")
def fails_at_once(context: typing.Any, count: int) -> None:
    assert isinstance(context.answer, ports.UpstreamFault), context.answer
    assert context.accepted <= count, context.accepted


def _request(address: str, request_id: str) -> ports.UpstreamRequest:
    return ports.UpstreamRequest(
        address=ids.Address(address),
        method="GET",
        target="/read/x",
        headers=[("Host", "h"), (http_dialect.REQUEST_ID, request_id)],
        body=None,
        request_id=request_id,
        needs_new_connection=False,
        may_send=lambda: True,
    )


@behave.then("each of these requests gets the worker's own answer")
def own_answers(context: typing.Any) -> None:
    for answer in context.answers:
        assert not isinstance(answer, ports.UpstreamFault), context.answers
        assert answer.status == 200


@behave.when(
    "the operator lets connections rest for {idle_s:d} second in version {version:d}"
)
def lets_rest(context: typing.Any, idle_s: int, version: int) -> None:
    fleet = fleet_of(context)
    routes = [platform_fleet.route("new", "/new/")]
    config = platform_fleet.configuration(version, routes, ("core",))
    config["limits"]["idleTimeoutS"] = idle_s
    fleet.store.put("op/config", config)
    context.idle_s = idle_s

    async def in_force() -> bool:
        return (await fleet.send("node-1", "/new/x", "probe")).status == 200

    run(context, fleet.until(in_force))


@behave.then("a new connection that rests is closed, but not before that time")
def rests(context: typing.Any) -> None:
    fleet = fleet_of(context)

    async def rest() -> float:
        ip, port = fleet.ip_by_node["node-1"], fleet.port_by_name["front"]
        reader, writer = await asyncio.open_connection(ip, port)
        writer.write(
            f"GET /new/x HTTP/1.1\r\nHost: {platform_fleet.HOST}\r\n"
            f"{http_dialect.REQUEST_ID}: rests\r\n\r\n".encode()
        )
        await reader.readuntil(b"/new/x")
        rested_from = time.monotonic()
        async with asyncio.timeout(platform_fleet.LIMIT_S):
            assert await reader.read() == b""
        writer.close()
        return time.monotonic() - rested_from

    assert run(context, rest()) >= context.idle_s
