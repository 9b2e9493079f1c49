"""
Creates the HTTP sessions of this project.

Owns their common settings, and the options in which they differ on purpose.
``response_handler`` checks what they receive. A session stores no cookies: they would
leak one caller's state to the next. Relies on aiohttp; the timeouts of single calls are
set where the calls are made.
"""

import asyncio
import functools
import select
import socket
import typing
import weakref
from collections import abc

import aiohttp
import aiohttp.client_proto

from spindlenotch import ids
from spindlenotch.drivers import response_handler

#: aiohttp's own default limit of connections per session.
DEFAULT_CONNECTIONS = 100
#: Seconds without a segment from the peer after which the kernel sends a keep-alive
#: probe, and between two probes.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
#: Unanswered keep-alive probes after which the kernel ends the connection.
KEEPALIVE_PROBES = 1
#: Milliseconds without an acknowledgement of sent data after which it does so. Linux
#: applies it to keep-alive too, whatever the number of probes; it is longer than
#: ``KEEPALIVE_IDLE_S`` and shorter than the time of all probes, so that it changes
#: nothing there.
USER_TIMEOUT_MS = 1500
#: Maximum size of a response that is read as a whole, in bytes, and of one read of it.
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
READ_BYTES = 64 * 1024


class StaleConnectionError(Exception):
    """Raised before the first byte if a keep-alive connection is unusable."""


#: Connections over which a request was sent: only those can be stale.
_used_connections: weakref.WeakSet[aiohttp.client_proto.ResponseHandler] = (
    weakref.WeakSet()
)


class CheckedRequest(aiohttp.ClientRequest):
    """
    A request that is sent only over a connection without unread data.

    Data that arrived while a connection was idle belongs to no request; it would be
    read as the response to the next one. A new connection is not checked: if the peer
    resets each of them, the request must fail and not try one after the other.
    """

    async def send(self, conn: aiohttp.connector.Connection) -> aiohttp.ClientResponse:
        """Send the request, or raise ``StaleConnectionError``."""
        if conn.protocol is None or conn.protocol.should_close:
            raise StaleConnectionError
        if conn.protocol not in _used_connections:
            _used_connections.add(conn.protocol)
        elif conn.transport is None or _has_unread(conn.transport):
            raise StaleConnectionError
        return await super().send(conn)


def _has_unread(transport: asyncio.Transport) -> bool:
    """
    Return whether the kernel holds data, or the end of the connection, for a socket.

    While this process is busy or paused, the event loop has not read them yet.
    """
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


def new_session(
    *,
    connections: int = DEFAULT_CONNECTIONS,
    caches_addresses: bool = True,
    closes_connections: bool = False,
    retries_idempotent: bool = True,
    decompresses: bool = True,
    detects_silence: bool = False,
    timeout: aiohttp.ClientTimeout | None = None,
    request_class: type[aiohttp.ClientRequest] = aiohttp.ClientRequest,
    traces: abc.Sequence[aiohttp.TraceConfig] = (),
) -> aiohttp.ClientSession:
    """
    Return a session of the running event loop.

    ``connections`` limits the connections open at once; 0: no limit. Without
    ``caches_addresses`` a name is resolved for each new connection, and with
    ``closes_connections`` no connection is reused. With ``retries_idempotent``
    aiohttp itself retries idempotent methods, PUT among them, if a keep-alive
    connection drops.
    ``decompresses`` decodes compressed bodies. With ``detects_silence`` a connection
    fails within 2 s if the peer's host no longer acknowledges anything, which long
    polls would not notice until their timeout. ``timeout`` None is aiohttp's
    default, for sessions whose calls all set their own.
    """
    connector = aiohttp.TCPConnector(
        limit=connections,
        use_dns_cache=caches_addresses,
        force_close=closes_connections,
        socket_factory=_new_keepalive_socket if detects_silence else None,
    )
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=decompresses,
        timeout=timeout,
        request_class=request_class,
        trace_configs=list(traces),
    )
    # aiohttp has no public option for this, nor for the next.
    typing.cast(typing.Any, connector)._factory = functools.partial(
        response_handler.StrictResponseHandler, loop=asyncio.get_running_loop()
    )
    if not retries_idempotent:
        session._retry_connection = False
    return session


def _new_keepalive_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    """Return a socket on which the kernel detects a peer that has gone silent."""
    family, kind, protocol, _, _ = address
    created = socket.socket(family, kind, protocol)
    created.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        created.setsockopt(socket.IPPROTO_TCP, option, value)
    return created


async def read_response(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    max_bytes: int = MAX_RESPONSE_BYTES,
    **options: typing.Any,
) -> tuple[aiohttp.ClientResponse, bytes]:
    """
    Return the response to a request and its body, over a usable connection.

    For sessions of ``CheckedRequest``; ``options`` are those of aiohttp's ``request``,
    whose errors are raised. A body of more than ``max_bytes`` raises
    ``aiohttp.ClientPayloadError``.
    """
    while True:
        try:
            async with session.request(method, url, **options) as response:
                return response, await read_body(response, max_bytes)
        except StaleConnectionError:
            # aiohttp has closed the connection, and nothing was sent.
            continue


async def read_body(
    response: aiohttp.ClientResponse, max_bytes: int = MAX_RESPONSE_BYTES
) -> bytes:
    """
    Return the body of a response, up to a maximum size in bytes.

    A longer one raises ``aiohttp.ClientPayloadError``, and aiohttp's errors are raised.
    """
    chunks: list[bytes] = []
    size = 0
    while chunk := await response.content.read(READ_BYTES):
        size += len(chunk)
        if size > max_bytes:
            response.close()
            raise aiohttp.ClientPayloadError(f"a body of more than {max_bytes} bytes")
        chunks.append(chunk)
    return b"".join(chunks)


class LazySession:
    """Opens its session at first use, as a session belongs to the running loop."""

    def __init__(self, open_session: abc.Callable[[], aiohttp.ClientSession]) -> None:
        self._open_session = open_session
        self._session: aiohttp.ClientSession | None = None

    def get(self) -> aiohttp.ClientSession:
        """Return the session."""
        if self._session is None:
            self._session = self._open_session()
        return self._session

    def close_idle(self, address: ids.Address | None = None) -> None:
        """Close the idle keep-alive connections to ``address``; None: all of them."""
        connector = None if self._session is None else self._session.connector
        if connector is None:
            return
        # aiohttp has no public access to these; it discards closed ones itself.
        for key, idle_connections in connector._conns.items():
            if address is None or f"{key.host}:{key.port}" == address:
                for protocol, _ in idle_connections:
                    protocol.close()

    async def close(self) -> None:
        """Close all connections; the session cannot be used afterwards."""
        if self._session is not None:
            await self._session.close()
