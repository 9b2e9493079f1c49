"""
Stand-in for the platform's lagging host list.
"""

import asyncio
import json
import typing

from aiohttp import web

from standins import faults, server

Record = dict[str, typing.Any]


class HostList:
    """
    Hosts by id. A change shows ``lag_s`` seconds after it was made.

    Invariant: the revision grows with each change that is shown.
    """

    def __init__(self, lag_s: float = 0.0) -> None:
        self.lag_s = lag_s
        self.record_by_id: dict[str, Record] = {}
        self.shown: list[Record] = []
        self.revision = 1
        self.calls = 0
        self.faults = faults.Faults()
        self.address = ""
        self._runner: web.AppRunner | None = None

    async def start(self, port: int = 0) -> str:
        """Listen; return the base URL."""
        app = web.Application()
        app.add_routes(
            [
                web.get("/hosts", self._hosts),
                web.post("/control", self._control),
                web.post("/host", self._host),
            ]
        )
        self._runner, self.address = await server.serve(app, port)
        return f"http://{self.address}"

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, record: Record) -> None:
        """Add or change a host; it shows after the lag."""
        self.record_by_id[record["id"]] = record
        if not self.lag_s:
            self._show()
            return
        asyncio.get_running_loop().call_later(self.lag_s, self._show)

    def drop(self, host_id: str) -> None:
        """Remove a host; it shows after the lag."""
        self.record_by_id.pop(host_id, None)
        if not self.lag_s:
            self._show()
            return
        asyncio.get_running_loop().call_later(self.lag_s, self._show)

    def _show(self) -> None:
        self.revision += 1
        self.shown = list(self.record_by_id.values())

    async def _hosts(self, request: web.Request) -> web.Response:
        self.calls += 1
        await self.faults.before(request)
        if request.headers.get("If-None-Match") == f'"{self.revision}"':
            return web.Response(status=304)
        body = json.dumps({"revision": self.revision, "hosts": self.shown})
        return web.Response(text=body, content_type="application/json")

    async def _host(self, request: web.Request) -> web.Response:
        """Add, change or (with ``"gone": true``) remove hosts by JSON."""
        for record in await request.json():
            if record.pop("gone", False):
                self.drop(record["id"])
            else:
                self.put(record)
        return web.json_response({"revision": self.revision})

    async def _control(self, request: web.Request) -> web.Response:
        """Set faults by JSON."""
        for name, value in (await request.json()).items():
            if name == "lag_s":
                self.lag_s = value
            else:
                setattr(self.faults, name, value)
        return web.json_response({"calls": self.calls})
