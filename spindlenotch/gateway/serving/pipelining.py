"""
HTTP/1.1 pipelining: starts queued requests of a connection before their turn.

aiohttp handles the requests of a connection one after the other, so a pipelined
request would reach an upstream only after the response to the previous one. Here,
repeatable requests are started as soon as they are parsed; the responses are still
sent in the order of the requests (RFC 9112, section 9.3.2). Owns the requests
started early on one connection. Relies on the queue of parsed messages in aiohttp's
``RequestHandler``.
"""

import asyncio
import contextlib
import typing
from collections import abc

import msgspec
from aiohttp import (
    http_parser,
    http_writer,
    streams,
    web_protocol,
    web_request,
    web_response,
    web_server,
)

from spindlenotch.gateway.serving import answer_stream

#: Maximum number of requests of one connection that are started before their turn;
#: bounds the capacity that one caller can occupy.
MAX_EARLY_REQUESTS = 8
#: Methods whose requests may run concurrently: safe methods by RFC 9110, section
#: 9.2.1.
SAFE_METHODS = frozenset({"GET", "HEAD"})

#: A response that has not been sent: complete, or to be streamed.
PendingResponse = web_response.Response | answer_stream.StreamedResponse
ResponseTask = asyncio.Task[PendingResponse]
#: Starts processing a request, or returns None if it must wait for its turn.
EarlyStarter = abc.Callable[[web_request.BaseRequest], ResponseTask | None]


class EarlyRequest(msgspec.Struct, frozen=True):
    """A request that was started before its turn."""

    message: http_parser.RawRequestMessage
    task: ResponseTask


class PipelinedConnection(web_protocol.RequestHandler):
    """
    A caller's connection.

    Invariants: a request is started early only if all requests before it use a safe
    method; a graceful close waits for the requests that were started early.
    """

    __slots__ = ("_none_pending", "_start_early", "_early_requests", "_close_requested")

    def __init__(
        self,
        manager: web_server.Server,
        start_early: EarlyStarter,
        **options: typing.Any,
    ) -> None:
        super().__init__(manager, **options)
        self._start_early = start_early
        self._early_requests: list[EarlyRequest] = []
        self._close_requested = False
        self._none_pending = asyncio.Event()
        self._none_pending.set()

    @property
    def has_pending_responses(self) -> bool:
        """Return whether any request was started early and awaits its turn."""
        return bool(self._early_requests)

    def data_received(self, data: bytes) -> None:
        """Parse received data and start the requests that may be started early."""
        super().data_received(data)
        if self._current_request is not None:
            self._start_queued(self._current_request)

    def take_task(self, request: web_request.BaseRequest) -> ResponseTask | None:
        """
        Begin the turn of a request and start those queued behind it.

        Return its task if it was started early.
        """
        self._start_queued(request)
        for index, early_request in enumerate(self._early_requests):
            if early_request.message is request._message:
                del self._early_requests[index]
                self._on_early_request_removed()
                return early_request.task
        return None

    def close(self) -> None:
        """Close the connection once all requests started early have had their turn."""
        self._close_requested = True
        if not self._early_requests:
            super().close()

    async def shutdown(self, timeout: float | None = None) -> None:
        """Close the connection gracefully, within ``timeout`` seconds."""
        loop = asyncio.get_running_loop()
        deadline = None if timeout is None else loop.time() + timeout
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(deadline):
                await self._none_pending.wait()
        remaining_s = None if deadline is None else max(0.0, deadline - loop.time())
        await super().shutdown(remaining_s)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Discard the requests started early: the caller has disconnected."""
        for early_request in self._early_requests:
            discard(early_request.task)
        self._early_requests.clear()
        self._on_early_request_removed()
        super().connection_lost(exc)

    def _on_early_request_removed(self) -> None:
        """If none is left, wake ``shutdown`` and carry out a requested close."""
        if self._early_requests:
            return
        self._none_pending.set()
        if self._close_requested:
            super().close()

    def _start_queued(self, current: web_request.BaseRequest) -> None:
        """Start requests queued behind ``current``, whose turn it is."""
        if current.method not in SAFE_METHODS:
            return
        for message, payload in self._messages:
            if not isinstance(message, http_parser.RawRequestMessage):
                return
            has_no_body = payload is streams.EMPTY_PAYLOAD
            if not has_no_body or message.method not in SAFE_METHODS:
                return
            if not any(
                early_request.message is message
                for early_request in self._early_requests
            ):
                self._start(message)

    def _start(self, message: http_parser.RawRequestMessage) -> None:
        handler_task = self._task_handler
        if self._request_factory is None or handler_task is None:
            return
        if len(self._early_requests) >= MAX_EARLY_REQUESTS:
            return
        writer = http_writer.StreamWriter(self, asyncio.get_running_loop())
        request = self._request_factory(
            message, streams.EMPTY_PAYLOAD, self, writer, handler_task
        )
        task = self._start_early(request)
        if task is not None:
            self._early_requests.append(EarlyRequest(message, task))
            self._none_pending.clear()


class PipeliningServer(web_server.Server):
    """Creates the connections of one listener; ``options`` are aiohttp's."""

    def __init__(
        self,
        handler: abc.Callable[
            [web_request.BaseRequest], abc.Awaitable[web_response.StreamResponse]
        ],
        start_early: EarlyStarter,
        **options: typing.Any,
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._start_early = start_early
        self._options = options

    def __call__(self) -> web_protocol.RequestHandler:
        """Create the protocol of a new connection."""
        return PipelinedConnection(
            self, self._start_early, loop=self._loop, **self._options
        )


def take_task(request: web_request.BaseRequest) -> ResponseTask | None:
    """Return the task of a request whose turn has come, if it was started early."""
    connection = request.protocol
    if isinstance(connection, PipelinedConnection):
        return connection.take_task(request)
    return None


def has_pending_responses(request: web_request.BaseRequest) -> bool:
    """Return whether requests queued behind this one were started early."""
    connection = request.protocol
    return (
        isinstance(connection, PipelinedConnection) and connection.has_pending_responses
    )


def discard(task: ResponseTask) -> None:
    """Cancel a task whose response is not needed, and end its exchange if any."""
    if not task.done():
        task.cancel()
        return
    if task.cancelled() or task.exception() is not None:
        return
    response = task.result()
    if isinstance(response, answer_stream.StreamedResponse):
        response.discard()
