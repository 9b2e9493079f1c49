"""Properties and steps of responses that are not valid HTTP."""

import asyncio
import itertools
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
    response_grammar,
)
from spindlenotch.drivers import http_client

#: Requests that a worker must have run of which each second one gets a broken response,
#: and the most that are sent until it has.
MIN_ALTERNATING_RUNS, MAX_REQUESTS = 4, 1000
#: Numbers of the log events: a gateway is isolated, an upstream ended under a request.
ISOLATED, ENDED_UNDER_REQUEST = 306, 606
ERRORS = (aiohttp.ClientError, aiohttp.http_exceptions.HttpProcessingError)


async def read(
    session: aiohttp.ClientSession,
    pieces: abc.Iterable[bytes],
    *,
    to_head: bool = False,
) -> bytes | None:
    """Return the body that a session reads from a connection; None if it fails."""
    handler = typing.cast(typing.Any, session.connector)._factory()
    transport = mock.Mock(spec=asyncio.Transport)
    handler.connection_made(transport)
    handler.set_response_params(
        read_until_eof=True, auto_decompress=False, skip_payload=to_head
    )
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


def _refuses(kind: broken_responses.Kind) -> None:
    async def play() -> None:
        async with http_client.new_session() as session:
            for one in broken_responses.of_kind(kind):
                assert response_grammar.valid_body(one.data) is None, one.data
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
                assert response_grammar.valid_body(data) == broken_responses.BODY, data
                splits = [[data[:place], data[place:]] for place in range(len(data))]
                for pieces in [*splits, *_splits(data)]:
                    found = await read(session, pieces)
                    assert found == broken_responses.BODY, (pieces, found)

    asyncio.run(play())


@kernel.PROPERTIES.register("a response to HEAD is checked like any other")
def responses_to_head() -> None:
    kinds = (broken_responses.Kind.STATUS_LINE, broken_responses.Kind.FIELD_LINE)

    async def play() -> None:
        async with http_client.new_session() as session:
            for kind in kinds:
                for one in broken_responses.of_kind(kind):
                    head = one.data.removesuffix(broken_responses.BODY)
                    found = await read(session, [head], to_head=True)
                    assert found is None, (head, found)
            head = broken_responses.response(body=b"")
            assert await read(session, [head], to_head=True) == b""

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
            assert found is None or found == response_grammar.valid_body(data), (
                data,
                found,
            )

        check()


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
