"""
Driver that sends HTTP/1.1 requests to upstreams through aiohttp.

Overrides every default of aiohttp that could violate a guarantee: no automatic retry
on a dropped connection, no redirects, no decompression, no cookies, no total timeout.
A request that may not be repeated is sent over a new connection, so that a failure
before the first byte is recognized as such. ``upstream_dialect`` interprets the
responses.
"""

import asyncio
import math
import types
import typing

import aiohttp
import msgspec
import yarl

from spindlenotch import ids, ports
from spindlenotch.drivers import http_client, upstream_dialect
from spindlenotch.kernel import upstreams

#: Timeout for connecting, in seconds.
CONNECT_TIMEOUT_S = 1.0
#: Delay of the connect timeout's timer above which this process is taken to have been
#: paused, in seconds: then the connection may have been established meanwhile. Above
#: the delays that a CPU quota of the host causes.
TIMER_DELAY_TOLERANCE_S = 0.15
#: Upper bound of a chunk of a body, in bytes.
CHUNK_BYTES = 64 * 1024
#: Maximum size of a response to a probe, in bytes.
MAX_PROBE_BYTES = 64 * 1024
#: Share of the time for a liveness check in which the connection must be established.
LIVENESS_CONNECT_SHARE = 0.8
OK = 200
#: Smallest status above those of a success.
MIN_NON_SUCCESS_STATUS = 300
#: Headers that aiohttp would add to those of the caller.
SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class _TooLateError(Exception):
    """Raised inside aiohttp's hooks when the first byte may not be sent."""


