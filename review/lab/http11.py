"""The little of HTTP/1.1 that the stand-ins need, on plain streams."""

import asyncio
import dataclasses
import socket
import struct
import urllib.parse

HEAD_END = b"\r\n\r\n"


class BadMessageError(Exception):
    """Raised where the bytes on a connection are no message of the protocol."""


@dataclasses.dataclass(slots=True)
class Request:
    """A request as it was read; the names of ``fields`` are in lower case."""

    method: str
    target: str
    fields: dict[str, str]

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Return the query; of a repeated name the last value."""
        return dict(urllib.parse.parse_qsl(self.target.partition("?")[2]))


@dataclasses.dataclass(slots=True)
class Answer:
    """An answer as a client read it; ``is_whole``: its framing was satisfied."""

    status: int
    fields: dict[str, str]
    body: bytes
    is_whole: bool


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read the head of a request."""
    first, fields = _parse(await reader.readuntil(HEAD_END))
    parts = first.split(" ")
    if len(parts) != 3:
        raise BadMessageError(first)
    return Request(parts[0], parts[1], fields)


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Read a body that has a length or comes in chunks; empty where it has neither."""
    if fields.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(fields.get("content-length", "0")))
    pieces = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        pieces.append(await reader.readexactly(size))
        await reader.readexactly(2)
        if not size:
            return b"".join(pieces)


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read an answer; an error of the connection is raised until its head is in."""
    while True:
        first, fields = _parse(await reader.readuntil(HEAD_END))
        parts = first.split(" ", 2)
        if len(parts) < 2 or not parts[0].startswith("HTTP/1.") or len(parts[1]) != 3:
            raise BadMessageError(first)
        status = int(parts[1])
        if status >= 200:
            break
    is_framed = "content-length" in fields or "transfer-encoding" in fields
    try:
        body = await (read_body(reader, fields) if is_framed else reader.read(-1))
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return Answer(status, fields, b"", is_whole=False)
    return Answer(status, fields, body, is_whole=True)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that its peer gets a reset."""
    if not writer.transport.is_closing():
        connection = writer.get_extra_info("socket")
        no_linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    writer.transport.abort()


def _parse(head: bytes) -> tuple[str, dict[str, str]]:
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if ":" in line)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}
