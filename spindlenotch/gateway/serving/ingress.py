"""
Receives callers' requests in order and sends the responses.

Owns the count of requests in flight and the handling of requests during a planned
stop. Relies on ``caller_listener`` for connections, on ``pipelining`` for the order
of responses and on ``request_processing`` for the responses themselves.
"""

import asyncio

from aiohttp import web_request, web_response

from spindlenotch.gateway import lifecycle, state
from spindlenotch.gateway.serving import (
    answer_stream,
    caller_listener,
    job_factory,
    pipelining,
    refusals,
    request_processing,
)
from spindlenotch.gateway.source import routing


class Ingress:
    """
    Serves callers' requests.

    ``closing`` is set late in a planned stop; requests received after that are
    refused. Invariant: ``in_flight`` is the number of requests whose response is
    not complete.
    """

    def __init__(
        self,
        gateway_state: state.GatewayState,
        processor: request_processing.RequestProcessor,
    ) -> None:
        self.state = gateway_state
        self.processor = processor
        self.in_flight = 0
        self.closing = False
        self._listener = caller_listener.CallerListener(
            self.handle,
            self.start_early,
            self._idle_timeout_s,
            processor.overload_gate,
        )

    async def start(self) -> None:
        """Listen for callers; raises ``OSError`` if the address can't be bound."""
        self._listener.start(self.state.config.listen)

    def stop_listening(self) -> None:
        """Stop accepting connections; refuse new requests on open ones."""
        self.closing = True
        self._listener.stop_accepting()

    async def stop(self, limit_s: float) -> None:
        """Close connections after their responses, at the latest after ``limit_s``."""
        self.stop_listening()
        await self._listener.stop(limit_s)

    @property
    def _is_leaving(self) -> bool:
        """Return whether each connection is closed after its next response."""
        return self.state.phase is lifecycle.Phase.LEAVING

    def _idle_timeout_s(self) -> float:
        table = self.state.table
        limits = routing.Limits() if table is None else table.configuration.limits
        return limits.idle_timeout_s

    async def handle(
        self, request: web_request.BaseRequest
    ) -> web_response.StreamResponse:
        """
        Serve one request.

        Raises ``asyncio.CancelledError`` if the caller disconnects, or if its
        connection was aborted because a streamed response was truncated.
        """
        self.in_flight += 1
        try:
            pending = await self._await_response(request)
            response = await self._deliver(request, pending)
            if not job_factory.handover_count(request.headers):
                # The gateway that handed it over counts it.
                self.state.demand.count(_declared_body_bytes(request, response))
            return response
        finally:
            self.in_flight -= 1

    def start_early(
        self, request: web_request.BaseRequest
    ) -> pipelining.ResponseTask | None:
        """
        Start processing a pipelined request before its turn, if it is repeatable.

        The connection then stays open until its response is sent, so no request is
        started early once this gateway is stopping.
        """
        table = self.state.table
        if self.closing or self._is_leaving or table is None:
            return None
        route = table.find(request.headers.get("Host", ""), request.raw_path)
        if not isinstance(route, routing.Route) or not route.repeatable:
            return None
        return asyncio.ensure_future(self._process_early(request))

    async def _process_early(
        self, request: web_request.BaseRequest
    ) -> pipelining.PendingResponse:
        self.in_flight += 1
        try:
            return await self._process(request)
        finally:
            self.in_flight -= 1

    async def _await_response(
        self, request: web_request.BaseRequest
    ) -> pipelining.PendingResponse:
        task = pipelining.take_task(request)
        if task is None:
            return await self._process(request)
        try:
            return await task
        except asyncio.CancelledError:
            pipelining.discard(task)
            raise

    async def _deliver(
        self, request: web_request.BaseRequest, pending: pipelining.PendingResponse
    ) -> web_response.StreamResponse:
        """Return the response; one that is streamed has been sent already."""
        should_close = self._is_leaving and not pipelining.has_pending_responses(
            request
        )
        if isinstance(pending, answer_stream.StreamedResponse):
            return await self._stream(request, pending, close_connection=should_close)
        if should_close:
            pending.force_close()
        return pending

    async def _process(
        self, request: web_request.BaseRequest
    ) -> pipelining.PendingResponse:
        if self.closing:
            return refusals.not_ready()
        return await self.processor.process(request)

    async def _stream(
        self,
        request: web_request.BaseRequest,
        pending: answer_stream.StreamedResponse,
        *,
        close_connection: bool,
    ) -> web_response.StreamResponse:
        """
        Stream a response; abort the connection if it can't be completed.

        The caller would take an error response for the rest of the body.
        """
        try:
            async with self.state.deadlines.until(pending.deadline):
                response = await answer_stream.send(
                    request, pending, close_connection=close_connection
                )
        except (TimeoutError, answer_stream.TruncatedResponseError):
            # If the handler returns no response, aiohttp sends nothing more.
            if request.transport is not None:
                request.transport.abort()
            raise asyncio.CancelledError from None
        pending.on_sent()
        return response


def _declared_body_bytes(
    request: web_request.BaseRequest, response: web_response.StreamResponse
) -> int:
    """Return the sum of both Content-Lengths in bytes; a missing one counts as 0."""
    return (request.content_length or 0) + (response.content_length or 0)
