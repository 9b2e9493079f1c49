"""
Stand-in for a worker, by its page in PROTOCOL.md.

Works on ``slots`` requests at once and turns away what it can't queue. ``spoil``
decides of each answer whether and how it is spoiled; ``runs`` is the ledger.
"""

import asyncio
import dataclasses
import time
from collections import abc

from lab import http11

#: Requests that wait at most, beyond those at work.
QUEUE = 24
STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a request; times are those of the steady clock."""

    request_id: str
    worker: str
    arrived_at: float
    #: Method, target and body as the worker read them.
    method: str = ""
    target: str = ""
    body: bytes = b""
    encoding: str = ""
    ended: str = "working"


#: Answers in another way than usual; returns whether it did. Its arguments are the
#: request, the head of the answer without its framing, the body and the connection.
Spoiler = abc.Callable[
    [http11.Request, str, bytes, asyncio.StreamWriter], abc.Awaitable[bool]
]


async def no_spoiling(
    request: http11.Request, head: str, body: bytes, writer: asyncio.StreamWriter
) -> bool:
    """Spoil nothing."""
    return False


class Worker:
    """One worker; ``body_of`` makes the body of the answer to a request."""

    def __init__(
        self,
        worker_id: str,
        service: str,
        zone: str,
        *,
        slots: int = 6,
        work_s: float = 0.05,
        body_of: abc.Callable[[http11.Request], bytes] = lambda _: b"ok",
        spoil: Spoiler = no_spoiling,
    ) -> None:
        self.id = worker_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.body_of = body_of
        self.spoil = spoil
        self.address = ""
        self.runs: list[Run] = []
        #: When each request came, whether it was run or not; checks don't count.
        self.arrivals: list[tuple[float, str]] = []
        self.running = 0
        self.waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0, backlog=512)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return what the worker writes into the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldLeftS": 0.0,
            "callSeq": 1,
        }

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def end(self) -> None:
        """End as a process does: nothing listens, and open connections are reset."""
        self.close()
        for writer in list(self._connections):
            http11.reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(writer)
        try:
            while await self._serve_one(reader, writer):
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, http11.BadMessageError):
            pass
        except asyncio.CancelledError:
            # The run is over.
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        request = await http11.read_request(reader)
        if request.path == "/health":
            writer.write(self._head("200 OK", "") + b"Content-Length: 0\r\n\r\n")
            return True
        arrived_at = time.monotonic()
        if request.fields.get("expect", "").lower() == "100-continue":
            writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        content = await http11.read_body(reader, request.fields)
        request_id = request.fields.get("x-spindlenotch-request-id", "")
        self.arrivals.append((arrived_at, request_id))
        expected = request.fields.get("x-spindlenotch-expect-instance", self.id)
        if expected != self.id or self.waiting >= QUEUE:
            status = "503 Full" if expected == self.id else "421 Misdirected"
            writer.write(
                self._head(status, request_id)
                + b"X-Spindlenotch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
            return True
        run = Run(
            request_id,
            self.id,
            arrived_at,
            request.method,
            request.target,
            content,
            request.fields.get("content-encoding", ""),
        )
        if not await self._work(reader, run):
            run.ended = "caller left"
            return False
        head, body = self._head("200 OK", request_id), self.body_of(request)
        if await self.spoil(request, head.decode(), body, writer):
            run.ended = "answer spoiled"
            return False
        run.ended = "answered"
        writer.write(head + f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        return True

    async def _work(self, reader: asyncio.StreamReader, run: Run) -> bool:
        """Work on a request; return False where its caller leaves meanwhile."""
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        self.runs.append(run)
        left = asyncio.ensure_future(reader.read(1))
        try:
            done, _ = await asyncio.wait({left}, timeout=self.work_s)
            return not done
        finally:
            left.cancel()
            await asyncio.gather(left, return_exceptions=True)
            self.running -= 1
            self._free.release()

    def _head(self, status: str, request_id: str) -> bytes:
        echo = f"X-Spindlenotch-Request-Id: {request_id}\r\n" if request_id else ""
        return (
            f"HTTP/1.1 {status}\r\n{echo}X-Spindlenotch-Server-Stamp: {STAMP}\r\n"
            f"X-Spindlenotch-Instance-Id: {self.id}\r\n"
            f"X-Spindlenotch-Server-Load: {self.running},{self.waiting},"
            f"{self.slots},100\r\n"
        ).encode()
