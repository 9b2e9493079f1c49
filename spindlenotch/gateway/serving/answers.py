"""
What counts as an upstream's whole answer, and what may not be passed on.

An answer is read whole before its head goes to the caller, where it is short
enough: one that breaks off can still be replaced by another upstream's. Holds
no state; relies on ``forwarding.data_path`` for the exchange and on the driver
for telling a body's true end from a lost connection.
"""

import msgspec

from spindlenotch import headers, ports
from spindlenotch.forwarding import exchanges

#: Bytes of the longest answer that is read whole; bounds the memory that one request
#: takes.
MAX_BUFFERED_RESPONSE_BYTES = 128 * 1024
#: Statuses by which a caller knows that its request has not run and may be sent
#: again. Defined by the protocol with callers.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class BufferedResponse(msgspec.Struct, frozen=True):
    """An answer whose body has come to its true end."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class PartialResponse(msgspec.Struct, frozen=True):
    """An answer too long to be read whole; its exchange holds the rest."""

    received: bytes


class TruncatedResponse(msgspec.Struct, frozen=True):
    """An answer that broke off; nothing of it has gone to the caller."""


async def read(
    exchange: exchanges.Exchange,
) -> BufferedResponse | PartialResponse | TruncatedResponse:
    """
    Read an answer to its end, or to the length from which it is streamed.

    The exchange ends itself where its body ends, breaks off or is cancelled; only
    that of a ``PartialResponse`` is still open.
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


def end_to_end_headers(exchange: exchanges.Exchange) -> list[tuple[str, str]]:
    """Return the answer's headers that go on to the caller, without its length."""
    return headers.end_to_end(exchange.answer.headers, {"content-length"})


def implies_not_run(exchange: exchanges.Exchange) -> bool:
    """
    Tell whether a caller would wrongly conclude that its request has not run.

    The data path has already taken out the answers by which an upstream says so
    in its dialect. One that is left with such a status may come from a request
    that ran, so its outcome is unknown.
    """
    return exchange.answer.status in NOT_RUN_STATUSES


def _buffered(exchange: exchanges.Exchange, body: bytes) -> BufferedResponse:
    return BufferedResponse(exchange.answer.status, end_to_end_headers(exchange), body)
