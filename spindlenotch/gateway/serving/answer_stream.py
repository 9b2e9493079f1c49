"""
Passes a long answer on to the caller piece by piece, in bounded memory.

Once the head has gone out, the answer can't be replaced: where the upstream
breaks off, the caller's connection is broken too, so that the caller does not
take what it has for the whole. Holds no state.
"""

import msgspec
import multidict
from aiohttp import web_request, web_response

from spindlenotch import ids, ports
from spindlenotch.forwarding import exchanges
from spindlenotch.gateway.serving import answers
from spindlenotch.kernel import upstreams


class TruncatedResponseError(Exception):
    """Raised when an answer breaks off after its head was passed on."""


class StreamedResponse(msgspec.Struct, frozen=True):
    """
    A long answer that is to be passed on; nothing of it has gone out yet.

    ``received`` was read already; ``exchange`` is open and holds the rest."""

    exchange: exchanges.Exchange
    received: bytes

    @property
    def deadline(self) -> ids.Instant:
        """Return when it must have gone out."""
        return self.exchange.job.call.deadline

    def discard(self) -> None:
        """End the exchange without passing anything on."""
        self.exchange.end(upstreams.Result.CANCELLED)


async def send(
    request: web_request.BaseRequest,
    streamed: StreamedResponse,
    *,
    close_connection: bool,
) -> web_response.StreamResponse:
    """
    Send the head, the start and the rest of an answer; end its exchange.

    Raises ``TruncatedResponseError`` where the upstream breaks off or the caller's
    connection times out, and aiohttp's connection errors where it is closed.
    """
    exchange = streamed.exchange
    response = _prepare_head(exchange)
    if close_connection:
        response.force_close()
    try:
        await response.prepare(request)
        await response.write(streamed.received)
        await _copy_remaining(exchange, response)
        await response.write_eof()
    except TimeoutError:
        raise TruncatedResponseError from None
    finally:
        # Changes nothing where the exchange has come to its end.
        exchange.end(upstreams.Result.CANCELLED)
    return response


def _prepare_head(exchange: exchanges.Exchange) -> web_response.StreamResponse:
    response = web_response.StreamResponse(
        status=exchange.answer.status,
        headers=multidict.CIMultiDict(answers.end_to_end_headers(exchange)),
    )
    if exchange.answer.length is not None:
        response.content_length = exchange.answer.length
    return response


async def _copy_remaining(
    exchange: exchanges.Exchange, response: web_response.StreamResponse
) -> None:
    while True:
        chunk = await exchange.chunk()
        if isinstance(chunk, ports.UpstreamFault):
            raise TruncatedResponseError
        if not chunk:
            return
        await response.write(chunk)
