"""
Stand-in for a worker, by PROTOCOL.md.

Works on ``slots`` requests at once, queues a few more and turns others away; drops a
request when its connection closes; answers 421 to a request that names another worker.
Its ledger tells what arrived and what ran, and when.
"""

import asyncio
import itertools
import time
import typing

from lab2 import http11, store

_numbers = itertools.count(1)


class Arrival(typing.NamedTuple):
    """A request that reached a worker: when, its id and path, and whether it ran."""

    at: float
    request_id: str
    method: str
    path: str
    ran: bool
    deadline_ms: str


class Worker:
    """One worker; ``version`` is that of its software."""

    def __init__(
        self,
        service: str,
        zone: str,
        *,
        work_s: float = 0.03,
        slots: int = 6,
        queue: int = 6,
        version: str = "v1",
    ) -> None:
        self.id = f"i-{next(_numbers):08x}"
        self.service, self.zone, self.version = service, zone, version
        self.work_s, self.slots, self.queue = work_s, slots, queue
        self.address = ""
        self.running = 0
        self.waiting = 0
        self.arrivals: list[Arrival] = []
        self.broken_off = 0
        self.probes = 0
        #: How a run is answered, by request id and path; None: well.
        self.fault: typing.Callable[[str, str], str | None] = lambda i, path: None
        self._free = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str) -> None:
        """Listen on a free port of a loopback address."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    @property
    def key(self) -> str:
        """The key of its entry in the store."""
        return f"servers/{self.id}"

    def enter(self, where: store.Store, state: str = "ready") -> float:
        """Write its entry; return when the store had taken it."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "coldLeftS": 0,
            "callSeq": 1,
        }
        return where.put(self.key, entry)

    def end(self) -> None:
        """End as a process does: nothing listens, and connections are reset."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            http11.reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                await writer.drain()
        except (
            OSError,
            ValueError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            # The gateway has closed the connection, or the script ends.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _load(self) -> str:
        return f"{self.running},{self.waiting},{self.slots}"

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await http11.read_head(reader)
        at = time.monotonic()
        method, path = head.line[0], head.line[1]
        if path == "/health":
            self.probes += 1
            fields = {
                "X-Spindlenotch-Instance-Id": self.id,
                "X-Spindlenotch-Server-Load": self._load(),
            }
            writer.write(http11.answer("200 OK", b"", fields))
            return True
        await http11.read_body(reader, head.fields)
        request_id = head.fields.get(http11.REQUEST_ID, "")
        fields = {"X-Spindlenotch-Request-Id": request_id}
        expected = head.fields.get("x-spindlenotch-expect-instance", self.id)
        deadline_ms = head.fields.get("x-spindlenotch-deadline-ms", "")

        def note(*, ran: bool) -> None:
            self.arrivals.append(
                Arrival(at, request_id, method, path, ran, deadline_ms)
            )

        if expected != self.id:
            note(ran=False)
            fields["X-Spindlenotch-Instance-Id"] = self.id
            writer.write(http11.answer("421 Misdirected Request", b"", fields))
            return True
        if self.waiting >= self.queue:
            note(ran=False)
            fields["X-Spindlenotch-Not-Executed"] = "1"
            writer.write(http11.answer("503 Service Unavailable", b"", fields))
            return True
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        try:
            note(ran=True)
            self.running += 1
            if not await self._work(reader):
                self.broken_off += 1
                return False
        finally:
            self.running -= 1
            self._free.release()
        return self._reply(writer, request_id, path, fields)

    async def _work(self, reader: asyncio.StreamReader) -> bool:
        """Work; stop and return False when the connection closes meanwhile."""
        end = time.monotonic() + self.work_s
        while (left_s := end - time.monotonic()) > 0:
            if reader.at_eof() or reader.exception() is not None:
                return False
            await asyncio.sleep(min(0.02, left_s))
        return True

    def _reply(
        self,
        writer: asyncio.StreamWriter,
        request_id: str,
        path: str,
        fields: dict[str, str],
    ) -> bool:
        fault = self.fault(request_id, path)
        fields["X-Spindlenotch-Server-Stamp"] = f"{self.id}.{request_id}"
        fields["X-Spindlenotch-Server-Load"] = self._load()
        if fault == "reset":
            http11.reset(writer)
            return False
        if fault == "error":
            writer.write(http11.answer("500 Internal Server Error", b"", fields))
            return True
        writer.write(http11.answer("200 OK", path.encode(), fields))
        return True
