"""Steps about requests that are sent behind others on one connection."""

import asyncio
import typing

import behave

from features.support import served_gateway
from spindlenotch.gateway.serving import pipelining

TARGETS = ("/1", "/2", "/3")
#: Seconds in which nothing more reaches an upstream that is going to.
SETTLE_S = 0.2
MANY = 30


def request(method: str, target: str) -> bytes:
    """Return a request without a body."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {served_gateway.ROUTE.host}"]
    if method == "POST":
        lines.append("Content-Length: 0")
    return "\r\n".join([*lines, "", ""]).encode()


async def until(condition: typing.Callable[[], bool]) -> None:
    """Wait until ``condition`` holds."""
    async with asyncio.timeout(served_gateway.PATIENCE_S):
        while not condition():
            await asyncio.sleep(0.01)


@behave.given("a gateway before upstreams that answer when they are told to")
def gateway(context: typing.Any) -> None:
    async def start() -> None:
        made = served_gateway.ServedGateway(
            lambda: served_gateway.ScriptedAnswer(200, [b"ok"], length=2)
        )
        made.port.gate_by_target = {target: asyncio.Event() for target in TARGETS}
        context.gateway = await made.__aenter__()
        context.reader, context.writer = await made.connect()

    context.runner.run(start())


@behave.when('a caller sends "{first}", "{second}" and "{third}" on one connection')
def send(context: typing.Any, first: str, second: str, third: str) -> None:
    pairs = [one.split() for one in (first, second, third)]
    context.writer.write(b"".join(request(*pair) for pair in pairs))
    context.runner.run(asyncio.sleep(SETTLE_S))


@behave.when("a caller sends thirty lookups on one connection")
def send_many(context: typing.Any) -> None:
    gate = asyncio.Event()
    targets = [f"/many/{number}" for number in range(MANY)]
    context.gateway.port.gate_by_target = dict.fromkeys(targets, gate)
    context.writer.write(b"".join(request("GET", one) for one in targets))
    context.runner.run(asyncio.sleep(SETTLE_S))


@behave.then("upstreams have got no more than one and those that may be begun early")
def few_begun(context: typing.Any) -> None:
    found = len(context.gateway.port.targets)
    # The two upstreams have four slots each, of which some may be spared.
    assert 1 < found <= 1 + pipelining.MAX_EARLY_REQUESTS, found
    assert context.gateway.ingress.in_flight == 1 + pipelining.MAX_EARLY_REQUESTS


@behave.then('upstreams have got "/1", "/2" and "/3"')
def got_all(context: typing.Any) -> None:
    assert sorted(context.gateway.port.targets) == list(TARGETS)


@behave.then('upstreams have got "/1" alone')
def got_first(context: typing.Any) -> None:
    assert context.gateway.port.targets == ["/1"], context.gateway.port.targets


@behave.when('"/3" and then "/2" and then "/1" is answered')
def answer(context: typing.Any) -> None:
    async def open_gates() -> None:
        for target in reversed(TARGETS):
            context.gateway.port.gate_by_target[target].set()
            await asyncio.sleep(SETTLE_S)

    context.runner.run(open_gates())


@behave.then('the caller gets three answers, that to "/1" first')
def in_order(context: typing.Any) -> None:
    async def read() -> bytes:
        data = b""
        async with asyncio.timeout(served_gateway.PATIENCE_S):
            while data.count(b"\r\n\r\nok") < len(TARGETS):
                piece = await context.reader.read(65536)
                assert piece, data
                data += piece
        return data

    data = context.runner.run(read())
    assert data.count(served_gateway.FIRST_STATUS_LINE) == len(TARGETS), data
    assert data.endswith(b"\r\n\r\nok"), data
    assert sorted(context.gateway.port.targets) == list(TARGETS)


@behave.when("the gateway begins a planned stop")
def leave(context: typing.Any) -> None:
    context.gateway.state.leave()


@behave.when("the gateway begins a planned stop and closes its connections")
def close_all(context: typing.Any) -> None:
    context.gateway.state.leave()

    async def stop_all() -> None:
        context.stopping = asyncio.ensure_future(
            context.gateway.ingress.stop(served_gateway.PATIENCE_S)
        )
        await asyncio.sleep(SETTLE_S)

    context.runner.run(stop_all())


@behave.then("its connection is closed after the third")
def closed(context: typing.Any) -> None:
    async def end() -> bytes:
        async with asyncio.timeout(served_gateway.PATIENCE_S):
            await context.stopping
            return bytes(await context.reader.read())

    assert context.runner.run(end()) == b""


@behave.when("the caller closes its connection")
def caller_gone(context: typing.Any) -> None:
    context.writer.close()


@behave.then("no request is under way any more")
def nothing_left(context: typing.Any) -> None:
    (balancer,) = context.gateway.state.balancer_by_service.values()

    def ended() -> bool:
        idle = balancer.pool.in_flight == 0 and not len(balancer.queue)
        return idle and context.gateway.ingress.in_flight == 0

    context.runner.run(until(ended))
