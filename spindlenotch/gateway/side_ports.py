"""
The small ports beside that for callers: readiness, directory, operator.
"""

import asyncio
import typing

import msgspec
from aiohttp import web_request, web_response, web_server

from spindlenotch.gateway import (
    dialect as dialects,
    fleet as fleets,
    state as states,
)
from spindlenotch.peers import peer_link

Answer = typing.Callable[[web_request.BaseRequest], web_response.Response]


class SidePorts:
    """Answers who asks for readiness, addresses, metrics or the state."""

    def __init__(
        self,
        state: states.GatewayState,
        fleet: fleets.Fleet,
        dialect: dialects.Dialect,
    ) -> None:
        self.state = state
        self.fleet = fleet
        self.dialect = dialect
        self._server = web_server.Server(self._handle, access_log=None)
        self._listeners: list[asyncio.Server] = []
        self._answer_by_path: dict[str, Answer] = {
            dialect.ready_path: self._ready,
            dialect.directory_path: self._directory,
            "/metrics": self._metrics,
            "/state": self._state,
        }

    async def start(self) -> None:
        """Listen on all side addresses; the paths differ, so they share a server."""
        config = self.state.config
        loop = asyncio.get_running_loop()
        addresses = {
            config.ready_listen,
            config.directory_listen,
            config.operator_listen,
        }
        for address in sorted(addresses):
            host, port = peer_link.split(address)
            listener = await loop.create_server(self._server, host, port)
            self._listeners.append(listener)

    async def stop(self) -> None:
        """Close everything."""
        for listener in self._listeners:
            listener.close()
        await self._server.shutdown(0.1)

    async def _handle(
        self, request: web_request.BaseRequest
    ) -> web_response.StreamResponse:
        answer = self._answer_by_path.get(request.path)
        if answer is None:
            return web_response.Response(status=404, text="no such page\n")
        return answer(request)

    def _ready(self, request: web_request.BaseRequest) -> web_response.Response:
        return web_response.Response(status=200 if self.state.ready else 503)

    def _directory(self, request: web_request.BaseRequest) -> web_response.Response:
        addresses = sorted(self.fleet.entries().values())
        if not addresses:
            return web_response.Response(status=503, text="no gateway is ready\n")
        directory = dialects.Directory(tuple(addresses), self.state.config.hand_out_s)
        return web_response.Response(
            body=self.dialect.render_directory(directory),
            content_type="application/json",
        )

    def _metrics(self, request: web_request.BaseRequest) -> web_response.Response:
        return web_response.Response(
            body=self.state.metrics.render(), content_type="text/plain"
        )

    def _state(self, request: web_request.BaseRequest) -> web_response.Response:
        return web_response.Response(
            body=msgspec.json.encode(dump(self.state, self.fleet)),
            content_type="application/json",
        )


def dump(state: states.GatewayState, fleet: fleets.Fleet) -> dict[str, typing.Any]:
    """Return what this gateway believes, and how old each belief is."""
    now = state.clock.now()
    return {
        "host": state.config.host,
        "phase": state.phase.value,
        "version": state.version,
        "reads_source": state.reads_source,
        "entries": sorted(fleet.entries()),
        "peers": {
            host: {
                "status": known.record.status.name,
                "heard_s_ago": round(now - known.updated_at, 3),
                "missed": known.missed,
            }
            for host, known in state.gossip.known_by_host.items()
        },
        "services": {
            name: {
                "waiting": len(service.queue),
                "extra_left": service.retries.balance,
                "upstreams": [
                    {
                        "id": upstream.spec.id,
                        "state": upstream.state.value,
                        "reason": upstream.state_reason,
                        "outstanding": upstream.outstanding,
                        "pace": round(upstream.slowdown(now), 2),
                        "slowness": round(upstream.latency_ratio.value, 2),
                        "told_s_ago": round(now - upstream.report_at, 3),
                    }
                    for upstream in service.pool.upstream_by_id.values()
                ],
            }
            for name, service in state.balancer_by_service.items()
        },
    }
