"""
The port that callers connect to: HTTP/1.1 by aiohttp's server.

``GET /v1/entries`` says which entry hosts to use, until when, and mints
tickets; ``/s/SERVICE/...`` carries requests. Bodies stream both ways with
bounded memory. Every answer says what became of the request.
"""

import asyncio
import math
import typing
from collections import abc

import msgspec
from aiohttp import web

from spindlenotch import api, headers, ids, ports
from spindlenotch.entry import admit, entry_state, front, once, once_runs, texts
from spindlenotch.forwarding import data_path
from spindlenotch.kernel import outcomes, upstreams
from spindlenotch.peers import gossip

#: Bodies up to this size are read whole, so that they can be sent again.
WHOLE_BODY = 64 * 1024
MAX_ENTRIES_NAMED = 8
MAX_TICKETS = 64
MAX_HEADER_BYTES = 16 * 1024
KEEPALIVE_S = 75.0


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
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, host, port, backlog=1024)
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
            return self._entries(request)
        return web.Response(status=404, text="no such path\n")

    def _entries(self, request: web.BaseRequest) -> web.Response:
        config = self.state.config
        text = request.query.get("tickets", "0")
        if not (text.isascii() and text.isdigit() and int(text) <= MAX_TICKETS):
            return web.Response(
                status=400, text=f"tickets: a whole number up to {MAX_TICKETS}\n"
            )
        if not self.state.readiness.serves:
            return self._refuse(
                request, self.front.not_ready({}), self.state.next_call_id()
            )
        now = self.state.clock.now()
        answer = api.EntriesAnswer(
            self._named(),
            int(config.hand_out_s * 1000),
            tuple(self.state.mint.mint(now) for _ in range(int(text))),
        )
        body = msgspec.json.encode(answer)
        return web.Response(body=body, content_type="application/json")

    def _named(self) -> tuple[api.NamedEntry, ...]:
        """Name ready entries, those of this zone first, at random otherwise."""
        state = self.state
        ready = [
            api.NamedEntry(k.record.address, k.record.zone)
            for k in state.gossip.known_by_host.values()
            if k.record.status is gossip.Status.READY and not k.suspected
        ]
        if state.readiness.handed_out or not ready:
            ready.append(api.NamedEntry(state.gossip.local.address, state.config.zone))
        state.rng.shuffle(ready)
        ready.sort(key=lambda e: e.zone != state.config.zone)
        return tuple(ready[:MAX_ENTRIES_NAMED])

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
                request.method,
                request.raw_path,
                request.headers,
                list(request.headers.items()),
            )
            admitted = self.front.check(incoming)
            if isinstance(admitted, outcomes.Refusal):
                response = self._refuse(request, admitted, call_id)
                return response
            service = admitted.service.name
            body = await _read_body(request)
            result = await self.front.run(incoming, admitted, call_id, sent_at, body)
            response = await self._respond(request, result, call_id)
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

    async def _respond(
        self, request: web.BaseRequest, result: once_runs.Result, call_id: ids.CallId
    ) -> web.StreamResponse:
        if isinstance(result, outcomes.Refusal):
            return self._refuse(request, result, call_id)
        if isinstance(result, once.KeptAnswer):
            return self._kept(request, result, call_id)
        return await self._relay(request, result, call_id)

    async def _relay(
        self,
        request: web.BaseRequest,
        exchange: data_path.Exchange,
        call_id: ids.CallId,
    ) -> web.StreamResponse:
        answer = exchange.answer
        marks = self._marks(
            request, call_id, outcomes.Outcome.RAN, outcomes.Reason.SERVED
        )
        marks[headers.UPSTREAM] = exchange.grant.upstream.spec.id
        pairs = headers.end_to_end(answer.headers, _OWN_ANSWER)
        small = answer.length is not None and answer.length <= WHOLE_BODY
        if small and request.method != "HEAD":
            return await self._relay_whole(request, exchange, pairs, marks)
        response = _response(web.StreamResponse(status=answer.status), pairs, marks)
        has_body = request.method != "HEAD" and answer.status not in (204, 304)
        if answer.length is None and has_body and request.version >= (1, 1):
            response.enable_chunked_encoding()
        try:
            await response.prepare(request)
            while True:
                piece = await exchange.chunk()
                if isinstance(piece, ports.UpstreamFault):
                    _break(request)
                    return response
                if not piece:
                    break
                await response.write(piece)
            await response.write_eof()
        finally:
            exchange.end(upstreams.Result.CANCELLED)
        return response

    async def _relay_whole(
        self,
        request: web.BaseRequest,
        exchange: data_path.Exchange,
        pairs: list[tuple[str, str]],
        marks: dict[str, str],
    ) -> web.StreamResponse:
        pieces: list[bytes] = []
        while True:
            piece = await exchange.chunk()
            if isinstance(piece, ports.UpstreamFault):
                refusal = outcomes.unknown(outcomes.Reason.CONNECTION_LOST)
                call_id = ids.CallId(marks[headers.REQUEST_ID])
                return self._refuse(request, refusal, call_id)
            if not piece:
                break
            pieces.append(piece)
        body = b"".join(pieces)
        pairs = [(k, v) for k, v in pairs if k.lower() != "content-length"]
        response = web.Response(status=exchange.answer.status, body=body)
        return _response(response, pairs, marks)

    def _kept(
        self, request: web.BaseRequest, answer: once.KeptAnswer, call_id: ids.CallId
    ) -> web.StreamResponse:
        marks = self._marks(
            request, call_id, outcomes.Outcome.RAN, outcomes.Reason.SERVED
        )
        known = {k: v for k, v in answer.headers if k in _FROM_HOME}
        marks.update(known)
        pairs = [
            (k, v)
            for k, v in answer.headers
            if k.lower() != "content-length" and k not in marks
        ]
        response = web.Response(status=answer.status, body=answer.body)
        return _response(response, pairs, marks)

    def _refuse(
        self, request: web.BaseRequest, refusal: outcomes.Refusal, call_id: ids.CallId
    ) -> web.Response:
        """Give the final answer now, with a time to come back where known."""
        marks = self._marks(request, call_id, refusal.outcome, refusal.reason)
        wait_ms = None
        if refusal.retry_at is not None:
            wait_s = max(0.0, refusal.retry_at - self.state.clock.now())
            wait_ms = int(math.ceil(wait_s * 1000))
            marks["Retry-After"] = str(max(1, math.ceil(wait_s)))
            marks[headers.RETRY_AFTER_MS] = str(wait_ms)
        body = api.RefusalBody(
            refusal.outcome.value,
            refusal.reason.value,
            texts.TEXT_BY_REASON[refusal.reason],
            refusal.detail,
            call_id,
            wait_ms,
        )
        return web.Response(
            status=texts.status_of(refusal.reason),
            body=msgspec.json.encode(body),
            content_type="application/json",
            headers=marks,
        )

    def _marks(
        self,
        request: web.BaseRequest,
        call_id: ids.CallId,
        outcome: outcomes.Outcome,
        reason: outcomes.Reason,
    ) -> dict[str, str]:
        # A peer that forwarded the request checks that its own id comes back.
        shown: str = call_id
        if headers.FORWARDED in request.headers:
            shown = request.headers.get(headers.REQUEST_ID, call_id)
        marks = {
            headers.OUTCOME: outcome.value,
            headers.REASON: reason.value,
            headers.REQUEST_ID: shown,
        }
        if not self.state.readiness.handed_out:
            marks["Connection"] = "close"
        return marks


