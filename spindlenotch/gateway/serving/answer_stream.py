"""
Streams a long response to the caller in chunks, with bounded memory.

Once the head is sent, the response can't be replaced by a retry. If the upstream
fails after that, the caller's connection is aborted, so that the caller does not
take a truncated body for a complete one. Holds no state.
"""

from collections import abc

import msgspec
import multidict
from aiohttp import web_request, web_response

from spindlenotch import ids, ports
from spindlenotch.gateway.serving import answers
from spindlenotch.kernel import upstreams


class TruncatedResponseError(Exception):
    """Raised if a response is truncated after its head was sent."""


class StreamedResponse(msgspec.Struct, frozen=True):
    """
    A response to stream to the caller, of which nothing has been sent yet.

    ``received`` is the part of the body read so far; the rest is read from
    ``exchange``, which is still open. ``deadline`` is when the response must have been
    sent completely; ``on_sent`` is called when it has.
    """

    exchange: answers.OpenResponse
    received: bytes
    deadline: ids.Instant
    on_sent: abc.Callable[[], None]

    def discard(self) -> None:
        """End the exchange without sending anything."""
        self.exchange.end(upstreams.Result.CANCELLED)


async def send(
    request: web_request.BaseRequest,
    streamed: StreamedResponse,
    *,
    close_connection: bool,
) -> web_response.StreamResponse:
    """
    Send the head and the body of a response, then end its exchange.

    Raises ``TruncatedResponseError`` if the upstream's body ends early or writing to
    the caller times out, and aiohttp's connection errors if the caller disconnects.
    """
    exchange = streamed.exchange
    try:
        response = _prepare_head(exchange)
        if close_connection:
            response.force_close()
        await response.prepare(request)
        await response.write(streamed.received)
        await _copy_remaining(exchange, response)
        await response.write_eof()
    except TimeoutError:
        raise TruncatedResponseError from None
    finally:
        # No effect if the exchange has already ended.
        exchange.end(upstreams.Result.CANCELLED)
    return response


def _prepare_head(exchange: answers.OpenResponse) -> web_response.StreamResponse:
    response = web_response.StreamResponse(
        status=exchange.answer.status,
        headers=multidict.CIMultiDict(answers.end_to_end_headers(exchange)),
    )
    if exchange.answer.length is not None:
        response.content_length = exchange.answer.length
    return response


async def _copy_remaining(
    exchange: answers.OpenResponse, response: web_response.StreamResponse
) -> None:
    while True:
        chunk = await exchange.chunk()
        if isinstance(chunk, ports.UpstreamFault):
            raise TruncatedResponseError
        if not chunk:
            return
        await response.write(chunk)
