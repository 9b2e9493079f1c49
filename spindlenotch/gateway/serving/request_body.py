"""
Reading the body of a caller's request, whole where it is short enough.

A whole body can be sent again with a retry or a hedge; a streamed one is passed
on piece by piece in bounded memory and can be sent once. Relies on aiohttp for
the framing; holds no state.
"""

from collections import abc

import msgspec
from aiohttp import web_request

#: Bytes of the longest body that is read whole.
MAX_BUFFERED_BODY_BYTES = 1024 * 1024


class NoBody(msgspec.Struct, frozen=True):
    """The request has no body."""

    content: None = None
    known_bytes: int = 0


class BufferedBody(msgspec.Struct, frozen=True):
    """A body that was read to its end."""

    content: bytes

    @property
    def known_bytes(self) -> int:
        """Return the length in bytes."""
        return len(self.content)


class StreamedBody(msgspec.Struct, frozen=True):
    """
    A body that is read while it is sent; ``content`` can be iterated once.

    ``known_bytes`` is the declared length, zero where none was declared.
    """

    content: abc.AsyncIterable[bytes]
    known_bytes: int


class BodyTooLong(msgspec.Struct, frozen=True):
    """The declared length is beyond the operator's limit; nothing was read."""


Body = NoBody | BufferedBody | StreamedBody

_NO_BODY = NoBody()
_BODY_TOO_LONG = BodyTooLong()


async def read(
    request: web_request.BaseRequest, limit_bytes: int
) -> Body | BodyTooLong:
    """
    Read the body of a request of at most ``limit_bytes``.

    The limit holds for a declared length only. Raises aiohttp's payload errors
    where the caller breaks off.
    """
    if not request.body_exists:
        return _NO_BODY
    declared = request.content_length
    if declared is not None and declared > limit_bytes:
        return _BODY_TOO_LONG
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    if declared is not None and declared > MAX_BUFFERED_BODY_BYTES:
        return StreamedBody(_chunks(request, []), declared)
    return await _read_buffered(request)


async def _read_buffered(
    request: web_request.BaseRequest,
) -> BufferedBody | StreamedBody:
    """Read to the end, or go over to streaming where the body is too long."""
    chunks: list[bytes] = []
    size = 0
    async for chunk in request.content.iter_any():
        chunks.append(chunk)
        size += len(chunk)
        if size > MAX_BUFFERED_BODY_BYTES:
            return StreamedBody(_chunks(request, chunks), request.content_length or 0)
    return BufferedBody(b"".join(chunks))


async def _chunks(
    request: web_request.BaseRequest, received: list[bytes]
) -> abc.AsyncIterator[bytes]:
    """Yield what was read already, then the rest as it comes."""
    for chunk in received:
        yield chunk
    async for chunk in request.content.iter_any():
        yield chunk
