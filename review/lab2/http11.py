"""HTTP/1.1 on plain streams, for the stand-ins: heads, bodies and answers."""

import asyncio
import socket
import struct
import typing

REQUEST_ID = "x-spindlenotch-request-id"


class Head(typing.NamedTuple):
    """The first line of a message, split at spaces, and its fields in lower case."""

    line: list[str]
    fields: dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read the head of a request or an answer."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return Head(lines[0].split(" ", 2), fields)


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Read a body that has a length or comes in chunks."""
    if "chunked" in fields.get("transfer-encoding", "").lower():
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if not size:
                return b"".join(parts)
    return await reader.readexactly(int(fields.get("content-length", "0")))


def answer(
    status: str, body: bytes = b"", fields: dict[str, str] | None = None
) -> bytes:
    """Return a whole answer."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection instead of closing it."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


def free_port(ip: str) -> int:
    """Return a TCP port that is free on a loopback address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])
