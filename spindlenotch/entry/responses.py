"""
Turns the result of a request into the HTTP response to its caller.

Every response carries headers that say what became of the request. An
upstream's answer streams through with bounded memory; a small one is read
whole first, so that one that breaks off becomes a refusal.
"""

import math
import typing

import msgspec
from aiohttp import web

from spindlenotch import api, headers, ids, ports
from spindlenotch.entry import bodies, entry_state, once, once_runs, texts
from spindlenotch.forwarding import exchanges
from spindlenotch.kernel import outcomes, upstreams

#: Statuses whose responses have no body: RFC 9110, sections 15.3.5 and 15.4.5.
BODILESS_STATUSES = (204, 304)
#: Least seconds of a ``Retry-After`` header, which counts whole ones.
LEAST_RETRY_AFTER_S = 1

#: Response headers that a home's answer brings and that replace our own.
_FROM_HOME = (headers.OUTCOME, headers.REASON, headers.UPSTREAM, headers.RETRY_AFTER_MS)
#: Response headers that an upstream cannot set.
_SET_HERE = frozenset(
    name.lower() for name in (headers.OUTCOME, headers.REASON, headers.REQUEST_ID)
)
#: aiohttp sets the length of a whole body by itself.
_SET_WITH_WHOLE_BODY = _SET_HERE | {"content-length"}

_Response = typing.TypeVar("_Response", bound=web.StreamResponse)


class Responder:
    """Writes the responses of one entry."""

    def __init__(self, state: entry_state.EntryState) -> None:
        self.state = state

    async def respond(
        self,
        request: web.BaseRequest,
        result: once_runs.Result,
        call_id: ids.CallId,
    ) -> web.StreamResponse:
        """Answer with a result; an answer that streams is written whole here."""
        if isinstance(result, outcomes.Refusal):
            return self.refuse(request, result, call_id)
        if isinstance(result, once.KeptAnswer):
            return self._give_kept(request, result, call_id)
        return await self._relay(request, result, call_id)

    def refuse(
        self, request: web.BaseRequest, refusal: outcomes.Refusal, call_id: ids.CallId
    ) -> web.Response:
        """Refuse at once, with the time after which to ask again where known."""
        response_headers = self._outcome_headers(
            request, call_id, refusal.outcome, refusal.reason
        )
        retry_after_ms = None
        if refusal.retry_at is not None:
            retry_after_s = max(0.0, refusal.retry_at - self.state.clock.now())
            retry_after_ms = int(math.ceil(retry_after_s * 1000))
            whole_s = max(LEAST_RETRY_AFTER_S, math.ceil(retry_after_s))
            response_headers["Retry-After"] = str(whole_s)
            response_headers[headers.RETRY_AFTER_MS] = str(retry_after_ms)
        body = api.RefusalBody(
            outcome=refusal.outcome.value,
            reason=refusal.reason.value,
            text=texts.TEXT_BY_REASON[refusal.reason],
            detail=refusal.detail,
            request_id=call_id,
            retry_after_ms=retry_after_ms,
        )
        return web.Response(
            status=texts.status_of(refusal.reason),
            body=msgspec.json.encode(body),
            content_type="application/json",
            headers=response_headers,
        )

    def _give_kept(
        self, request: web.BaseRequest, answer: once.KeptAnswer, call_id: ids.CallId
    ) -> web.Response:
        response_headers = self._outcome_headers(
            request, call_id, outcomes.Outcome.RAN, outcomes.Reason.SERVED
        )
        response_headers.update(
            {name: value for name, value in answer.headers if name in _FROM_HOME}
        )
        passed_on = [
            (name, value)
            for name, value in answer.headers
            if name.lower() != "content-length" and name not in response_headers
        ]
        response = web.Response(status=answer.status, body=answer.body)
        return _with_headers(response, passed_on, response_headers)

    async def _relay(
        self,
        request: web.BaseRequest,
        exchange: exchanges.Exchange,
        call_id: ids.CallId,
    ) -> web.StreamResponse:
        answer = exchange.answer
        response_headers = self._outcome_headers(
            request, call_id, outcomes.Outcome.RAN, outcomes.Reason.SERVED
        )
        response_headers[headers.UPSTREAM] = exchange.grant.upstream.spec.id
        small = answer.length is not None and answer.length <= bodies.MAX_WHOLE_BODY
        if not small or request.method == "HEAD":
            return await self._relay_stream(request, exchange, response_headers)
        body = await _read_whole(exchange)
        if body is None:
            refusal = outcomes.unknown(outcomes.Reason.CONNECTION_LOST)
            return self.refuse(request, refusal, _shown_id(request, call_id))
        passed_on = headers.end_to_end(answer.headers, _SET_WITH_WHOLE_BODY)
        response = web.Response(status=answer.status, body=body)
        return _with_headers(response, passed_on, response_headers)

    async def _relay_stream(
        self,
        request: web.BaseRequest,
        exchange: exchanges.Exchange,
        response_headers: dict[str, str],
    ) -> web.StreamResponse:
        answer = exchange.answer
        passed_on = headers.end_to_end(answer.headers, _SET_HERE)
        response = web.StreamResponse(status=answer.status)
        _with_headers(response, passed_on, response_headers)
        has_body = request.method != "HEAD" and answer.status not in BODILESS_STATUSES
        if answer.length is None and has_body and request.version >= (1, 1):
            response.enable_chunked_encoding()
        try:
            await response.prepare(request)
            while piece := await exchange.chunk():
                if isinstance(piece, ports.UpstreamFault):
                    _abort_connection(request)
                    return response
                await response.write(piece)
            await response.write_eof()
        finally:
            exchange.end(upstreams.Result.CANCELLED)
        return response

    def _outcome_headers(
        self,
        request: web.BaseRequest,
        call_id: ids.CallId,
        outcome: outcomes.Outcome,
        reason: outcomes.Reason,
    ) -> dict[str, str]:
        """Return the headers that say what became of the request, in wire order."""
        response_headers = {
            headers.OUTCOME: outcome.value,
            headers.REASON: reason.value,
            headers.REQUEST_ID: _shown_id(request, call_id),
        }
        if not self.state.readiness.handed_out:
            response_headers["Connection"] = "close"
        return response_headers


def _shown_id(request: web.BaseRequest, call_id: ids.CallId) -> ids.CallId:
    """Return the id of the response: a peer that forwarded checks for its own."""
    if headers.FORWARDED not in request.headers:
        return call_id
    return ids.CallId(request.headers.get(headers.REQUEST_ID, call_id))


def _with_headers(
    response: _Response,
    passed_on: list[tuple[str, str]],
    response_headers: dict[str, str],
) -> _Response:
    # aiohttp sets a content type of its own where none is given.
    response.headers.popall("Content-Type", None)
    for name, value in passed_on:
        response.headers.add(name, value)
    response.headers.update(response_headers)
    return response


async def _read_whole(exchange: exchanges.Exchange) -> bytes | None:
    """Return the body of an answer; None where it broke off."""
    pieces: list[bytes] = []
    while piece := await exchange.chunk():
        if isinstance(piece, ports.UpstreamFault):
            return None
        pieces.append(piece)
    return b"".join(pieces)


def _abort_connection(request: web.BaseRequest) -> None:
    """Cut the connection, so that nobody takes a part for the whole."""
    if request.transport is not None:
        request.transport.abort()
