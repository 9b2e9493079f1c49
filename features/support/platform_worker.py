"""
Stand-in for a worker of the platform, down to the bytes on its connections.

Written on plain streams, since an HTTP library can't make most of its faults:
cut, foreign, surplus, unframed and early answers. Its ledger of runs is the
oracle for "not run" and "at most once".
"""

import asyncio
import dataclasses
import random
import socket
import struct
import time
import typing
from collections import abc

from features.support import upstream_cuts, worker_records

LOOPBACK = "127.0.0.1"
STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"
#: Seconds between two pieces of a scripted answer.
PIECE_EVERY_S = 0.05

#: From a request's id and the body of its answer to the pieces that are sent instead.
Script = abc.Callable[[str, bytes], abc.Iterable[bytes] | None]


@dataclasses.dataclass(slots=True)
class Head:
    """The head of a request."""

    method: str
    target: str
    fields: dict[str, str]
    at: float = 0.0
    #: Address that it came from.
    ip: str = ""


class PlatformWorker:
    """
    One worker.

    ``runs`` and ``heads`` are in order of start; ``heads`` has those of
    requests that were not run, too. ``cancelled`` counts work that was broken
    off as its caller's connection closed, ``accepted`` the connections so far.
    ``born`` is the Unix time of its start in ms, None where it tells none;
    ``probed_at`` has the times of health checks. At ``most_at_once`` requests it
    turns further ones away. ``fault_by_version`` and ``poisons`` are shared by the
    workers of a fleet. ``names_limit`` is the text of the limit that its answers name,
    None where they name none; ``says_leaving`` that by which they say that it leaves.
    While ``asks_rest`` is a text, it turns requests away and asks for so much rest.
    ``script`` returns the pieces of what it sends for a request's id in place of an
    answer with this body, None: its own answer; after an empty piece it closes the
    connection. With ``breaks_health`` it sends them to health checks too.
    """

    def __init__(
        self,
        worker_id: str,
        work_s: float = 0.002,
        version: str = "v1",
        fault_by_version: worker_records.FaultByVersion | None = None,
        poisons: set[worker_records.Poison] | None = None,
        cuts: upstream_cuts.UpstreamCuts | None = None,
    ) -> None:
        self.id = worker_id
        self.version = version
        self.work_s = work_s
        self.fault_by_version = {} if fault_by_version is None else fault_by_version
        self.poisons = set() if poisons is None else poisons
        self.cuts = upstream_cuts.UpstreamCuts() if cuts is None else cuts
        #: Called when the worker has crashed under a request.
        self.on_crash: typing.Callable[[], None] = lambda: None
        self.has_crashed = False
        #: Whether a crash under a request leaves its connections silent for good.
        self.crashes_silently = False
        #: When it crashed under a request, and that request's target.
        self.crashes: list[tuple[float, str]] = []
        self.slots = 4
        self.most_at_once = 1000
        self.names_limit: str | None = None
        self.says_leaving: str | None = None
        self.asks_rest: str | None = None
        self.script: Script = _own_answer
        self.breaks_health = False
        #: The requests that it turned away asking for rest.
        self.rests: list[worker_records.Rest] = []
        self.accepted = 0
        self.born: int | None = None
        self.probed_at: list[float] = []
        self.mode = worker_records.Mode.GOOD
        self.running = 0
        self.runs: list[worker_records.Run] = []
        self.heads: list[Head] = []
        self.cancelled = 0
        self.coldness = worker_records.Coldness(until=0.0, most_in_a_second=0.0)
        self.address = ""
        #: Where gateways reach it, where that is not ``address``.
        self.listed_address = ""
        self._rng = random.Random(worker_id)
        self._started_at = 0.0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._reads = asyncio.Event()
        self._reads.set()

    def reset_cut_connections(self) -> None:
        """Reset the open connections of gateways that are cut off in this way."""
        for writer in list(self._writers):
            if self.cuts.resets(_ip_of(writer)):
                reset(writer)

    def stall(self) -> None:
        """
        Stand still, as a process does that is stopped: what comes waits unread.

        One that ends meanwhile never reads it.
        """
        self._reads.clear()

    async def _until_it_reads(self) -> None:
        """Wait while it stands still; raise where it has ended meanwhile."""
        reads = self._reads
        await reads.wait()
        if reads is not self._reads:
            raise ConnectionResetError

    def _end_standstill(self) -> None:
        """Let what waits know that it has ended."""
        reads, self._reads = self._reads, asyncio.Event()
        reads.set()

    def go_on(self) -> None:
        """Read what came meanwhile, also on connections that are closed by now."""
        self._reads.set()

    async def start(self, port: int = 0) -> None:
        """
        Listen on a loopback port, 0: any free one.

        After ``close`` it starts again under its id and knows nothing of before;
        only the ledgers go on.
        """
        if self._server is not None:
            self._server.close()
        self._reads = asyncio.Event()
        self._reads.set()
        self._server = await asyncio.start_server(self._serve, LOOPBACK, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{LOOPBACK}:{port}"
        self._started_at = time.monotonic()
        self.names_limit = self.says_leaving = self.asks_rest = None
        self.coldness = worker_records.Coldness(until=0.0, most_in_a_second=0.0)

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
            reset(writer)
        self.running = 0
        self.born = born

    def crash(self) -> None:
        """End as a process does that crashes: nothing listens, all is reset."""
        self.has_crashed = True
        self._end_standstill()
        if self._server is not None:
            self._server.close()
        if not self.crashes_silently:
            for writer in list(self._writers):
                reset(writer)
        self.on_crash()

    async def close(self) -> None:
        """Stop listening and drop all connections."""
        self._end_standstill()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self.accepted += 1
        if self.cuts.resets(_ip_of(writer)):
            reset(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError, RuntimeError):
            # RuntimeError: uvloop's, for a write on a connection that has ended.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        data = await reader.readuntil(b"\r\n\r\n")
        await self._until_it_reads()
        await self.cuts.until_it_passes(_ip_of(writer), reader)
        head = _parse(data)
        head.ip = _ip_of(writer)
        if head.target.startswith("/health"):
            self.probed_at.append(head.at)
            if self.breaks_health and (pieces := self.script("", b"")) is not None:
                return await _write_pieces(writer, pieces)
            status = "503 Service Unavailable" if self.says_leaving else "200 OK"
            writer.write(self._head(status, "", 0, extra=self._cold_header()))
            return True
        self.coldness.arrives()
        if self.coldness.has_fallen:
            reset(writer)
            return False
        self.heads.append(head)
        request_id = head.fields.get("x-spindlenotch-request-id", "")
        expected = head.fields.get("x-spindlenotch-expect-instance", self.id)
        mode = self._mode(head)
        if mode is worker_records.Mode.EARLY:
            writer.write(self._answer(request_id, b"early"))
            await asyncio.sleep(0.05)
            await _body(reader, head)
            return True
        body = await _body(reader, head)
        if expected != self.id:
            writer.write(self._head("421 Misdirected Request", request_id, 0))
            return True
        run = worker_records.Run(
            request_id, head.target, body, mode, head.at, self.born
        )
        return await self._run(reader, writer, run)

    def _mode(self, head: Head) -> worker_records.Mode:
        """Return how a request is treated, by its version's fault or its own mode."""
        fault = self.fault_by_version.get(self.version)
        if (
            fault is not None
            and head.target.startswith(fault.prefix)
            and self.running >= fault.least_running
            and head.at >= self._started_at + fault.after_s
            and self._rng.random() < fault.share
        ):
            return fault.mode
        return self.mode

    async def _run(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        run: worker_records.Run,
    ) -> bool:
        request_id = run.request_id
        if self.asks_rest is not None:
            self.rests.append(
                worker_records.Rest(time.monotonic(), request_id, self.asks_rest)
            )
            asked = (
                f"X-Spindlenotch-Not-Executed: 1\r\nRetry-After: {self.asks_rest}\r\n"
            )
            writer.write(
                self._head("503 Service Unavailable", request_id, 0, extra=asked)
            )
            return True
        if run.mode is worker_records.Mode.SHED or self.running >= self.most_at_once:
            not_run = "X-Spindlenotch-Not-Executed: 1\r\n"
            writer.write(
                self._head("503 Service Unavailable", request_id, 0, extra=not_run)
            )
            return True
        self.runs.append(run)
        self.running += 1
        try:
            if not await self._work(reader, run.mode):
                return False
        finally:
            self.running -= 1
        if worker_records.Poison(run.target, run.body) in self.poisons:
            self.crashes.append((time.monotonic(), run.target))
            self.crash()
            if self.crashes_silently:
                # Never set: the connection stays as it is.
                await self._reads.wait()
            return False
        await self.cuts.until_it_passes(_ip_of(writer), reader)
        pieces = self.script(run.request_id, run.target.encode())
        if pieces is not None:
            return await _write_pieces(writer, pieces)
        return self._reply(writer, run)

    async def _work(
        self, reader: asyncio.StreamReader, mode: worker_records.Mode
    ) -> bool:
        """Work, and stop when the caller's connection closes."""
        limit_s = self.work_s * (
            worker_records.SLOWDOWN if mode is worker_records.Mode.SLOW else 1.0
        )
        if mode is worker_records.Mode.HANG:
            limit_s = 3600.0
        closed = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait({closed}, timeout=limit_s)
        if done:
            # A reset ends it with an error, which is nothing more to know.
            await asyncio.gather(closed, return_exceptions=True)
            self.cancelled += 1
            return False
        closed.cancel()
        await asyncio.gather(closed, return_exceptions=True)
        await self._until_it_reads()
        return True

    def _reply(self, writer: asyncio.StreamWriter, run: worker_records.Run) -> bool:
        request_id, mode, body = run.request_id, run.mode, run.target.encode()
        whole = self._answer(request_id, body)
        match mode:
            case worker_records.Mode.LOST:
                reset(writer)
                return False
            case worker_records.Mode.BARE_503:
                writer.write(self._head("503 Service Unavailable", request_id, 0))
            case worker_records.Mode.ERROR:
                writer.write(self._head("500 Internal Server Error", request_id, 0))
            case worker_records.Mode.CUT:
                writer.write(whole[:-2])
                return False
            case worker_records.Mode.UNFRAMED | worker_records.Mode.RESET_UNFRAMED:
                head = self._head("200 OK", request_id, None)
                writer.write(
                    head + (body if mode is worker_records.Mode.UNFRAMED else body[:1])
                )
                if mode is worker_records.Mode.RESET_UNFRAMED:
                    asyncio.get_running_loop().call_later(0.05, reset, writer)
                    return True
                return False
            case worker_records.Mode.FOREIGN:
                writer.write(self._answer("somebody-else", body))
            case worker_records.Mode.UNSTAMPED:
                writer.write(whole.replace(b"Server-Stamp", b"Server-Other"))
            case worker_records.Mode.GARBAGE:
                writer.write(b"\x16\x03 this is no answer\r\n\r\n")
            case worker_records.Mode.SURPLUS:
                writer.write(whole + self._answer("somebody-else", b"surplus"))
            case worker_records.Mode.LATE_SURPLUS:
                writer.write(whole)
                surplus = self._answer("somebody-else", b"late")
                asyncio.get_running_loop().call_later(0.05, _write, writer, surplus)
            case _:
                writer.write(whole)
        return True

    def _cold_header(self) -> str:
        left_ms = self.coldness.left_ms()
        return f"X-Spindlenotch-Cold-Ms: {left_ms}\r\n" if left_ms else ""

    def _demands(self) -> str:
        """Return the headers by which it asks for less, or for nothing more."""
        value_by_name = {
            "Server-Limit": self.names_limit,
            "Server-Leaving": self.says_leaving,
        }
        return "".join(
            f"{name}: {value}\r\n"
            for name, value in value_by_name.items()
            if value is not None
        )

    def _answer(self, request_id: str, body: bytes) -> bytes:
        return self._head("200 OK", request_id, len(body)) + body

    def _head(
        self, status: str, request_id: str, length: int | None, extra: str = ""
    ) -> bytes:
        framing = "" if length is None else f"Content-Length: {length}\r\n"
        echo = f"X-Spindlenotch-Request-Id: {request_id}\r\n" if request_id else ""
        return (
            f"HTTP/1.1 {status}\r\n{framing}{echo}{extra}{self._demands()}"
            f"X-Spindlenotch-Server-Stamp: {STAMP}\r\n"
            f"X-Spindlenotch-Instance-Id: {self.id}\r\n"
            f"X-Spindlenotch-Server-Load: {self.running},0,8,100\r\n\r\n"
        ).encode()


def _ip_of(writer: asyncio.StreamWriter) -> str:
    """Return the address that a connection comes from."""
    peer = writer.get_extra_info("peername")
    return "" if peer is None else str(peer[0])


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that its peer sees a reset and not an end."""
    if not writer.transport.is_closing():
        no_linger = struct.pack("ii", 1, 0)
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    writer.transport.abort()


def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.transport.is_closing():
        writer.write(data)


def _own_answer(request_id: str, body: bytes) -> abc.Iterable[bytes] | None:
    return None


async def _write_pieces(
    writer: asyncio.StreamWriter, pieces: abc.Iterable[bytes]
) -> bool:
    """Send pieces; return whether the connection stays open."""
    for piece in pieces:
        if not piece:
            return False
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(PIECE_EVERY_S)
    return True


def _parse(data: bytes) -> Head:
    first, *lines = data.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    pairs = (line.split(":", 1) for line in lines if ":" in line)
    fields = {k.strip().lower(): v.strip() for k, v in pairs}
    return Head(method, target, fields, time.monotonic())


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
