"""
Stand-in for a worker of the platform, down to the bytes on its connections.

Written on plain streams, since an HTTP library can't make most of its faults:
cut, foreign, surplus, unframed and early answers. Its ledger of runs is the
oracle for "not run" and "at most once".
"""

import asyncio
import collections
import dataclasses
import enum
import socket
import struct
import time
import typing

LOOPBACK = "127.0.0.1"
STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"


class Mode(enum.Enum):
    """How a worker treats the next requests."""

    GOOD = "good"
    #: Refuses and says that the request has not run.
    SHED = "shed"
    #: Runs, and answers 503 without saying whether it ran.
    BARE_503 = "bare-503"
    #: Runs, and answers 500.
    ERROR = "error"
    #: Closes the connection before the end of the body.
    CUT = "cut"
    #: Sends a body without length and resets the connection in its midst.
    RESET_UNFRAMED = "reset-unframed"
    #: Sends a body whose end is that of the connection.
    UNFRAMED = "unframed"
    #: Echoes the id of another request.
    FOREIGN = "foreign"
    #: Leaves its stamp out.
    UNSTAMPED = "unstamped"
    #: Sends bytes that are no answer.
    GARBAGE = "garbage"
    #: Sends another answer right behind its own.
    SURPLUS = "surplus"
    #: Sends another answer a moment after its own.
    LATE_SURPLUS = "late-surplus"
    #: Answers before it has read the request's body.
    EARLY = "early"
    #: Runs, and resets the connection without an answer.
    LOST = "lost"
    #: Works until the caller's connection closes.
    HANG = "hang"


@dataclasses.dataclass(slots=True)
class Head:
    """The head of a request."""

    method: str
    target: str
    fields: dict[str, str]


class Run(typing.NamedTuple):
    """A request that began to run."""

    request_id: str
    target: str
    body: bytes


@dataclasses.dataclass(slots=True)
class Coldness:
    """
    Until when a worker is cold, on the monotonic clock, and what it bears while it is.

    ``most_in_a_second`` requests are borne in any one second; at the next one the
    worker has fallen over for good.
    """

    until: float
    most_in_a_second: float
    arrived_at: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    has_fallen: bool = False

    def left_ms(self) -> int:
        """Return for how many milliseconds more it is cold; 0 where it is not."""
        return max(0, int(1000 * (self.until - time.monotonic())))

    def arrives(self) -> None:
        """Note the arrival of a request."""
        now = time.monotonic()
        if now >= self.until:
            return
        self.arrived_at.append(now)
        while self.arrived_at[0] <= now - 1.0:
            self.arrived_at.popleft()
        self.has_fallen |= len(self.arrived_at) > self.most_in_a_second


