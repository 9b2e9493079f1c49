"""
Driver that talks HTTP/1.1 to upstreams through aiohttp.

Every default of aiohttp that could break a promise is set here: no silent
resend on a dropped connection, no redirects, no decompression, no cookies, no
total timeout. A request that may not be repeated goes over a new connection,
so that a failure before the first byte is known for what it is.
"""

import asyncio
import dataclasses
import types
import typing
from collections import abc

import aiohttp
import yarl

from spindlenotch import headers, ids, ports
from spindlenotch.kernel import upstreams

CONNECT_TIMEOUT_S = 1.0
CHUNK_BYTES = 64 * 1024
PROBE_PATH = "/-/load"
SKIPPED = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


Marks = abc.Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """
    How upstreams say what the product needs to know.

    Each function gets the status and the headers of an answer. ``genuine``
    tells whether an upstream made the answer, ``not_run`` whether it says
    that the request has not run and never will, ``leaving`` whether the
    upstream that was meant gets no more work.
    """

    request_id: str
    probe_path: str
    read_report: abc.Callable[[Marks], "upstreams.LoadReport | None"]
    genuine: abc.Callable[[int, Marks], bool]
    not_run: abc.Callable[[int, Marks], bool]
    leaving: abc.Callable[[int, Marks], bool]


class _TooLateError(Exception):
    """Raised inside aiohttp's hooks when the first byte may not be sent."""


class _StaleConnectionError(Exception):
    """Raised before the first byte where a kept connection can't be used."""


class _CheckedRequest(aiohttp.ClientRequest):
    """
    A request that is sent only over a connection on which nothing lies unread.

    What came while a connection rested belongs to no request; read as the next
    answer, it would be a foreign one.
    """

    async def send(self, conn: aiohttp.connector.Connection) -> aiohttp.ClientResponse:
        """Send the request, or raise where the connection can't be used."""
        if conn.protocol is None or conn.protocol.should_close:
            raise _StaleConnectionError
        return await super().send(conn)


class HttpAnswer:
    """
    An answer whose head has come.

    Invariant: ``chunk`` returns an empty piece only where the body ended as
    its framing says. An answer that is not read to that end is abandoned,
    and its connection closed.
    """

    def __init__(self, response: aiohttp.ClientResponse, dialect: Dialect) -> None:
        self._response = response
        self._closing = _watch_closing(response)
        self.status = response.status
        self.headers = [(k, v) for k, v in response.headers.items()]
        self.length = response.content_length
        marks = response.headers
        self.not_run = dialect.not_run(response.status, marks)
        self.draining = dialect.leaving(response.status, marks)
        self.retry_after_s = _seconds(marks.get("Retry-After"))
        self.report = dialect.read_report(marks)

    async def chunk(self) -> bytes | ports.UpstreamFault:
        """Return the next piece of the body; empty at its true end."""
        try:
            piece = await self._response.content.read(CHUNK_BYTES)
        except (aiohttp.ClientError, OSError, TimeoutError):
            self.abandon()
            return ports.UpstreamFault.CONNECTION_LOST
        if not piece and _was_reset(self._closing):
            return ports.UpstreamFault.CONNECTION_LOST
        return piece

    def abandon(self) -> None:
        """Close the connection; it is never used again."""
        self._response.close()


@ports.UPSTREAM_PORTS.register("http")
class HttpUpstreamPort:
    """Two sessions: one that keeps connections, one that never does."""

    def __init__(self, dialect: Dialect | None = None) -> None:
        self.dialect = dialect or NATIVE
        self._kept: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None

    async def send(
        self, request: ports.UpstreamRequest
    ) -> ports.UpstreamAnswer | ports.UpstreamFault:
        """Send a request and wait for the head of its answer."""
        if not request.may_send():
            return ports.UpstreamFault.TOO_LATE
        try:
            response = await self._respond(request)
        except _TooLateError:
            return ports.UpstreamFault.TOO_LATE
        except aiohttp.ClientConnectorError:
            return ports.UpstreamFault.CONNECT_FAILED
        except aiohttp.ConnectionTimeoutError:
            return ports.UpstreamFault.CONNECT_FAILED
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            return ports.UpstreamFault.CONNECTION_LOST
        marks = response.headers
        own = marks.get(self.dialect.request_id) == request.request_id
        if not own or not self.dialect.genuine(response.status, marks):
            response.close()
            return ports.UpstreamFault.FOREIGN_ANSWER
        return HttpAnswer(response, self.dialect)

    async def _respond(self, request: ports.UpstreamRequest) -> aiohttp.ClientResponse:
        """Send over the first kept connection that is sound, or a new one."""
        session = self._session(fresh=request.needs_new_connection)
        while True:
            try:
                return await session.request(
                    request.method,
                    yarl.URL(f"http://{request.address}{request.target}", encoded=True),
                    headers=request.headers,
                    data=request.body,
                    allow_redirects=False,
                    skip_auto_headers=SKIPPED,
                    trace_request_ctx=types.SimpleNamespace(may_send=request.may_send),
                )
            except _StaleConnectionError:
                # aiohttp has closed it, and nothing was sent.
                continue

    async def probe(
        self, address: ids.Address, timeout_s: float, path: str | None = None
    ) -> upstreams.LoadReport | ports.UpstreamFault:
        """Ask an upstream for its load."""
        session = self._session(fresh=False)
        target = path or self.dialect.probe_path
        try:
            async with session.get(
                f"http://{address}{target}",
                skip_auto_headers=SKIPPED,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                allow_redirects=False,
                trace_request_ctx=types.SimpleNamespace(may_send=lambda: True),
            ) as response:
                await response.read()
        except (_StaleConnectionError, aiohttp.ClientError, OSError, TimeoutError):
            return ports.UpstreamFault.CONNECTION_LOST
        if self.dialect.leaving(response.status, response.headers):
            return ports.UpstreamFault.DRAINING
        report = self.dialect.read_report(response.headers)
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


NATIVE = Dialect(
    request_id=headers.REQUEST_ID,
    probe_path=PROBE_PATH,
    read_report=lambda marks: read_report(marks.get(headers.LOAD)),
    genuine=lambda status, marks: True,
    not_run=lambda status, marks: marks.get(headers.OUTCOME) == "not-run",
    leaving=lambda status, marks: marks.get(headers.STATE) == "draining",
)


def _watch_closing(
    response: aiohttp.ClientResponse,
) -> "asyncio.Future[None] | None":
    """
    Return what tells how the connection ends, where the body ends with it.

    aiohttp takes the end of a connection for the end of such a body even
    where it was reset, which may have cut it short.
    """
    chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    connection = response.connection
    if response.content_length is not None or chunked or connection is None:
        return None
    protocol = connection.protocol
    return None if protocol is None else protocol.closed


def _was_reset(closing: "asyncio.Future[None] | None") -> bool:
    return closing is not None and closing.done() and closing.exception() is not None


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
        request_class=_CheckedRequest,
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
