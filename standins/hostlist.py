"""
Stand-in for the platform's host list, in which changes show at once.

The protocol is described in ``spindlenotch.drivers.hostlist_http``.
"""

import json
import typing

from aiohttp import web

from standins import faults, server

#: A host as it is sent; see ``spindlenotch.kernel.hostlist``.
Record = dict[str, typing.Any]


class HostList:
    """
    The list and its web application.

    Invariant: the revision grows with each change.
    """

    def __init__(self) -> None:
        self.record_by_id: dict[str, Record] = {}
        self.revision = 1
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
        """Add or change a host."""
        self.record_by_id[record["id"]] = record
        self.revision += 1

    def drop(self, host_id: str) -> None:
        """Remove a host."""
        self.record_by_id.pop(host_id, None)
        self.revision += 1

    async def _hosts(self, request: web.Request) -> web.Response:
        self.faults.before(request)
        if request.headers.get("If-None-Match") == f'"{self.revision}"':
            return web.Response(status=304)
        hosts = list(self.record_by_id.values())
        body = json.dumps({"revision": self.revision, "hosts": hosts})
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
            setattr(self.faults, name, value)
        return web.json_response({})
