"""
Driver for the platform's host list over HTTP.

Protocol: ``GET /hosts`` with ``If-None-Match: "REVISION"``; 304 if the list is
unchanged, else JSON as in ``hostlist.HostTable``. Owns one HTTP session.
"""

import aiohttp

from spindlenotch import ports
from spindlenotch.drivers import http_client
from spindlenotch.kernel import hostlist

#: Timeout of one call, in seconds.
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
        """Return the list, or None if it is unchanged since ``known_revision``."""
        try:
            async with self.session.get().get(
                f"{self.base_url}/hosts",
                headers={"If-None-Match": f'"{known_revision}"'},
                timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
                allow_redirects=False,
            ) as response:
                body = await http_client.read_body(response)
        except (aiohttp.ClientError, TimeoutError, OSError):
            # Callers treat every cause alike: they keep the list they have.
            return ports.HostListFault.UNAVAILABLE
        if response.status == UNCHANGED:
            return None
        table = hostlist.decode(body) if response.status == OK else None
        if table is None:
            return ports.HostListFault.GARBLED
        return ports.HostListing(table.revision, body)

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()
