"""Steps on single connections between a gateway, its callers and its workers."""

import asyncio
import time
import typing

import behave

from features.support import platform_context, platform_fleet
from spindlenotch import ids, ports
from spindlenotch.drivers import upstream_http
from spindlenotch_platform import http_dialect

fleet_of = platform_context.fleet_of
run = platform_context.run
#: Longer than the worker takes to send its surplus answer.
SURPLUS_IS_THERE_S = 0.15


@behave.when("its surplus answers lie unread before each of {count:d} requests to it")
def surplus_before(context: typing.Any, count: int) -> None:
    worker = fleet_of(context).worker_by_id["i-0"]

    async def send() -> list[typing.Any]:
        port = upstream_http.HttpUpstreamPort(http_dialect.platform().upstream)
        found = []
        try:
            for number in range(count):
                answer = await port.send(_request(worker.address, f"s{number}"))
                found.append(answer)
                while not isinstance(answer, ports.UpstreamFault):
                    if not await answer.chunk():
                        break
                await asyncio.sleep(SURPLUS_IS_THERE_S)
        finally:
            await port.close()
        return found

    context.answers = run(context, send())


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
