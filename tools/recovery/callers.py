"""
A process of callers: they ask directories, connect, send, and retry as they may.

``python -m tools.recovery.callers PLAN`` sends until told to end, then
prints one line for each attempt. Written on plain streams: one process sends some
thousand attempts a second.
"""

import asyncio
import contextlib
import itertools
import random
import sys
import time
import typing

import msgspec
import uvloop

#: A connection must be open, and a directory must answer, within so many seconds.
CONNECT_LIMIT_S = 1.0
MAX_RETRIES = 2
#: Share of the remaining time for which a caller heeds Retry-After.
HEEDED_SHARE = 1 / 3
OK, NOT_RUN = 200, 503
HOST = "shop.example"
REQUEST = (
    "{method} /{route}/{id} HTTP/1.1\r\nHost: " + HOST + "\r\n"
    "X-Spindlenotch-Request-Id: {id}\r\nX-Spindlenotch-Deadline-Ms: {left_ms}\r\n"
    "Connection: close\r\nContent-Length: 0\r\n\r\n"
)
RESOLVE = (
    "GET /resolve?name=" + HOST + "&region=r&zone=z1 HTTP/1.1\r\nHost: any\r\n"
    "Connection: close\r\n\r\n"
)


class Route(msgspec.Struct, frozen=True):
    """A kind of request: its name, method, deadline in seconds and share of all."""

    name: str
    method: str
    deadline_s: float
    share: float


class Plan(msgspec.Struct, frozen=True):
    """What one process sends; ``rate`` is in calls a second, each up to 3 attempts."""

    name: str
    rate: float
    directories: list[str]
    routes: list[Route]
    repeats_at_once: bool = False
    holds_answers_s: float = 1.0


class Change(msgspec.Struct, frozen=True):
    """A line of standard input: the rate relative to the plan's; 0 ends sending."""

    factor: float


class Attempt(msgspec.Struct, frozen=True):
    """One attempt: ``status`` 0 where no response came."""

    route: str
    number: int
    sent_at: float
    ended_at: float
    status: int
    is_stamped: bool


class Callers:
    """All callers of one process."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.rng = random.Random(plan.name)
        self.factor = 1.0
        self.addresses: list[str] = []
        self.attempts: list[Attempt] = []
        self._ids = itertools.count()
        self._sending: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send until told to end, and wait for the responses."""
        resolving = asyncio.ensure_future(self._resolve_regularly())
        sending = asyncio.ensure_future(self._send_all())
        await self._read_changes()
        sending.cancel()
        await asyncio.gather(*self._sending)
        resolving.cancel()

    async def _read_changes(self) -> None:
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader()
        await loop.connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        async for line in reader:
            factor = msgspec.json.decode(line, type=Change).factor
            if not factor:
                return
            self.factor = factor

    async def _resolve_regularly(self) -> None:
        while True:
            for address in self.rng.sample(self.plan.directories, 3):
                if await self._resolve(address):
                    break
            await asyncio.sleep(self.plan.holds_answers_s)

    async def _resolve(self, address: str) -> bool:
        until = time.monotonic() + CONNECT_LIMIT_S
        try:
            _, body = await exchange(address, RESOLVE.encode(), until)
            self.addresses = msgspec.json.decode(body)["addresses"]
        except (OSError, TimeoutError, ValueError, KeyError, EOFError):
            return False
        return True

    async def _send_all(self) -> None:
        due = time.monotonic()
        routes = self.plan.routes
        shares = [route.share for route in routes]
        while True:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            due += 1 / (self.plan.rate * self.factor)
            (route,) = self.rng.choices(routes, shares)
            task = asyncio.ensure_future(self._call(route))
            self._sending.add(task)
            task.add_done_callback(self._sending.discard)

    async def _call(self, route: Route) -> None:
        deadline = time.monotonic() + route.deadline_s
        for number in range(1 + MAX_RETRIES):
            now = time.monotonic()
            if now >= deadline:
                return
            status, is_stamped, wait_s = await self._attempt(route, number, deadline)
            may_repeat = route.method == "GET" or status == NOT_RUN
            if status == OK or not may_repeat:
                return
            if not self.plan.repeats_at_once:
                left_s = deadline - time.monotonic()
                await asyncio.sleep(max(0.0, min(wait_s, left_s * HEEDED_SHARE)))

    async def _attempt(
        self, route: Route, number: int, deadline: float
    ) -> tuple[int, bool, float]:
        """Return the status, whether an upstream responded, and Retry-After."""
        sent_at = time.monotonic()
        request_id = f"{route.name}-{self.plan.name}-{next(self._ids)}"
        head = REQUEST.format(
            method=route.method,
            route=route.name,
            id=request_id,
            left_ms=max(1, int(1000 * (deadline - sent_at))),
        )
        status, wait_s, is_stamped = 0, 0.05, False
        if self.addresses:
            address = self.rng.choice(self.addresses)
            with contextlib.suppress(OSError, TimeoutError, ValueError, EOFError):
                fields, _ = await exchange(address, head.encode(), deadline)
                status = int(fields[0].split()[1])
                found = dict(field.lower().split(": ", 1) for field in fields[1:])
                wait_s = float(found.get("retry-after", wait_s))
                is_stamped = "x-spindlenotch-server-stamp" in found
        else:
            await asyncio.sleep(0.05)
        ended_at = time.monotonic()
        self.attempts.append(
            Attempt(route.name, number, sent_at, ended_at, status, is_stamped)
        )
        return status, is_stamped, wait_s


async def exchange(
    address: str, request: bytes, until: float
) -> tuple[list[str], bytes]:
    """Send a request on a new connection; return the head's lines and the body."""
    host, port = address.rsplit(":", 1)
    limit_s = max(0.0, until - time.monotonic())
    async with asyncio.timeout(min(CONNECT_LIMIT_S, limit_s)):
        reader, writer = await asyncio.open_connection(host, int(port))
    try:
        async with asyncio.timeout(max(0.0, until - time.monotonic())):
            writer.write(request)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            return head.strip().split("\r\n"), await reader.read()
    finally:
        writer.close()


def main(arguments: typing.Sequence[str]) -> int:
    """Play one plan."""
    callers = Callers(msgspec.json.decode(arguments[0], type=Plan))
    uvloop.run(callers.run())
    encoder = msgspec.json.Encoder()
    for attempt in callers.attempts:
        sys.stdout.buffer.write(encoder.encode(attempt) + b"\n")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
