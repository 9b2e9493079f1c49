"""
Driver for the platform's key-value service over HTTP; owns one session.

Protocol: ``GET /kv/KEY``, ``PUT /kv/KEY?expected=REVISION[&lease_s=S]``,
``GET /watch/KEY?after=REVISION&wait_s=S``; the revision travels in the header
``X-Revision``. Answers 409 (conflict), 413 (too large), 429 (over limit).
"""

import aiohttp

from spindlenotch import ports
from spindlenotch.drivers import http_client

#: Timeout of a read or write, in seconds.
CALL_TIMEOUT_S = 1.5
#: Time that a watch may take beyond the requested wait, in seconds.
WATCH_GRACE_S = 2.0
#: Limit of connections open at once, waiting watches included.
CONNECTIONS = 64
REVISION = "X-Revision"
OK = 200
NOT_FOUND = 404
CONFLICT = 409
LEAST_SERVER_ERROR = 500
FAULT_BY_STATUS = {
    413: ports.StoreFault.TOO_LARGE,
    429: ports.StoreFault.OVER_LIMIT,
}


@ports.STORES.register("http")
class HttpStore:
    """
    Client of the store at ``base_url``.

    Invariant: every call ends within its timeout, with a value or a fault.
    """

    def __init__(self, base_url: str) -> None:
        self.base_url = base_url.rstrip("/")
        self.session = http_client.LazySession(_new_session)

    async def get(self, key: str) -> ports.Stored | ports.StoreFault:
        """Read ``key``; an absent key has revision zero."""
        return await self._read(f"/kv/{key}", {}, CALL_TIMEOUT_S)

    async def compare_and_swap(
        self, key: str, value: bytes, expected: int, lease_s: float | None = None
    ) -> ports.Stored | ports.Conflict | ports.StoreFault:
        """Compare and swap; see ``ports.Store.compare_and_swap``."""
        params = {"expected": str(expected)}
        if lease_s is not None:
            params["lease_s"] = str(lease_s)
        try:
            async with self.session.get().put(
                f"{self.base_url}/kv/{key}",
                params=params,
                data=value,
                timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
                allow_redirects=False,
            ) as response:
                revision = int(response.headers.get(REVISION, "0"))
                await http_client.read_body(response)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            # Whatever the cause, the write may have taken effect.
            self.session.close_idle()
            return ports.StoreFault.UNAVAILABLE
        if response.status == OK:
            return ports.Stored(revision, value)
        if response.status == CONFLICT:
            return ports.Conflict(revision)
        return _fault(response.status)

    async def watch(
        self, key: str, after: int, wait_s: float
    ) -> ports.Stored | ports.StoreFault:
        """Wait for a revision above ``after``, at most ``wait_s`` seconds."""
        params = {"after": str(after), "wait_s": str(wait_s)}
        return await self._read(f"/watch/{key}", params, wait_s + WATCH_GRACE_S)

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def _read(
        self, path: str, params: dict[str, str], timeout_s: float
    ) -> ports.Stored | ports.StoreFault:
        try:
            async with self.session.get().get(
                self.base_url + path,
                params=params,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                allow_redirects=False,
            ) as response:
                body = await http_client.read_body(response)
                revision = int(response.headers.get(REVISION, "0"))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            # Callers treat every cause alike: they keep the value they have. Idle
            # connections may have gone silent together with this one.
            self.session.close_idle()
            return ports.StoreFault.UNAVAILABLE
        if response.status == OK:
            return ports.Stored(revision, body)
        if response.status == NOT_FOUND:
            return ports.Stored(0, b"")
        return _fault(response.status)


def _new_session() -> aiohttp.ClientSession:
    # aiohttp may retry a write if a keep-alive connection drops. The expected
    # revision prevents it from taking effect twice, but the retry of a write that
    # did take effect is rejected as a conflict with the write itself.
    return http_client.new_session(
        connections=CONNECTIONS, caches_addresses=False, detects_silence=True
    )


def _fault(status: int) -> ports.StoreFault:
    if status in FAULT_BY_STATUS:
        return FAULT_BY_STATUS[status]
    if status >= LEAST_SERVER_ERROR:
        return ports.StoreFault.UNAVAILABLE
    return ports.StoreFault.REJECTED
