"""
The gateway's HTTP ports other than the callers': readiness, directory, metrics, state.

Owns their listening sockets. The paths are distinct, so one server handles all
addresses. Reads the gateway's state and the fleet without changing them;
``state_dump`` defines the format of ``/state``.
"""

from collections import abc

import msgspec
from aiohttp import web_request, web_response, web_server

from spindlenotch import ids
from spindlenotch.drivers import listener
from spindlenotch.gateway import dialect, state, state_dump
from spindlenotch.gateway.cluster import fleet
from spindlenotch.gateway.source import region_rules

Responder = abc.Callable[[], web_response.Response]

METRICS_PATH = "/metrics"
STATE_PATH = "/state"
#: Maximum number of connections waiting to be accepted.
BACKLOG = 100
#: Seconds for open requests to complete when the ports close.
SHUTDOWN_TIMEOUT_S = 0.1


class SidePorts:
    """Serves readiness checks, directory queries, metrics and the state page."""

    def __init__(
        self,
        gateway_state: state.GatewayState,
        gateway_fleet: fleet.Fleet,
        gateway_dialect: dialect.Dialect,
    ) -> None:
        self.state = gateway_state
        self.fleet = gateway_fleet
        self.dialect = gateway_dialect
        self._server = web_server.Server(self._handle, access_log=None)
        self._listeners: list[listener.Listener] = []
        self._responder_by_path: dict[str, Responder] = {
            gateway_dialect.ready_path: self._ready,
            gateway_dialect.directory_path: self._directory,
            METRICS_PATH: self._metrics,
            STATE_PATH: self._state,
        }

    async def start(self) -> None:
        """Listen on all addresses; raise ``OSError`` if one is already in use."""
        config = self.state.config
        addresses = {
            config.ready_listen,
            config.directory_listen,
            config.operator_listen,
        }
        for address in sorted(addresses):
            self._listeners.append(
                listener.create(lambda _: self._server(), address, BACKLOG)
            )

    async def stop(self) -> None:
        """Close all ports and connections."""
        for one in self._listeners:
            one.close()
        await self._server.shutdown(SHUTDOWN_TIMEOUT_S)

    async def _handle(
        self, request: web_request.BaseRequest
    ) -> web_response.StreamResponse:
        if request.path == self.dialect.directory_path:
            return self._directory(self.dialect.read_origin(request.query))
        responder = self._responder_by_path.get(request.path)
        if responder is None:
            return web_response.Response(status=404, text="no such page\n")
        return responder()

    def _ready(self) -> web_response.Response:
        if self.state.ready:
            return web_response.Response(status=200)
        return web_response.Response(status=503, text=f"{self.state.unready_reason}\n")

    def _directory(
        self, origin: dialect.Origin = dialect.UNKNOWN_ORIGIN
    ) -> web_response.Response:
        """List the gateways that callers may use for ``hand_out_s`` seconds."""
        addresses = self.fleet.addresses_for(
            self._region_of(origin), self._allowed_regions(origin)
        )
        if not addresses:
            return web_response.Response(status=503, text="no gateway is ready\n")
        directory = dialect.Directory(
            addresses=tuple(addresses), valid_for_s=self.state.config.hand_out_s
        )
        return web_response.Response(
            body=self.dialect.render_directory(directory),
            content_type="application/json",
        )

    def _region_of(self, origin: dialect.Origin) -> ids.RegionName:
        """Return the caller's region; the gateway's own if the query gives none."""
        if origin.region is not None:
            return origin.region
        if origin.zone is not None:
            return self.state.regions.region(origin.zone)
        return self.state.region

    def _allowed_regions(
        self, origin: dialect.Origin
    ) -> frozenset[ids.RegionName] | None:
        """Return the regions that may serve the requested host; None: all regions."""
        table = self.state.table
        if table is None or origin.host is None:
            return None
        return region_rules.common_regions(table.routes_of(origin.host))

    def _metrics(self) -> web_response.Response:
        return web_response.Response(
            body=self.state.metrics.render(), content_type="text/plain"
        )

    def _state(self) -> web_response.Response:
        page = state_dump.create(self.state, self.fleet)
        return web_response.Response(
            body=msgspec.json.encode(page), content_type="application/json"
        )
