"""
Reads an upstream's response and decides whether it may go to the caller.

A response of up to ``MAX_BUFFERED_RESPONSE_BYTES`` is buffered completely before its
head is sent to the caller, so that a truncated one can still be replaced by a retry
on another upstream. Holds no state. Relies on ``forwarding.data_path`` for the
exchange and on the driver to distinguish the end of a body from a lost connection.
"""

import typing

import msgspec

from spindlenotch import headers, ports
from spindlenotch.forwarding import exchanges
from spindlenotch.kernel import upstreams

#: Size in bytes above which a response is streamed instead of buffered; bounds the
#: memory per request.
MAX_BUFFERED_RESPONSE_BYTES = 128 * 1024
#: Statuses that tell a caller that its request was not executed and may be retried.
#: Defined by the protocol between gateway and callers.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class OpenResponse(typing.Protocol):
    """A response whose body is being read; see ``exchanges.Exchange``."""

    answer: ports.UpstreamAnswer

    async def chunk(self) -> bytes | ports.UpstreamFault:
        """Return the next chunk of the body; empty only at the end of a whole body."""

    def end(self, result: upstreams.Result) -> None:
        """Stop reading the body; calls after the first do nothing."""


class BufferedResponse(msgspec.Struct, frozen=True):
    """A response whose body was received completely."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class PartialResponse(msgspec.Struct, frozen=True):
    """A response too long to buffer; the rest is read from its exchange."""

    received: bytes


class TruncatedResponse(msgspec.Struct, frozen=True):
    """A response that ended early, before any of it was sent to the caller."""


async def read(
    exchange: OpenResponse,
) -> BufferedResponse | PartialResponse | TruncatedResponse:
    """
    Read a response completely, or up to the size above which it is streamed.

    The exchange ends itself when the body is complete, truncated or cancelled. It is
    still open only if a ``PartialResponse`` is returned.
    """
    chunks: list[bytes] = []
    size = 0
    while size <= MAX_BUFFERED_RESPONSE_BYTES:
        chunk = await exchange.chunk()
        if isinstance(chunk, ports.UpstreamFault):
            return TruncatedResponse()
        if not chunk:
            return _buffered(exchange, b"".join(chunks))
        chunks.append(chunk)
        size += len(chunk)
    return PartialResponse(b"".join(chunks))


def end_to_end_headers(exchange: OpenResponse) -> list[tuple[str, str]]:
    """Return the end-to-end headers of the response, without Content-Length."""
    return headers.end_to_end(exchange.answer.headers, {"content-length"})


def implies_not_run(exchange: exchanges.Exchange) -> bool:
    """
    Return whether the caller would take the status to mean "not executed".

    The data path has already handled the responses in which an upstream states in
    its dialect that it did not execute the request. Any other response with such a
    status may belong to a request that was executed, so the outcome is unknown.
    """
    return exchange.answer.status in NOT_RUN_STATUSES


def _buffered(exchange: OpenResponse, body: bytes) -> BufferedResponse:
    return BufferedResponse(exchange.answer.status, end_to_end_headers(exchange), body)