_FROM_HOME = (headers.OUTCOME, headers.REASON, headers.UPSTREAM, headers.RETRY_AFTER_MS)
_OWN_ANSWER = frozenset(
    name.lower() for name in (headers.OUTCOME, headers.REASON, headers.REQUEST_ID)
)

_Response = typing.TypeVar("_Response", bound=web.StreamResponse)


def _response(
    response: _Response, pairs: list[tuple[str, str]], marks: dict[str, str]
) -> _Response:
    # aiohttp sets a content type of its own where none is given.
    response.headers.popall("Content-Type", None)
    for name, value in pairs:
        response.headers.add(name, value)
    response.headers.update(marks)
    return response


def _break(request: web.BaseRequest) -> None:
    """Cut the connection, so that nobody takes a part for the whole."""
    if request.transport is not None:
        request.transport.abort()


async def _read_body(
    request: web.BaseRequest,
) -> bytes | abc.AsyncIterable[bytes] | None:
    if not request.body_exists:
        return None
    pieces: list[bytes] = []
    size = 0
    while size <= WHOLE_BODY:
        piece = await request.content.readany()
        if not piece:
            return b"".join(pieces)
        pieces.append(piece)
        size += len(piece)
    return _stream(b"".join(pieces), request)


async def _stream(first: bytes, request: web.BaseRequest) -> abc.AsyncIterator[bytes]:
    yield first
    while piece := await request.content.readany():
        yield piece


async def drained(port: CallerPort, poll_s: float = 0.05) -> None:
    """Return once no request is in flight."""
    while port.in_flight:
        await asyncio.sleep(poll_s)
