"""Steps on single connections between a gateway, its callers and its workers."""

import asyncio
import typing

import behave

from features.support import platform_context
from spindlenotch import ids, ports, upstream_http
from spindlenotch_platform import speech

fleet_of = platform_context.fleet_of
run = platform_context.run
#: Longer than the worker takes to send its surplus answer.
SURPLUS_IS_THERE_S = 0.15


@behave.when("its surplus answers lie unread before each of {count:d} requests to it")
def surplus_before(context: typing.Any, count: int) -> None:
    worker = fleet_of(context).worker_by_id["i-0"]

    async def send() -> list[typing.Any]:
        port = upstream_http.HttpUpstreamPort(speech.platform().upstream)
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
        ids.Address(address),
        "GET",
        "/read/x",
        [("Host", "h"), (speech.REQUEST_ID, request_id)],
        None,
        request_id,
        False,
        lambda: True,
    )


@behave.then("each of these requests gets the worker's own answer")
def own_answers(context: typing.Any) -> None:
    for answer in context.answers:
        assert not isinstance(answer, ports.UpstreamFault), context.answers
        assert answer.status == 200
