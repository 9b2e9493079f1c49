"""
Driver for the platform's host list over HTTP.

Protocol: ``GET /hosts`` with ``If-None-Match: "REVISION"``; 304 where it is
unchanged, else JSON as in ``hostlist.HostTable``.
"""

import aiohttp

from spindlenotch import ports
from spindlenotch.kernel import hostlist

CALL_TIMEOUT_S = 1.5


@ports.HOST_LISTS.register("http")
class HttpHostList:
    """Fetches the list from ``base_url``."""

    def __init__(self, base_url: str) -> None:
        self.base_url = base_url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None

    async def fetch(self, known: int) -> ports.HostListing | ports.HostListFault | None:
        """Return the list, or None where its revision is still ``known``."""
        if self._session is None:
            self._session = aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar())
        try:
            async with self._session.get(
                f"{self.base_url}/hosts",
                headers={"If-None-Match": f'"{known}"'},
                timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
                allow_redirects=False,
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return ports.HostListFault.UNAVAILABLE
        if response.status == 304:
            return None
        table = hostlist.decode(body) if response.status == 200 else None
        if table is None:
            return ports.HostListFault.GARBLED
        return ports.HostListing(table.revision, body)

    async def close(self) -> None:
        """Drop all connections."""
        if self._session is not None:
            await self._session.close()
