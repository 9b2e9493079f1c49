"""
Responses that are not valid by RFC 9110 and RFC 9112, by kind, and valid ones.

All are responses to ``scripted_peer.request``. The bytes in them that a kind is about
stand between otherwise valid ones, so that a lenient reader takes each for a success,
for a load report and for an answer of the store.
"""

import dataclasses
import enum
from collections import abc

from features.support import scripted_peer

STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
FIELDS = (
    f"X-Spindlenotch-Request-Id: {scripted_peer.REQUEST_ID}\r\n"
    f"X-Spindlenotch-Server-Stamp: {scripted_peer.STAMP}\r\n"
    "X-Spindlenotch-Server-Load: 1,0,8,100\r\n"
).encode()
#: What the store answers to every call, as far as its fields are read.
BODY = b'{"items":[],"events":[],"more":false,"at":1,"revision":1}'
LENGTH = b"Content-Length: %d\r\n" % len(BODY)
CHUNKED = b"Transfer-Encoding: chunked\r\n"
LAST_CHUNK = b"0\r\n\r\n"
#: All bytes but those of a token (RFC 9110, section 5.6.2) and the colon.
NOT_IN_NAMES = bytes(
    byte
    for byte in range(256)
    if not (chr(byte).isascii() and chr(byte).isalnum())
    and byte not in b"!#$%&'*+-.^_`|~:"
)
#: The control bytes but HTAB; LF and CR end a line and are tried apart.
NOT_IN_VALUES = bytes(byte for byte in (*range(0x20), 0x7F) if byte not in b"\t\r\n")

#: From a worker's field lines and body to the pieces of what it sends; an empty piece
#: closes the connection.
Script = abc.Callable[[bytes, bytes], list[bytes]]


class Kind(enum.Enum):
    """What is wrong with a response."""

    STATUS_LINE = "status line"
    FIELD_LINE = "field line"
    TRANSFER_CODING = "transfer coding"
    CHUNKED_BODY = "chunked body"


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """The bytes of a response, and how long its valid beginning is."""

    data: bytes
    valid_bytes: int = 0


def response(
    status_line: bytes = STATUS_LINE,
    fields: bytes = FIELDS,
    framing: bytes = LENGTH,
    body: bytes = BODY,
) -> bytes:
    """Return a response; a valid one by default."""
    return status_line + fields + framing + b"\r\n" + body


