"""
The port that callers connect to: HTTP/1.1 by aiohttp's server.

``GET /v1/entries`` says which entry hosts to use, until when, and mints
tickets (``named_entries``); ``/s/SERVICE/...`` carries requests. Bodies are
read by ``bodies`` and answers written by ``responses``; this module routes and
counts requests.
"""

import asyncio

import msgspec
from aiohttp import web

from spindlenotch import headers, ids
from spindlenotch.entry import (
    admit,
    bodies,
    entry_state,
    front,
    named_entries,
    responses,
)
from spindlenotch.kernel import outcomes

#: Longest header field that is read, in bytes.
MAX_HEADER_BYTES = 16 * 1024
#: An idle connection is closed after this, in seconds.
KEEPALIVE_S = 75.0
#: Connections that wait to be accepted, at the most.
BACKLOG = 1024
#: How long closing waits for open connections, in seconds: a planned stop has waited
#: for the requests in flight before.
SHUTDOWN_S = 0.1
#: How often a planned stop looks whether requests are left, in seconds.
DRAIN_CHECK_S = 0.05


class CallerPort:
    """
    Serves callers.

    Invariant: ``in_flight`` counts the requests whose answer has not ended;
    a planned stop waits until it is zero.
    """

    def __init__(self, state: entry_state.EntryState, served: front.Front) -> None:
        self.state = state
        self.front = served
        self.in_flight = 0
        self._responder = responses.Responder(state)
        self._runner: web.ServerRunner | None = None
        self._site: web.TCPSite | None = None

    async def start(self, host: str, port: int) -> ids.Address:
        """Listen; return the address in use."""
        server = web.Server(
            self.handle,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_S,
            max_field_size=MAX_HEADER_BYTES,
            access_log=None,
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_S)
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, host, port, backlog=BACKLOG)
        await self._site.start()
        bound = self._runner.addresses[0][1]
        return ids.Address(f"{host}:{bound}")

    async def stop_listening(self) -> None:
        """Take no new connections; those that are open go on."""
        if self._site is not None:
            await self._site.stop()

    async def close(self) -> None:
        """Close every connection that is left."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        sent_at = self.front.arrived()
        if request.raw_path.startswith(admit.SERVICE_PREFIX):
            return await self._serve(request, sent_at)
        if request.path == "/v1/entries" and request.method == "GET":
            return self._answer_entries(request)
        return web.Response(status=404, text="no such path\n")

    def _answer_entries(self, request: web.BaseRequest) -> web.Response:
        tickets = named_entries.ticket_count(request.query.get("tickets", "0"))
        if tickets is None:
            most = named_entries.MAX_TICKETS
            return web.Response(
                status=400, text=f"tickets: a whole number up to {most}\n"
            )
        if not self.state.readiness.serves:
            return self._responder.refuse(
                request, self.front.not_ready({}), self.state.next_call_id()
            )
        body = msgspec.json.encode(named_entries.answer(self.state, tickets))
        return web.Response(body=body, content_type="application/json")

    async def _serve(
        self, request: web.BaseRequest, sent_at: ids.Instant
    ) -> web.StreamResponse:
        state = self.state
        call_id = state.next_call_id()
        began = state.clock.now()
        self.in_flight += 1
        state.metrics.in_flight.set(self.in_flight)
        service = "-"
        response: web.StreamResponse | None = None
        try:
            incoming = front.Incoming(
                method=request.method,
                raw_path=request.raw_path,
                fields=request.headers,
                pairs=list(request.headers.items()),
            )
            admitted = self.front.check(incoming)
            if isinstance(admitted, outcomes.Refusal):
                response = self._responder.refuse(request, admitted, call_id)
                return response
            service = admitted.service.name
            body = await bodies.read_body(request)
            result = await self.front.run(incoming, admitted, call_id, sent_at, body)
            response = await self._responder.respond(request, result, call_id)
            return response
        finally:
            self.in_flight -= 1
            state.metrics.in_flight.set(self.in_flight)
            self._count(service, response, state.clock.now() - began)

    def _count(
        self, service: str, response: web.StreamResponse | None, took_s: float
    ) -> None:
        outcome, reason = "unknown", outcomes.Reason.CALLER_GONE.value
        if response is not None:
            outcome = response.headers.get(headers.OUTCOME, outcome)
            reason = response.headers.get(headers.REASON, reason)
        self.state.metrics.requests.labels(service, outcome, reason).inc()
        self.state.metrics.request_time.labels(service).observe(took_s)


async def drained(port: CallerPort, poll_s: float = DRAIN_CHECK_S) -> None:
    """Return once no request is in flight; look every ``poll_s`` seconds."""
    while port.in_flight:
        await asyncio.sleep(poll_s)
