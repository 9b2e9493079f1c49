"""
Listener for callers: accepts connections and closes idle ones.

Owns the listening socket and the aiohttp servers behind it. Each request is passed
to the handler given at construction; a pipelined request may be started before its
turn (``pipelining``). Relies on aiohttp for HTTP/1.1 and keep-alive. The operator's
idle timeout is read for each new connection.
"""

import asyncio
import socket
from collections import abc

from aiohttp import web_request, web_response, web_server

from spindlenotch import ids
from spindlenotch.drivers import listener
from spindlenotch.gateway.serving import gated_connection, overload_gate, pipelining

Handler = abc.Callable[
    [web_request.BaseRequest], abc.Awaitable[web_response.StreamResponse]
]

#: Seconds that an idle connection stays open beyond the operator's limit, so that a
#: request sent just before the limit does not meet a closed connection.
IDLE_MARGIN_S = 1.0
#: Maximum number of connections waiting to be accepted.
BACKLOG = 1024
#: Maximum length of a request line in bytes.
MAX_LINE_BYTES = 64 * 1024
#: Maximum length of a header field in bytes.
MAX_FIELD_BYTES = 64 * 1024


class CallerListener:
    """
    Accepts callers' connections.

    ``idle_timeout_s`` returns the current idle timeout in seconds. aiohttp sets the
    timeout of a server at construction, so there is one server for each timeout
    under which an open connection was accepted. ``gate`` decides on connections that
    are accepted while processor time is lacking.
    """

    def __init__(
        self,
        handler: Handler,
        start_early: pipelining.EarlyStarter,
        idle_timeout_s: abc.Callable[[], float],
        gate: overload_gate.OverloadGate,
    ) -> None:
        self._gate = gate
        self._handler = handler
        self._start_early = start_early
        self._idle_timeout_s = idle_timeout_s
        self._server_by_idle_timeout_s: dict[float, web_server.Server] = {}
        self._listener: listener.Listener | None = None

    def start(self, address: ids.Address) -> None:
        """Listen on ``address``; raises ``OSError`` if it can't be bound."""
        self._listener = listener.create(self._accept_gated, address, BACKLOG)

    def stop_accepting(self) -> None:
        """Stop accepting connections; open ones stay open."""
        if self._listener is not None:
            self._listener.close()

    async def stop(self, limit_s: float) -> None:
        """
        Close each connection after the response to its current request.

        Connections with a request still unanswered after ``limit_s`` seconds are
        aborted.
        """
        self.stop_accepting()
        servers = list(self._server_by_idle_timeout_s.values())
        for server in servers:
            for connection in server.connections:
                # ``shutdown`` alone keeps idle connections open until the limit
                # and never answers requests received on them meanwhile.
                connection.close()
        await asyncio.gather(*(server.shutdown(limit_s) for server in servers))

    def _accept_gated(self, connection: socket.socket) -> asyncio.BaseProtocol | None:
        """Create the protocol of a new connection; None if its request is refused."""
        if not self._gate.is_closed():
            return self._accept()
        match self._gate.judge(connection):
            case overload_gate.Verdict.ADMITTED:
                return self._accept()
            case overload_gate.Verdict.UNKNOWN:
                return gated_connection.GatedConnection(self._gate, self._accept)
        return None

    def _accept(self) -> asyncio.BaseProtocol:
        """Create the protocol of a new connection, with the current idle timeout."""
        timeout_s = self._idle_timeout_s()
        self._drop_unused_servers(timeout_s)
        server = self._server_by_idle_timeout_s.get(timeout_s)
        if server is None:
            server = self._new_server(timeout_s)
            self._server_by_idle_timeout_s[timeout_s] = server
        return server()

    def _drop_unused_servers(self, timeout_s: float) -> None:
        """Drop servers with another idle timeout that have no connection left."""
        for other_timeout_s, server in list(self._server_by_idle_timeout_s.items()):
            if other_timeout_s != timeout_s and not server.connections:
                del self._server_by_idle_timeout_s[other_timeout_s]

    def _new_server(self, timeout_s: float) -> web_server.Server:
        return pipelining.PipeliningServer(
            self._handler,
            self._start_early,
            keepalive_timeout=timeout_s + IDLE_MARGIN_S,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_FIELD_BYTES,
            access_log=None,
            # Upstreams get bodies as callers sent them.
            auto_decompress=False,
        )
