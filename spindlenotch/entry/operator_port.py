"""
The operators' port: metrics, state, explanations and health over HTTP.

Owns its listener, on an address of its own so that callers need no access to
it. It only reads the entry's state; operators change things through the
bundle. Relies on ``explain`` for what it shows.
"""

import msgspec
from aiohttp import web

from spindlenotch import ids
from spindlenotch.entry import entry_state, explain

#: How long a stop waits for answers under way, in seconds.
SHUTDOWN_TIMEOUT_S = 0.1


class OperatorPort:
    """Answers the operators of one entry."""

    def __init__(self, state: entry_state.EntryState) -> None:
        self.state = state
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> ids.Address:
        """Listen on ``host:port`` (0: any free port); return the address in use."""
        app = web.Application()
        app.add_routes(
            [
                web.get("/metrics", self._metrics),
                web.get("/state", self._state),
                web.get("/explain", self._explain),
                web.get("/healthz", self._healthz),
                web.get("/readyz", self._readyz),
            ]
        )
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()
        return ids.Address(f"{host}:{self._runner.addresses[0][1]}")

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self.state.metrics.render(),
            headers={"Content-Type": "text/plain; version=0.0.4; charset=utf-8"},
        )

    async def _state(self, request: web.Request) -> web.Response:
        return _json(explain.state_dump(self.state))

    async def _explain(self, request: web.Request) -> web.Response:
        call = request.query.get("call")
        if call is not None:
            return _json(explain.explain_call(self.state, call))
        service = ids.ServiceName(request.query.get("service", ""))
        found = explain.explain_service(self.state, service)
        if found is None:
            known = ", ".join(sorted(self.state.balancer_by_service))
            text = f"give call=ID or service=NAME, one of: {known}\n"
            return web.Response(status=400, text=text)
        return _json(found)

    async def _healthz(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _readyz(self, request: web.Request) -> web.Response:
        ready = self.state.readiness.handed_out
        phase = self.state.readiness.phase.value
        return web.Response(status=200 if ready else 503, text=phase + "\n")


def _json(value: object) -> web.Response:
    return web.Response(
        body=msgspec.json.format(msgspec.json.encode(value), indent=1),
        content_type="application/json",
    )
