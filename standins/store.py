"""
Stand-in for the platform's key-value service.

Compare-and-swap, leases and watches; the protocol is described in
``spindlenotch.drivers.store_http``.
"""

import asyncio
import dataclasses
import time

from aiohttp import web

from standins import faults, server

#: Largest value in bytes; larger ones are answered with 413.
MAX_VALUE_BYTES = 1024 * 1024
REVISION = "X-Revision"


@dataclasses.dataclass(slots=True)
class Value:
    """A stored value; ``expires_at`` is on the monotonic clock, or None."""

    revision: int
    data: bytes
    expires_at: float | None


class Store:
    """
    The store's state and its web application.

    Invariant: a key's revision only grows, also past its expiry.
    """

    def __init__(self) -> None:
        self.value_by_key: dict[str, Value] = {}
        self.revision = 0
        self.faults = faults.Faults()
        self.changed = asyncio.Condition()
        self.address = ""
        self._runner: web.AppRunner | None = None

    async def start(self, port: int = 0) -> str:
        """Listen; return the base URL."""
        app = web.Application(client_max_size=MAX_VALUE_BYTES + 1)
        app.add_routes(
            [
                web.get("/kv/{key:.+}", self._get),
                web.put("/kv/{key:.+}", self._put),
                web.get("/watch/{key:.+}", self._watch),
                web.post("/control", self._control),
            ]
        )
        self._runner, self.address = await server.serve(app, port)
        return f"http://{self.address}"

    async def stop(self) -> None:
        """Stop listening; the values are kept."""
        if self._runner is not None:
            await self._runner.cleanup()

    def live(self, key: str) -> Value | None:
        """Return the value of ``key`` unless it is absent or its lease expired."""
        value = self.value_by_key.get(key)
        if value is None:
            return None
        if value.expires_at is not None and value.expires_at <= time.monotonic():
            del self.value_by_key[key]
            return None
        return value

    async def _get(self, request: web.Request) -> web.Response:
        self.faults.before(request)
        return _answer(self.live(request.match_info["key"]))

    async def _put(self, request: web.Request) -> web.Response:
        self.faults.before(request)
        try:
            data = await request.read()
        except web.HTTPRequestEntityTooLarge:
            return web.Response(status=413)
        key = request.match_info["key"]
        current = self.live(key)
        found = current.revision if current else 0
        if found != int(request.query["expected"]):
            return web.Response(status=409, headers={REVISION: str(found)})
        self._write(key, data, request.query.get("lease_s"))
        async with self.changed:
            self.changed.notify_all()
        self.faults.after_write(request)
        return _answer(self.value_by_key[key])

    def _write(self, key: str, data: bytes, lease_s: str | None) -> None:
        self.revision += 1
        expires_at = None if lease_s is None else time.monotonic() + float(lease_s)
        self.value_by_key[key] = Value(self.revision, data, expires_at)

    async def _watch(self, request: web.Request) -> web.Response:
        self.faults.before(request)
        key = request.match_info["key"]
        after = int(request.query["after"])
        deadline = time.monotonic() + float(request.query["wait_s"])
        await self._wait_for(key, after, deadline)
        self.faults.before(request)
        return _answer(self.live(key))

    async def _wait_for(self, key: str, after: int, deadline: float) -> None:
        """Wait until ``key`` changes, the store goes down or time is up."""
        while not self.faults.down:
            value = self.live(key)
            left_s = deadline - time.monotonic()
            if (value is not None and value.revision > after) or left_s <= 0:
                return
            try:
                async with asyncio.timeout(left_s), self.changed:
                    await self.changed.wait()
            except TimeoutError:
                return

    async def _control(self, request: web.Request) -> web.Response:
        """Set faults by JSON."""
        for name, value in (await request.json()).items():
            setattr(self.faults, name, value)
        async with self.changed:
            self.changed.notify_all()
        return web.json_response({})


def _answer(value: Value | None) -> web.Response:
    if value is None:
        return web.Response(status=404, headers={REVISION: "0"})
    return web.Response(body=value.data, headers={REVISION: str(value.revision)})
