"""Steps about callers that give up while their request waits for room."""

import asyncio
import typing

import behave

from features.steps import pipelining
from features.support import served_gateway
from spindlenotch.decisions import balancer

#: Requests after which one waits for sure: two upstreams have four slots each.
MOST_REQUESTS = 40
#: Seconds that a request that finds room takes to reach its upstream.
REACHED_S = 0.05


def _balancer(context: typing.Any) -> balancer.Balancer:
    (only,) = context.gateway.state.balancer_by_service.values()
    assert isinstance(only, balancer.Balancer)
    return only


async def _send(context: typing.Any, target: str) -> asyncio.StreamReader:
    """Send a lookup on a connection of its own; it is answered when told to."""
    context.gateway.port.gate_by_target[target] = asyncio.Event()
    reader, writer = await context.gateway.connect()
    writer.write(pipelining.request("GET", target))
    context.writer_by_target[target] = writer
    await asyncio.sleep(REACHED_S)
    return typing.cast(asyncio.StreamReader, reader)


@behave.when("callers take all the room of the upstreams and one more waits")
def fill(context: typing.Any) -> None:
    context.writer_by_target = {}

    async def send_all() -> None:
        for number in range(MOST_REQUESTS):
            context.waiting = f"/waiting/{number}"
            await _send(context, context.waiting)
            if len(_balancer(context).queue):
                return
        raise AssertionError("all requests found room")

    context.runner.run(send_all())
    assert context.waiting not in context.gateway.port.targets


@behave.when("another caller waits behind it")
def wait_behind(context: typing.Any) -> None:
    context.reader = context.runner.run(_send(context, "/behind"))
    assert len(_balancer(context).queue) == 2


@behave.when("the caller that waits closes its connection")
def leave(context: typing.Any) -> None:
    context.writer_by_target[context.waiting].close()
    context.runner.run(asyncio.sleep(pipelining.SETTLE_S))


@behave.then("nobody waits for room any more")
def nobody_waits(context: typing.Any) -> None:
    assert len(_balancer(context).queue) == 0


@behave.when("all that is under way is answered")
def answer_all(context: typing.Any) -> None:
    async def open_gates() -> None:
        for gate in context.gateway.port.gate_by_target.values():
            gate.set()
        await asyncio.sleep(pipelining.SETTLE_S)

    context.runner.run(open_gates())


@behave.then("upstreams have not got what the caller that left had sent")
def not_sent(context: typing.Any) -> None:
    assert context.waiting not in context.gateway.port.targets


@behave.then("the caller that waited behind it gets its answer")
def next_answered(context: typing.Any) -> None:
    async def read() -> bytes:
        async with asyncio.timeout(served_gateway.PATIENCE_S):
            return bytes(await context.reader.readuntil(b"\r\n\r\nok"))

    assert context.runner.run(read()).startswith(served_gateway.FIRST_STATUS_LINE)
