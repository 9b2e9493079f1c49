"""
Reads the bodies of callers' requests.

A small body is read whole, so that the request can be sent again and can
outlive its caller's connection; a larger one streams with bounded memory.
"""

from collections import abc

from aiohttp import web

#: Bodies of requests and of answers up to this size are held whole, in bytes.
MAX_WHOLE_BODY = 64 * 1024


async def read_body(
    request: web.BaseRequest,
) -> bytes | abc.AsyncIterable[bytes] | None:
    """Return the body whole, or as a stream where it is large; None without one."""
    if not request.body_exists:
        return None
    pieces: list[bytes] = []
    size = 0
    while size <= MAX_WHOLE_BODY:
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
