"""
Reads the body of a caller's request: buffered if it is short, else streamed.

A buffered body can be sent again with a retry or a hedge. A streamed one is
forwarded in chunks with bounded memory and can be sent only once. Relies on aiohttp
for the framing; holds no state.
"""

from collections import abc

import msgspec
from aiohttp import web_request

#: Size in bytes above which a body is streamed instead of buffered.
MAX_BUFFERED_BODY_BYTES = 1024 * 1024


class NoBody(msgspec.Struct, frozen=True):
    """The request has no body."""

    content: None = None
    known_bytes: int = 0


class BufferedBody(msgspec.Struct, frozen=True):
    """A body that was read completely."""

    content: bytes

    @property
    def known_bytes(self) -> int:
        """Return the length in bytes."""
        return len(self.content)


class StreamedBody(msgspec.Struct, frozen=True):
    """
    A body that is read while it is sent; ``content`` can be iterated once.

    ``known_bytes`` is the Content-Length, zero if there is none.
    """

    content: abc.AsyncIterable[bytes]
    known_bytes: int


class BodyTooLong(msgspec.Struct, frozen=True):
    """The Content-Length exceeds the operator's limit; nothing was read."""


Body = NoBody | BufferedBody | StreamedBody

_NO_BODY = NoBody()
_BODY_TOO_LONG = BodyTooLong()


async def read(
    request: web_request.BaseRequest, limit_bytes: int
) -> Body | BodyTooLong:
    """
    Read the body of a request of at most ``limit_bytes``.

    The limit applies only if there is a Content-Length. Raises aiohttp's payload
    errors if the body is truncated.
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
    """Read the whole body, or switch to streaming if it is too long to buffer."""
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
    """Yield the chunks received so far, then the rest as it arrives."""
    for chunk in received:
        yield chunk
    async for chunk in request.content.iter_any():
        yield chunk
