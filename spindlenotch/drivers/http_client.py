"""
The one place where HTTP sessions of the drivers are set up.

Owns what all of them share, and the switches in which they differ on purpose.
A session takes no cookies: they would carry one caller's state to the next.
Relies on aiohttp; limits of single calls are set where the calls are made.
"""

from collections import abc

import aiohttp

from spindlenotch import ids

#: aiohttp's own limit of connections.
DEFAULT_CONNECTIONS = 100


def new_session(
    *,
    connections: int = DEFAULT_CONNECTIONS,
    caches_addresses: bool = True,
    closes_connections: bool = False,
    resends: bool = True,
    decompresses: bool = True,
    timeout: aiohttp.ClientTimeout | None = None,
    request_class: type[aiohttp.ClientRequest] = aiohttp.ClientRequest,
    traces: abc.Sequence[aiohttp.TraceConfig] = (),
) -> aiohttp.ClientSession:
    """
    Return a session of the running loop.

    ``connections`` bounds those open at once; 0: no limit. Without
    ``caches_addresses`` a name is looked up for each new connection, and with
    ``closes_connections`` none is used twice. With ``resends`` aiohttp itself
    repeats idempotent methods, PUT among them, where a kept connection drops.
    ``decompresses`` decodes compressed bodies. ``timeout`` None is aiohttp's
    default, for sessions whose calls all bring their own.
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
    if not resends:
        # There is no public switch for this.
        session._retry_connection = False
    return session


class LazySession:
    """Opens its session at the first use, since it belongs to the running loop."""

    def __init__(self, open_session: abc.Callable[[], aiohttp.ClientSession]) -> None:
        self._open_session = open_session
        self._session: aiohttp.ClientSession | None = None

    def get(self) -> aiohttp.ClientSession:
        """Return the session."""
        if self._session is None:
            self._session = self._open_session()
        return self._session

    def close_idle(self, address: ids.Address) -> None:
        """Close the connections that are kept to ``address`` and not in use."""
        connector = None if self._session is None else self._session.connector
        if connector is None:
            return
        # There is no public way to these; aiohttp itself drops those that are closed.
        for key, kept in connector._conns.items():
            if f"{key.host}:{key.port}" == address:
                for protocol, _ in kept:
                    protocol.close()

    async def close(self) -> None:
        """Drop all connections; the session can't be used afterwards."""
        if self._session is not None:
            await self._session.close()