class PlatformWorker:
    """
    One worker.

    ``runs`` and ``heads`` are in order of start; ``heads`` has those of
    requests that were not run, too. ``cancelled`` counts work that was broken
    off as its caller's connection closed, ``accepted`` the connections so far.
    ``born`` is the Unix time of its start in ms, None where it tells none.
    """

    def __init__(
        self, worker_id: str, work_s: float = 0.002, version: str = "v1"
    ) -> None:
        self.id = worker_id
        self.version = version
        self.work_s = work_s
        self.mode = Mode.GOOD
        self.running = 0
        self.runs: list[Run] = []
        self.heads: list[Head] = []
        self.cancelled = 0
        self.accepted = 0
        self.born: int | None = None
        self.coldness = Coldness(until=0.0, most_in_a_second=0.0)
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{LOOPBACK}:{port}"

    @property
    def connected(self) -> int:
        """Number of connections that are open now."""
        return len(self._writers)

    def start_again(self, born: int) -> None:
        """
        Crash and start again at once, at the same address.

        Work that was begun ends without an answer, and nothing of before is known.
        """
        for writer in list(self._writers):
            _reset(writer)
        self.running = 0
        self.born = born

    async def close(self) -> None:
        """Stop listening and drop all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self.accepted += 1
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = _parse(await reader.readuntil(b"\r\n\r\n"))
        if head.target.startswith("/health"):
            writer.write(self._head("200 OK", "", 0, extra=self._cold_header()))
            return True
        self.coldness.arrives()
        if self.coldness.has_fallen:
            _reset(writer)
            return False
        self.heads.append(head)
        request_id = head.fields.get("x-spindlenotch-request-id", "")
        expected = head.fields.get("x-spindlenotch-expect-instance", self.id)
        if self.mode is Mode.EARLY:
            writer.write(self._answer(request_id, b"early"))
            await asyncio.sleep(0.05)
            await _body(reader, head)
            return True
        body = await _body(reader, head)
        if expected != self.id:
            writer.write(self._head("421 Misdirected Request", request_id, 0))
            return True
        return await self._run(reader, writer, head, request_id, body)

    async def _run(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        head: Head,
        request_id: str,
        body: bytes,
    ) -> bool:
        if self.mode is Mode.SHED:
            not_run = "X-Spindlenotch-Not-Executed: 1\r\n"
            writer.write(
                self._head("503 Service Unavailable", request_id, 0, extra=not_run)
            )
            return True
        self.runs.append(Run(request_id, head.target, body))
        self.running += 1
        try:
            if not await self._work(reader):
                return False
        finally:
            self.running -= 1
        return self._reply(writer, request_id, head.target.encode())

    async def _work(self, reader: asyncio.StreamReader) -> bool:
        """Work, and stop when the caller's connection closes."""
        limit_s = 3600.0 if self.mode is Mode.HANG else self.work_s
        closed = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait({closed}, timeout=limit_s)
        if done:
            self.cancelled += 1
            return False
        closed.cancel()
        await asyncio.gather(closed, return_exceptions=True)
        return True

    def _reply(
        self, writer: asyncio.StreamWriter, request_id: str, body: bytes
    ) -> bool:
        whole = self._answer(request_id, body)
        match self.mode:
            case Mode.LOST:
                _reset(writer)
                return False
            case Mode.BARE_503:
                writer.write(self._head("503 Service Unavailable", request_id, 0))
            case Mode.ERROR:
                writer.write(self._head("500 Internal Server Error", request_id, 0))
            case Mode.CUT:
                writer.write(whole[:-2])
                return False
            case Mode.UNFRAMED | Mode.RESET_UNFRAMED:
                head = self._head("200 OK", request_id, None)
                writer.write(head + (body if self.mode is Mode.UNFRAMED else body[:1]))
                if self.mode is Mode.RESET_UNFRAMED:
                    asyncio.get_running_loop().call_later(0.05, _reset, writer)
                    return True
                return False
            case Mode.FOREIGN:
                writer.write(self._answer("somebody-else", body))
            case Mode.UNSTAMPED:
                writer.write(whole.replace(b"Server-Stamp", b"Server-Other"))
            case Mode.GARBAGE:
                writer.write(b"\x16\x03 this is no answer\r\n\r\n")
            case Mode.SURPLUS:
                writer.write(whole + self._answer("somebody-else", b"surplus"))
            case Mode.LATE_SURPLUS:
                writer.write(whole)
                surplus = self._answer("somebody-else", b"late")
                asyncio.get_running_loop().call_later(0.05, writer.write, surplus)
            case _:
                writer.write(whole)
        return True

    def _cold_header(self) -> str:
        left_ms = self.coldness.left_ms()
        return f"X-Spindlenotch-Cold-Ms: {left_ms}\r\n" if left_ms else ""

    def _answer(self, request_id: str, body: bytes) -> bytes:
        return self._head("200 OK", request_id, len(body)) + body

    def _head(
        self, status: str, request_id: str, length: int | None, extra: str = ""
    ) -> bytes:
        framing = "" if length is None else f"Content-Length: {length}\r\n"
        echo = f"X-Spindlenotch-Request-Id: {request_id}\r\n" if request_id else ""
        return (
            f"HTTP/1.1 {status}\r\n{framing}{echo}{extra}"
            f"X-Spindlenotch-Server-Stamp: {STAMP}\r\n"
            f"X-Spindlenotch-Instance-Id: {self.id}\r\n"
            f"X-Spindlenotch-Server-Load: {self.running},0,8,100\r\n\r\n"
        ).encode()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that its peer sees a reset and not an end."""
    no_linger = struct.pack("ii", 1, 0)
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    writer.transport.abort()


def _parse(data: bytes) -> Head:
    first, *lines = data.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    pairs = (line.split(":", 1) for line in lines if ":" in line)
    return Head(method, target, {k.strip().lower(): v.strip() for k, v in pairs})


async def _body(reader: asyncio.StreamReader, head: Head) -> bytes:
    if head.fields.get("transfer-encoding") != "chunked":
        return await reader.readexactly(int(head.fields.get("content-length", "0")))
    pieces = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        pieces.append(await reader.readexactly(size))
        await reader.readexactly(2)
        if not size:
            return b"".join(pieces)
