"""
Driver for the platform's host list over HTTP.

Protocol: ``GET /hosts`` with ``If-None-Match: "REVISION"``; 304 where it is
unchanged, else JSON as in ``hostlist.HostTable``. Owns one HTTP session.
"""

import aiohttp

from spindlenotch import ports
from spindlenotch.drivers import http_client
from spindlenotch.kernel import hostlist

#: Longest time of one call, in seconds.
CALL_TIMEOUT_S = 1.5
UNCHANGED = 304
OK = 200


@ports.HOST_LISTS.register("http")
class HttpHostList:
    """Fetches the list from ``base_url``; see ``ports.HostList``."""

    def __init__(self, base_url: str) -> None:
        self.base_url = base_url.rstrip("/")
        self.session = http_client.LazySession(http_client.new_session)

    async def fetch(
        self, known_revision: int
    ) -> ports.HostListing | ports.HostListFault | None:
        """Return the list, or None where its revision is still ``known_revision``."""
        try:
            async with self.session.get().get(
                f"{self.base_url}/hosts",
                headers={"If-None-Match": f'"{known_revision}"'},
                timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
                allow_redirects=False,
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            # Callers act alike on each cause: they keep the list they have.
            return ports.HostListFault.UNAVAILABLE
        if response.status == UNCHANGED:
            return None
        table = hostlist.decode(body) if response.status == OK else None
        if table is None:
            return ports.HostListFault.GARBLED
        return ports.HostListing(table.revision, body)

    async def close(self) -> None:
        """Drop all connections."""
        await self.session.close()
