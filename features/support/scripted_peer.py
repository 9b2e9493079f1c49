"""
A peer whose bytes a test chooses, and requests to it through the product's drivers.
"""

import asyncio
import typing
from collections import abc

from spindlenotch import ids, ports
from spindlenotch.drivers import upstream_http
from spindlenotch_platform import http_dialect

REQUEST_ID = "9c41d07be2a35f68"
STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"

Writing = abc.Callable[[asyncio.StreamWriter], abc.Awaitable[None]]


class Peer:
    """A peer that answers each request as ``write`` does."""

    def __init__(self, write: Writing) -> None:
        self.write = write
        self.address = ids.Address("")
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> typing.Self:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = ids.Address(f"127.0.0.1:{port}")
        return self

    async def __aexit__(self, *error: object) -> None:
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            await self.write(writer)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def request(address: ids.Address) -> ports.UpstreamRequest:
    """Return a request to an upstream."""
    return ports.UpstreamRequest(
        address=address,
        method="POST",
        target="/x",
        headers=[("X-Spindlenotch-Request-Id", REQUEST_ID)],
        body=b"x",
        request_id=REQUEST_ID,
        needs_new_connection=True,
        may_send=lambda: True,
    )


def upstream_port() -> upstream_http.HttpUpstreamPort:
    """Return a port that speaks as the platform's upstreams do."""
    return upstream_http.HttpUpstreamPort(http_dialect.platform().upstream)