def chunk(data: bytes = BODY) -> bytes:
    """Return a chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def _status_lines() -> abc.Iterator[bytes]:
    # No request asks for another protocol, so 101 answers none.
    for status in (b"000", b"001", b"099", b"101", b"600", b"700", b"999"):
        yield b"HTTP/1.1 " + status + b" OK\r\n"
        yield b"HTTP/1.1 " + status + b" \r\n"
        yield b"HTTP/1.1 " + status + b"\r\n"
    for status in (b"0", b"20", b"2000", b"-20", b"+20", b"0x2", b"2e2", b" 200", b""):
        yield b"HTTP/1.1 " + status + b" OK\r\n"
    for version in (
        *(b"HTTP/0.9", b"HTTP/1.2", b"HTTP/2.0", b"HTTP/3.0", b"HTTP/1", b"HTTP/11.1"),
        *(b"http/1.1", b"RTSP/1.0", b"ICE/1.0", b"SIP/2.0", b"HTTP 1.1", b" HTTP/1.1"),
    ):
        yield version + b" 200 OK\r\n"
    for byte in NOT_IN_VALUES + b"\r":
        yield b"HTTP/1.1 200 O%cK\r\n" % byte
    yield b"HTTP/1.1 200 OK\n"
    yield b"HTTP/1.1\t200 OK\r\n"
    yield b"HTTP/1.1 200\tOK\r\n"
    yield b"\r\n" + STATUS_LINE
    yield b"\n" + STATUS_LINE
    yield b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n"
    yield b"HTTP/1.1 100 Continue\r\n\r\nRTSP/1.0 200 OK\r\n"


def _field_lines() -> abc.Iterator[bytes]:
    """Return lines that are invalid wherever they are."""
    for byte in NOT_IN_NAMES.replace(b"\n", b"").replace(b"\r", b""):
        yield b"X-A%cB: c\r\n" % byte
        yield b"X-Ab%c: c\r\n" % byte
        yield b"%cX-Ab: c\r\n" % byte
    for byte in NOT_IN_VALUES + b"\r":
        yield b"X-Ab: c%cd\r\n" % byte
        yield b"X-Ab: %cd\r\n" % byte
        yield b"X-Ab: c%c\r\n" % byte
    for line in (
        b"X-Spindlenotch-Server-Stamp: i-other.zz",
        b"X-Spindlenotch-Not-Executed: 1",
        b"Content-Length: 5",
        b"Transfer-Encoding: chunked",
    ):
        yield b" " + line + b"\r\n"
        yield b"\t" + line + b"\r\n"
        yield line.replace(b":", b" :") + b"\r\n"
        yield line.replace(b"-", b"\x01", 1) + b"\r\n"
    for line in (
        b"X-Ab\r\n",
        b": c\r\n",
        b" \r\n",
        b"X-Ab: c\n",
        b"X-Ab: c\r\n\td\r\n",
    ):
        yield line


def _transfer_codings() -> abc.Iterator[bytes]:
    for coding in (
        *(b"", b"gzip", b"identity", b"xchunked", b"chunked, gzip", b"chunked;"),
        *(b"chunked;a=b", b'"chunked"', b"\x0bchunked", b"gzip, chunked", b"chunked "),
        *(b"chunked, chunked", b",chunked", b"chunked,", b"chunked\t"),
    ):
        # A blank or a tab at the end is no part of a value.
        if coding.strip(b" \t") != b"chunked":
            yield b"Transfer-Encoding: " + coding + b"\r\n"
    yield CHUNKED + CHUNKED
    yield CHUNKED + b"Transfer-Encoding: gzip\r\n"
    yield b"Transfer-Encoding: gzip\r\n" + CHUNKED
    yield CHUNKED + LENGTH
    yield LENGTH + CHUNKED


def _chunked_bodies() -> abc.Iterator[bytes]:
    """Return what may not follow a chunk."""
    for size in (b"+5", b"-5", b"0x5", b"5_0", b" 5", b"5 ", b"", b"zz", b"1" * 17):
        yield size + b"\r\nhello\r\n" + LAST_CHUNK
    yield b"5\nhello\r\n" + LAST_CHUNK
    yield b"5;a=\x01\r\nhello\r\n" + LAST_CHUNK
    yield b"5\r\nhello\n" + LAST_CHUNK
    yield b"5\r\nhello" + LAST_CHUNK
    yield b"5\r\nhelloworld\r\n" + LAST_CHUNK
    for line in _field_lines():
        # RFC 9112 has no line of blanks among trailer fields either.
        yield b"0\r\nX-Before: a\r\n" + line + b"\r\n"


def broken() -> abc.Iterator[tuple[Kind, Response]]:
    """Return broken responses of all kinds."""
    for line in _status_lines():
        yield Kind.STATUS_LINE, Response(response(line))
    yield (
        Kind.STATUS_LINE,
        Response(response(b"HTTP/1.1 000 OK\r\n") + response()),
    )
    for line in _field_lines():
        for fields in (line + FIELDS, FIELDS + line):
            yield Kind.FIELD_LINE, Response(response(fields=fields))
    for framing in _transfer_codings():
        for body in (BODY, chunk() + LAST_CHUNK):
            yield Kind.TRANSFER_CODING, Response(response(framing=framing, body=body))
    yield (
        Kind.TRANSFER_CODING,
        Response(
            response(b"HTTP/1.0 200 OK\r\n", framing=CHUNKED, body=chunk() + LAST_CHUNK)
        ),
    )
    beginning = response(framing=CHUNKED, body=chunk())
    for rest in _chunked_bodies():
        yield Kind.CHUNKED_BODY, Response(beginning + rest, len(beginning))


def of_kind(kind: Kind) -> list[Response]:
    """Return the broken responses of one kind."""
    return [one for found, one in broken() if found is kind]


def valid() -> abc.Iterator[bytes]:
    """Return valid responses with ``BODY`` that a strict reader must accept."""
    yield response()
    for status_line in (
        *(b"HTTP/1.1 200 \r\n", b"HTTP/1.1 200\r\n", b"HTTP/1.0 200 OK\r\n"),
        *(
            b"HTTP/1.1 200 All\tfine \xe9\r\n",
            b"HTTP/1.1 100 Continue\r\n\r\n" + STATUS_LINE,
        ),
        b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" * 2 + STATUS_LINE,
    ):
        yield response(status_line)
    for line in (
        *(b"X-Ab:c\r\n", b"X-Ab:\r\n", b"X-Ab: \t c \t \r\n", b"X-Ab: c\td\r\n"),
        *(
            b"X-Ab: \x80\xff\xc3\xa9\r\n",
            b"x!#$%&'*+-.^_`|~9: c\r\n",
            b"X-Ab: a: b\r\n",
        ),
        b"Set-Cookie: a=b\r\nSet-Cookie: c=d\r\n",
    ):
        yield response(fields=line + FIELDS)
        yield response(fields=FIELDS + line)
    for coding in (b"chunked", b"Chunked", b"CHUNKED", b"chunked ", b" chunked"):
        framing = b"Transfer-Encoding:%b\r\n" % coding
        yield response(framing=framing, body=chunk() + LAST_CHUNK)
    for rest in (
        *(LAST_CHUNK, b"000\r\n\r\n", b'0;a="b;c";d\r\n\r\n'),
        *(b"0\r\nX-Ab: c\r\nX-Ab: \xff\r\n\r\n", b"0;a=b\r\nx: y\r\n\r\n"),
    ):
        yield response(framing=CHUNKED, body=chunk() + rest)
        yield response(framing=CHUNKED, body=chunk(BODY[:9]) + chunk(BODY[9:]) + rest)


def _with_line(line: bytes, status_line: bytes = STATUS_LINE) -> Script:
    """Return what a worker sends whose first field line is this one."""
    return lambda fields, body: [
        response(
            status_line, line + fields, b"Content-Length: %d\r\n" % len(body), body
        )
    ]


def _with_status_line(status_line: bytes) -> Script:
    return _with_line(b"", status_line)


def _with_coding(framing: bytes) -> Script:
    return lambda fields, body: [
        response(fields=fields, framing=framing, body=chunk(body) + LAST_CHUNK),
        b"",
    ]


def _with_length_after_blank(fields: bytes, body: bytes) -> list[bytes]:
    """Send a body whose length is no field, and most of it later."""
    head = response(fields=b" Content-Length: 5\r\n" + fields, framing=b"", body=b"")
    return [head + body[:5], body[5:]]


def _with_broken_chunk(fields: bytes, body: bytes) -> list[bytes]:
    head = response(fields=fields, framing=CHUNKED, body=chunk(body))
    return [head, b"5_0\r\nhello\r\n" + LAST_CHUNK]


#: What a worker sends in place of an answer with these fields and this body, by name.
SCRIPT_BY_NAME: dict[str, Script] = {
    "status 000": _with_status_line(b"HTTP/1.1 000 OK\r\n"),
    "status 000 without a reason": _with_status_line(b"HTTP/1.1 000\r\n"),
    "status 101": _with_status_line(b"HTTP/1.1 101 Switching Protocols\r\n"),
    "status 600": _with_status_line(b"HTTP/1.1 600 Odd\r\n"),
    "another protocol": _with_status_line(b"RTSP/1.0 200 OK\r\n"),
    "a blank before a name": _with_line(b" X-Ab: c\r\n"),
    "a blank before another stamp": _with_line(
        b" X-Spindlenotch-Server-Stamp: i-other.zz\r\n"
    ),
    "a blank before a length": _with_length_after_blank,
    "a blank before a promise": _with_line(
        b" X-Spindlenotch-Not-Executed: 1\r\n",
        b"HTTP/1.1 500 Internal Server Error\r\n",
    ),
    "a blank in a name": _with_line(b"X Ab: c\r\n"),
    "a control byte in a name": _with_line(b"X-\x01Ab: c\r\n"),
    "a control byte in a value": _with_line(b"X-Ab: c\x01d\r\n"),
    "the coding gzip": _with_coding(b"Transfer-Encoding: gzip\r\n"),
    "a broken chunk": _with_broken_chunk,
}
