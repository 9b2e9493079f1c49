"""
The port that callers connect to: accepts connections and closes idle ones.

Owns the listening socket and the aiohttp servers behind it. Each request goes
to the handler given at construction; one that was sent behind others may be begun
before (``pipelining``). Relies on aiohttp for HTTP/1.1 and for
keep-alive; the operator's idle timeout is read anew for each connection.
"""

import asyncio
from collections import abc

from aiohttp import web_request, web_response, web_server

from spindlenotch import ids
from spindlenotch.gateway.serving import pipelining
from spindlenotch.peers import peer_link

Handler = abc.Callable[
    [web_request.BaseRequest], abc.Awaitable[web_response.StreamResponse]
]

#: Seconds an idle connection stays open beyond the operator's limit, so that a caller
#: that reuses it just in time is not cut off.
IDLE_MARGIN_S = 1.0
#: Connections that may wait to be accepted.
BACKLOG = 1024
#: Bytes of the longest request line.
MAX_LINE_BYTES = 64 * 1024
#: Bytes of the longest header field.
MAX_FIELD_BYTES = 64 * 1024


class CallerListener:
    """
    Accepts callers' connections.

    ``idle_timeout_s`` returns the limit in force, in seconds. aiohttp fixes the
    timeout of a server at construction, so there is one server for each limit
    that open connections were accepted under.
    """

    def __init__(
        self,
        handler: Handler,
        begin_early: pipelining.BeginEarly,
        idle_timeout_s: abc.Callable[[], float],
    ) -> None:
        self._handler = handler
        self._begin_early = begin_early
        self._idle_timeout_s = idle_timeout_s
        self._server_by_idle_timeout_s: dict[float, web_server.Server] = {}
        self._socket: asyncio.Server | None = None

    async def start(self, address: ids.Address) -> None:
        """Listen on ``address``; raises ``OSError`` where it can't be bound."""
        host, port = peer_link.split_host_port(address)
        loop = asyncio.get_running_loop()
        self._socket = await loop.create_server(
            self._accept, host, port, backlog=BACKLOG
        )

    def stop_accepting(self) -> None:
        """Accept no new connections; those that are open stay open."""
        if self._socket is not None:
            self._socket.close()

    async def stop(self, limit_s: float) -> None:
        """
        Close all connections, each when its request is answered.

        Those that still have a request after ``limit_s`` seconds are cut off.
        """
        self.stop_accepting()
        servers = list(self._server_by_idle_timeout_s.values())
        for server in servers:
            for connection in server.connections:
                # ``shutdown`` alone leaves idle connections open until its limit
                # and never answers what is sent over them meanwhile.
                connection.close()
        await asyncio.gather(*(server.shutdown(limit_s) for server in servers))

    def _accept(self) -> asyncio.BaseProtocol:
        """Return the protocol of a new connection, by the limit in force."""
        timeout_s = self._idle_timeout_s()
        self._drop_unused(timeout_s)
        server = self._server_by_idle_timeout_s.get(timeout_s)
        if server is None:
            server = self._new_server(timeout_s)
            self._server_by_idle_timeout_s[timeout_s] = server
        return server()

    def _drop_unused(self, timeout_s: float) -> None:
        """Drop the servers of other limits that have no connection left."""
        for other_s, server in list(self._server_by_idle_timeout_s.items()):
            if other_s != timeout_s and not server.connections:
                del self._server_by_idle_timeout_s[other_s]

    def _new_server(self, timeout_s: float) -> web_server.Server:
        return pipelining.PipeliningServer(
            self._handler,
            self._begin_early,
            keepalive_timeout=timeout_s + IDLE_MARGIN_S,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_FIELD_BYTES,
            access_log=None,
        )