class HttpAnswer:
    """
    A response whose header section has arrived.

    Invariant: ``chunk`` returns an empty chunk only if the body ended as its framing
    requires. A response that is not read to that end is abandoned, and its
    connection closed.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        dialect: upstream_dialect.UpstreamDialect,
    ) -> None:
        self._response = response
        self._closing = _close_delimited_end(response)
        self.status = response.status
        self.headers = [(k, v) for k, v in response.headers.items()]
        self.length = response.content_length
        fields = response.headers
        self.not_run = dialect.is_not_run(response.status, fields)
        self.draining = dialect.is_draining(response.status, fields)
        self.retry_after_s = _parse_retry_after(fields.get("Retry-After"))
        self.report = dialect.read_load(fields)
        self.signals = dialect.read_signals(response.status, fields)

    async def chunk(self) -> bytes | ports.UpstreamFault:
        """Return the next chunk of the body; empty only at the end of a whole body."""
        try:
            piece = await self._response.content.read(CHUNK_BYTES)
        except (aiohttp.ClientError, OSError, TimeoutError):
            # Whatever the cause, the body is truncated.
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
    """
    Sends requests over two sessions: one reuses connections, the other never does.

    See ``ports.UpstreamPort``; ``dialect`` None selects the product's own.
    """

    def __init__(self, dialect: upstream_dialect.UpstreamDialect | None = None) -> None:
        self.dialect = dialect or upstream_dialect.NATIVE
        self._reusing = http_client.LazySession(lambda: _new_session(force_close=False))
        self._single_use = http_client.LazySession(
            lambda: _new_session(force_close=True)
        )

    async def send(
        self, request: ports.UpstreamRequest
    ) -> ports.UpstreamAnswer | ports.UpstreamFault:
        """Send a request; see ``ports.UpstreamPort.send``."""
        if not request.may_send():
            return ports.UpstreamFault.TOO_LATE
        try:
            response = await self._respond(request)
        except _TooLateError:
            return ports.UpstreamFault.TOO_LATE
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            aiohttp.InvalidURL,
            UnicodeError,
        ):
            # The only failures that occur before anything was sent; the last two are of
            # host names that no resolver takes.
            return ports.UpstreamFault.CONNECT_FAILED
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            # Whatever the cause, the request may have been executed.
            return ports.UpstreamFault.CONNECTION_LOST
        if not self._is_answer_to(request, response):
            response.close()
            return ports.UpstreamFault.FOREIGN_ANSWER
        return HttpAnswer(response, self.dialect)

    def _is_answer_to(
        self, request: ports.UpstreamRequest, response: aiohttp.ClientResponse
    ) -> bool:
        """Tell whether an upstream made this response, and to this request."""
        fields = response.headers
        if fields.get(self.dialect.request_id) != request.request_id:
            return False
        for name in self.dialect.single_fields:
            if len(fields.getall(name, ())) > 1:
                return False
        return self.dialect.is_genuine(response.status, fields)

    async def _respond(self, request: ports.UpstreamRequest) -> aiohttp.ClientResponse:
        """
        Send over the first usable idle connection, or a new one.

        If this process was paused while it connected, it connects again: otherwise a
        process that resumes would blame healthy upstreams and eject them.
        """
        session = self._session(new_connection=request.needs_new_connection)
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + CONNECT_TIMEOUT_S
            try:
                return await session.request(
                    request.method,
                    yarl.URL(f"http://{request.address}{request.target}", encoded=True),
                    headers=request.headers,
                    data=request.body,
                    allow_redirects=False,
                    skip_auto_headers=SKIPPED_HEADERS,
                    trace_request_ctx=types.SimpleNamespace(may_send=request.may_send),
                )
            except http_client.StaleConnectionError:
                # aiohttp has closed the connection, and nothing was sent.
                continue
            except aiohttp.ConnectionTimeoutError:
                # Nothing was sent in this case either.
                if (
                    loop.time() <= due + TIMER_DELAY_TOLERANCE_S
                    or not request.may_send()
                ):
                    raise

    async def probe(
        self, address: ids.Address, timeout_s: float, path: str | None = None
    ) -> upstreams.LoadReport | ports.UpstreamFault:
        """Query the load of an upstream; see ``ports.UpstreamPort.probe``."""
        session = self._session(new_connection=False)
        target = path or self.dialect.probe_path
        try:
            response, _ = await http_client.read_response(
                session,
                "GET",
                f"http://{address}{target}",
                skip_auto_headers=SKIPPED_HEADERS,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                allow_redirects=False,
                trace_request_ctx=types.SimpleNamespace(may_send=lambda: True),
                max_bytes=MAX_PROBE_BYTES,
            )
        except (aiohttp.ClientError, OSError, TimeoutError, UnicodeError):
            # Callers count every cause as a failed probe.
            return ports.UpstreamFault.CONNECTION_LOST
        if self.dialect.is_draining(response.status, response.headers):
            return ports.UpstreamFault.DRAINING
        report = self.dialect.read_load(response.headers)
        if response.status != OK or report is None:
            return ports.UpstreamFault.FOREIGN_ANSWER
        cold_s = self.dialect.read_cold_s(response.headers)
        return msgspec.structs.replace(report, cold_s=cold_s)

    async def liveness(self, address: ids.Address, timeout_s: float) -> ports.Liveness:
        """Check whether an upstream is alive; see ``ports.UpstreamPort.liveness``."""
        session = self._session(new_connection=True)
        try:
            async with session.get(
                f"http://{address}{self.dialect.probe_path}",
                skip_auto_headers=SKIPPED_HEADERS,
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s, sock_connect=LIVENESS_CONNECT_SHARE * timeout_s
                ),
                allow_redirects=False,
                trace_request_ctx=types.SimpleNamespace(may_send=lambda: True),
            ):
                return ports.Liveness.ALIVE
        except aiohttp.ConnectionTimeoutError:
            return ports.Liveness.UNCONNECTED
        except TimeoutError:
            return ports.Liveness.SILENT
        except (aiohttp.ClientConnectorError, aiohttp.InvalidURL, UnicodeError):
            return ports.Liveness.REFUSED
        except aiohttp.ClientResponseError:
            # An invalid response, which a process has sent all the same.
            return ports.Liveness.ALIVE
        except (http_client.StaleConnectionError, aiohttp.ClientError, OSError):
            # Reset or closed.
            return ports.Liveness.GONE

    def close_idle(self, address: ids.Address) -> None:
        """Close the idle keep-alive connections to ``address``."""
        self._reusing.close_idle(address)

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._reusing, self._single_use):
            await session.close()

    def _session(self, *, new_connection: bool) -> aiohttp.ClientSession:
        return (self._single_use if new_connection else self._reusing).get()


class HttpPeerPort(HttpUpstreamPort):
    """
    Sends requests to other gateways, which pass an upstream's response on or refuse.

    A gateway's own response echoes no request id, and is never a success.
    """

    def _is_answer_to(
        self, request: ports.UpstreamRequest, response: aiohttp.ClientResponse
    ) -> bool:
        if self.dialect.request_id in response.headers:
            return super()._is_answer_to(request, response)
        return response.status >= MIN_NON_SUCCESS_STATUS


def _close_delimited_end(
    response: aiohttp.ClientResponse,
) -> "asyncio.Future[None] | None":
    """
    Return the future of the connection's closing if it delimits the body.

    Such a body has neither a Content-Length nor chunked coding (RFC 9112, section
    6.3). aiohttp takes every end of the connection for the end of the body, also a
    reset that may have truncated it. Return None for other bodies.
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
    trace.on_connection_create_end.append(_recheck_may_send)
    return http_client.new_session(
        connections=0,
        caches_addresses=False,
        closes_connections=force_close,
        # Every retry must be taken from the retry budget.
        retries_idempotent=False,
        decompresses=False,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        request_class=http_client.CheckedRequest,
        traces=[trace],
    )


async def _recheck_may_send(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    params: typing.Any,
) -> None:
    """Check ``may_send`` again: the process may have paused while it connected."""
    if not context.trace_request_ctx.may_send():
        raise _TooLateError


def _parse_retry_after(text: str | None) -> float | None:
    """Parse ``Retry-After`` in seconds; its date form counts as absent."""
    try:
        seconds = 0.0 if text is None else float(text)
    except ValueError:
        return None
    return seconds if 0.0 < seconds < math.inf else None
