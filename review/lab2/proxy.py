"""
A proxy of the cases' own between two programs on loopback.

Passes bytes on, and can close the connections that are open; new ones work.
"""

import asyncio
import contextlib

PIECE_BYTES = 64 * 1024


class Proxy:
    """Listens on a loopback port of its own and passes bytes on to ``target``."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.address = ""
        self._server: asyncio.Server | None = None
        self._links: set[_Link] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def cut(self) -> int:
        """Close the open connections; return how many there were."""
        links = list(self._links)
        for link in links:
            link.close()
        return len(links)

    async def close(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        for link in list(self._links):
            link.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        link = _Link(writer, far_writer)
        self._links.add(link)
        try:
            await asyncio.gather(
                link.pass_on(reader, far_writer), link.pass_on(far_reader, writer)
            )
        finally:
            self._links.discard(link)
            link.close()


class _Link:
    """One connection and its continuation."""

    def __init__(self, near: asyncio.StreamWriter, far: asyncio.StreamWriter) -> None:
        self.near = near
        self.far = far

    async def pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass bytes on in one direction until they end."""
        with contextlib.suppress(OSError, RuntimeError):
            while True:
                data = await reader.read(PIECE_BYTES)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            writer.write_eof()

    def close(self) -> None:
        """Drop both connections."""
        self.near.transport.abort()
        self.far.transport.abort()
