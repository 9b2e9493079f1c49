"""
Creates the HTTP sessions of the drivers.

Owns their common settings, and the options in which they differ on purpose. A
session stores no cookies: they would leak one caller's state to the next. Relies on
aiohttp; the timeouts of single calls are set where the calls are made.
"""

from collections import abc

import aiohttp

from spindlenotch import ids

#: aiohttp's own default limit of connections per session.
DEFAULT_CONNECTIONS = 100


def new_session(
    *,
    connections: int = DEFAULT_CONNECTIONS,
    caches_addresses: bool = True,
    closes_connections: bool = False,
    retries_idempotent: bool = True,
    decompresses: bool = True,
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
    ``decompresses`` decodes compressed bodies. ``timeout`` None is aiohttp's
    default, for sessions whose calls all set their own.
    """
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=connections,
            use_dns_cache=caches_addresses,
            force_close=closes_connections,
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=decompresses,
        timeout=timeout,
        request_class=request_class,
        trace_configs=list(traces),
    )
    if not retries_idempotent:
        # aiohttp has no public option for this.
        session._retry_connection = False
    return session


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

    def close_idle(self, address: ids.Address) -> None:
        """Close the idle keep-alive connections to ``address``."""
        connector = None if self._session is None else self._session.connector
        if connector is None:
            return
        # aiohttp has no public access to these; it discards closed ones itself.
        for key, idle_connections in connector._conns.items():
            if f"{key.host}:{key.port}" == address:
                for protocol, _ in idle_connections:
                    protocol.close()

    async def close(self) -> None:
        """Close all connections; the session cannot be used afterwards."""
        if self._session is not None:
            await self._session.close()
