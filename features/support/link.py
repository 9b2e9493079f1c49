"""
A network path to one address, on loopback, whose faults come from outside.

Bytes pass both ways as they come. A path can be slow, hold back one direction
until it is whole again, reset what is open, take nothing new, or leave its open
connections silent for good while new ones work. Runs in the scenario's own loop.
"""

import asyncio
import enum

from features.support import platform_worker, upstream_cuts

CHUNK_BYTES = 65536


class Way(enum.Enum):
    """A direction, as seen by who connects."""

    TO = "to"
    FROM = "from"


class Link:
    """
    A path to ``target``, which may change.

    Connections to it come from ``source_ip``; None: from the address of who connects.
    ``cuts`` tells who connects in vain, by address.
    """

    def __init__(
        self,
        target: str,
        source_ip: str | None = None,
        cuts: upstream_cuts.UpstreamCuts | None = None,
    ) -> None:
        self.cuts = upstream_cuts.UpstreamCuts() if cuts is None else cuts
        self.target = target
        self.source_ip = source_ip
        self.delay_s = 0.0
        self.takes_new = True
        self.address = ""
        self._whole_by_way = {way: asyncio.Event() for way in Way}
        self._speaks = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._ip_by_writer: dict[asyncio.StreamWriter, str] = {}
        self._pumps: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._speaks.set()
        self.restore()

    async def start(self, ip: str = platform_worker.LOOPBACK) -> None:
        """Listen on a free port of a loopback address."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    def hold(self, *ways: Way) -> None:
        """Hold back what goes these ways until the path is restored."""
        for way in ways:
            self._whole_by_way[way].clear()

    def restore(self) -> None:
        """Make the path whole for all but the connections that are silent for good."""
        self.delay_s = 0.0
        self.takes_new = True
        for whole in self._whole_by_way.values():
            whole.set()

    def silence(self) -> None:
        """Leave all open connections silent for good."""
        self._speaks.clear()
        self._speaks = asyncio.Event()
        self._speaks.set()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            platform_worker.reset(writer)

    def reset_cut_connections(self) -> None:
        """Reset the open connections of those that are cut off in this way."""
        for writer, ip in list(self._ip_by_writer.items()):
            if self.cuts.resets(ip):
                platform_worker.reset(writer)

    async def close(self) -> None:
        """Take nothing more and drop everything."""
        if self._server is not None:
            self._server.close()
        pumps = list(self._pumps)
        for pump in pumps:
            pump.cancel()
        await asyncio.gather(*pumps, return_exceptions=True)
        self.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ip = str(writer.get_extra_info("peername", ("",))[0])
        if not self.takes_new or self.cuts.resets(ip):
            platform_worker.reset(writer)
            return
        host, _, port = self.target.rpartition(":")
        local = (self.source_ip or ip, 0)
        try:
            there = await asyncio.open_connection(host, int(port), local_addr=local)
        except OSError:
            platform_worker.reset(writer)
            return
        speaks = self._speaks
        self._writers |= {writer, there[1]}
        self._ip_by_writer[writer] = ip
        pumps = {
            asyncio.ensure_future(self._pump(reader, there[1], Way.TO, speaks, ip)),
            asyncio.ensure_future(self._pump(there[0], writer, Way.FROM, speaks, ip)),
        }
        self._pumps |= pumps
        await asyncio.wait(pumps)
        self._pumps -= pumps
        self._writers -= {writer, there[1]}
        del self._ip_by_writer[writer]
        writer.close()
        there[1].close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        way: Way,
        speaks: asyncio.Event,
        ip: str,
    ) -> None:
        """Pass bytes on until the connection's end, and its end as it came."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._passes(way, speaks)
                await self.cuts.until_it_passes(ip, reader)
                writer.write(data)
                await writer.drain()
            await self._passes(way, speaks)
            writer.write_eof()
        except (OSError, RuntimeError):
            platform_worker.reset(writer)

    async def _passes(self, way: Way, speaks: asyncio.Event) -> None:
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        await self._whole_by_way[way].wait()
        await speaks.wait()
