"""Stand-ins for clients: single tries, and steady callers that note what they got."""

import asyncio
import itertools
import os
import time
import typing

from lab2 import http11

HOST = "review.example"
_numbers = itertools.count(1)
_run = os.urandom(3).hex()


class Got(typing.NamedTuple):
    """What became of one try; status 0: no whole answer."""

    request_id: str
    path: str
    sent_at: float
    ended_at: float
    status: int
    body: bytes = b""
    fields: dict[str, str] = {}
    gateway: str = ""


def new_id() -> str:
    """Return an id that no other try has."""
    return f"{_run}{next(_numbers):010x}"


def request(
    method: str, path: str, request_id: str, deadline_ms: int = 4000, body: bytes = b""
) -> bytes:
    """Return the bytes of a request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Spindlenotch-Request-Id: {request_id}",
        f"X-Spindlenotch-Deadline-Ms: {deadline_ms}",
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def once(
    address: str,
    method: str,
    path: str,
    *,
    deadline_ms: int = 4000,
    body: bytes = b"",
    limit_s: float = 6.0,
) -> Got:
    """Send one request over a new connection and return what came back."""
    request_id = new_id()
    ip, _, port = address.rpartition(":")
    sent_at = time.monotonic()
    writer = None
    status, content, fields = 0, b"", {}
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            sent_at = time.monotonic()
            writer.write(request(method, path, request_id, deadline_ms, body))
            head = await http11.read_head(reader)
            content = await http11.read_body(reader, head.fields)
            status, fields = int(head.line[1]), head.fields
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        # No whole answer, which the status tells.
        pass
    finally:
        if writer is not None:
            writer.close()
    ended_at = time.monotonic()
    return Got(request_id, path, sent_at, ended_at, status, content, fields, address)


class Steady:
    """Sends tries at an even rate, by turns to the given addresses."""

    def __init__(
        self,
        addresses: typing.Sequence[str],
        per_s: float,
        pick: typing.Callable[[], tuple[str, str]],
        deadline_ms: int = 4000,
    ) -> None:
        self.addresses, self.per_s, self.pick = list(addresses), per_s, pick
        self.deadline_ms = deadline_ms
        self.got: list[Got] = []
        self._tries: set[asyncio.Task[None]] = set()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to send."""
        self._task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """Send no more, and wait for what is under way."""
        if self._task is not None:
            self._task.cancel()
        await asyncio.gather(*self._tries, return_exceptions=True)

    async def _run(self) -> None:
        began_at = time.monotonic()
        for number in itertools.count():
            await asyncio.sleep(
                max(0.0, began_at + number / self.per_s - time.monotonic())
            )
            address = self.addresses[number % len(self.addresses)]
            one = asyncio.ensure_future(self._try(address))
            self._tries.add(one)
            one.add_done_callback(self._tries.discard)

    async def _try(self, address: str) -> None:
        method, path = self.pick()
        got = await once(address, method, path, deadline_ms=self.deadline_ms)
        self.got.append(got)
