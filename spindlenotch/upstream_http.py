"""
Driver that talks HTTP/1.1 to upstreams through aiohttp.

Every default of aiohttp that could break a promise is set here: no silent
resend on a dropped connection, no redirects, no decompression, no cookies, no
total timeout. A request that may not be repeated goes over a new connection,
so that a failure before the first byte is known for what it is.
"""

import types
import typing

import aiohttp
import yarl

from spindlenotch import headers, ids, ports, upstreams

CONNECT_TIMEOUT_S = 1.0
CHUNK_BYTES = 64 * 1024
PROBE_PATH = "/-/load"
SKIPPED = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class _TooLateError(Exception):
    """Raised inside aiohttp's hooks when the first byte may not be sent."""


class HttpAnswer:
    """
    An answer whose head has come.

    Invariant: ``chunk`` returns an empty piece only where the body ended as
    its framing says. An answer that is not read to that end is abandoned,
    and its connection closed.
    """

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response
        self.status = response.status
        self.headers = [(k, v) for k, v in response.headers.items()]
        self.length = response.content_length
        marks = response.headers
        self.not_run = marks.get(headers.OUTCOME) == "not-run"
        self.draining = marks.get(headers.STATE) == "draining"
        self.retry_after_s = _seconds(marks.get("Retry-After"))
        self.report = read_report(marks.get(headers.LOAD))

    async def chunk(self) -> bytes | ports.UpstreamFault:
        """Return the next piece of the body; empty at its true end."""
        try:
            return await self._response.content.read(CHUNK_BYTES)
        except (aiohttp.ClientError, OSError, TimeoutError):
            self.abandon()
            return ports.UpstreamFault.CONNECTION_LOST

    def abandon(self) -> None:
        """Close the connection; it is never used again."""
        self._response.close()


@ports.UPSTREAM_PORTS.register("http")
class HttpUpstreamPort:
    """Two sessions: one that keeps connections, one that never does."""

    def __init__(self) -> None:
        self._kept: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None

    async def send(
        self, request: ports.UpstreamRequest
    ) -> ports.UpstreamAnswer | ports.UpstreamFault:
        """Send a request and wait for the head of its answer."""
        session = self._session(fresh=request.fresh)
        context = types.SimpleNamespace(may_send=request.may_send)
        if not request.may_send():
            return ports.UpstreamFault.TOO_LATE
        try:
            response = await session.request(
                request.method,
                yarl.URL(f"http://{request.address}{request.target}", encoded=True),
                headers=request.headers,
                data=request.body,
                allow_redirects=False,
                skip_auto_headers=SKIPPED,
                trace_request_ctx=context,
            )
        except _TooLateError:
            return ports.UpstreamFault.TOO_LATE
        except aiohttp.ClientConnectorError:
            return ports.UpstreamFault.CONNECT_FAILED
        except aiohttp.ConnectionTimeoutError:
            return ports.UpstreamFault.CONNECT_FAILED
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            return ports.UpstreamFault.CONNECTION_LOST
        if response.headers.get(headers.REQUEST_ID) != request.request_id:
            response.close()
            return ports.UpstreamFault.FOREIGN_ANSWER
        return HttpAnswer(response)

    async def probe(
        self, address: ids.Address, timeout_s: float
    ) -> upstreams.LoadReport | ports.UpstreamFault:
        """Ask an upstream for its load."""
        session = self._session(fresh=False)
        try:
            async with session.get(
                f"http://{address}{PROBE_PATH}",
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                allow_redirects=False,
                trace_request_ctx=types.SimpleNamespace(may_send=lambda: True),
            ) as response:
                await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return ports.UpstreamFault.CONNECTION_LOST
        if response.headers.get(headers.STATE) == "draining":
            return ports.UpstreamFault.DRAINING
        report = read_report(response.headers.get(headers.LOAD))
        if response.status != 200 or report is None:
            return ports.UpstreamFault.FOREIGN_ANSWER
        return report

    async def close(self) -> None:
        """Drop all connections."""
        for session in (self._kept, self._fresh):
            if session is not None:
                await session.close()

    def _session(self, *, fresh: bool) -> aiohttp.ClientSession:
        if self._kept is None or self._fresh is None:
            self._kept = _new_session(force_close=False)
            self._fresh = _new_session(force_close=True)
        return self._fresh if fresh else self._kept


def read_report(text: str | None) -> upstreams.LoadReport | None:
    """Read ``running=4,queued=1``; None where it is absent or malformed."""
    if text is None or len(text) > 64:
        return None
    try:
        pairs = dict(item.split("=", 1) for item in text.split(","))
        running, queued = int(pairs["running"]), int(pairs["queued"])
    except (ValueError, KeyError):
        return None
    if not (0 <= running <= 1_000_000 and 0 <= queued <= 1_000_000):
        return None
    return upstreams.LoadReport(running, queued)


def _new_session(*, force_close: bool) -> aiohttp.ClientSession:
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_check_last_moment)
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0, force_close=force_close, use_dns_cache=False
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        trace_configs=[trace],
    )
    # aiohttp resends idempotent methods when a kept connection drops. Here
    # every resend must come from the retry budget; there is no public switch.
    session._retry_connection = False
    return session


async def _check_last_moment(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    params: typing.Any,
) -> None:
    """Ask again after connecting: the process may have been paused."""
    if not context.trace_request_ctx.may_send():
        raise _TooLateError


def _seconds(text: str | None) -> float | None:
    try:
        return None if text is None else float(text)
    except ValueError:
        return None
