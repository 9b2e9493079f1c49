"""
The transport between members: gossip over UDP, documents over TCP.

Both listen on the same port number. A document connection carries one request and
one response: a length prefix, then a sealed frame whose correlation number must
match. Messages that cannot be decoded are dropped in ``sealed_codec``, so that
hostile input never grows any state here.
"""

import asyncio
import struct
import typing
from collections import abc

import loguru

from spindlenotch import ids, metrics
from spindlenotch.peers import (
    documents,
    messages,
    peer_seal,
    sealed_codec,
    wire_format,
)

#: Length prefix of a sealed frame on a document connection: its size in bytes.
LENGTH = struct.Struct("!I")
#: Timeout of a document request with its response, on both sides, in seconds.
CALL_TIMEOUT_S = 2.0
#: Maximum number of document connections that are served concurrently.
MAX_CONNECTIONS = 64

#: Errors of a document connection: peer unreachable, too slow, or closed early.
CONNECTION_FAULTS = (OSError, TimeoutError, asyncio.IncompleteReadError)


class GossipListener(typing.Protocol):
    """Handles each authentic gossip message."""

    def __call__(self, message: messages.Message, /) -> None:
        """Handle a message."""


class FrameListener(typing.Protocol):
    """Handles each authentic document frame."""

    def __call__(self, frame: messages.DocumentFrame, /) -> documents.Document:
        """Return the document to respond with."""


#: Returns how far away the peer at an address is, as a metric label.
DistanceTo = abc.Callable[[ids.Address], str]


class PeerLink(asyncio.DatagramProtocol):
    """Sends and receives peer messages; ``start`` opens the ports."""

    def __init__(
        self,
        sealer: peer_seal.Sealer,
        measured: metrics.Metrics,
        *,
        on_gossip: GossipListener,
        on_frame: FrameListener,
        codec: wire_format.Codec,
        distance_to: DistanceTo | None = None,
    ) -> None:
        self.on_gossip = on_gossip
        self.distance_to = distance_to
        self.on_frame = on_frame
        self.correlation = 0
        self.connections = 0
        self._wire = sealed_codec.SealedCodec(sealer, codec, measured)
        self._udp: asyncio.DatagramTransport | None = None
        self._tcp: asyncio.Server | None = None

    async def start(self, address: ids.Address) -> ids.Address:
        """Listen on ``address``; return the bound address (port 0: any free port)."""
        host, port = split_host_port(address)
        self._tcp = await asyncio.start_server(self._serve, host, port)
        bound = self._tcp.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, bound)
        )
        self._udp = transport
        return ids.Address(f"{host}:{bound}")

    async def stop(self) -> None:
        """Stop listening."""
        if self._udp is not None:
            self._udp.close()
        if self._tcp is not None:
            self._tcp.close()

    # Gossip

    def send(self, message: messages.Message, targets: list[ids.Address]) -> None:
        """Send a gossip message to each target; does nothing before ``start``."""
        if self._udp is None:
            return
        data = self._wire.write_gossip(message)
        kind = "loads" if message.loads else "gossip"
        for target in targets:
            self._wire.count_sent(len(data))
            self._count_traffic(kind, target, len(data))
            self._udp.sendto(data, split_host_port(target))

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        """Pass on the message in a datagram if it is authentic and well-formed."""
        message = self._wire.read_gossip(data)
        if message is not None:
            self.on_gossip(message)

    # Documents: client side

    async def fetch(
        self, target: ids.Address, kind: documents.DocumentKind
    ) -> documents.Document | None:
        """Fetch a peer's document; return None if it has none or fails."""
        return await self._call(target, documents.absent(kind), wanted=True)

    async def push(
        self, target: ids.Address, document: documents.Document
    ) -> documents.Document | None:
        """Offer a document; return the one in force there, or None on failure."""
        return await self._call(target, document, wanted=False)

    async def _call(
        self, target: ids.Address, document: documents.Document, *, wanted: bool
    ) -> documents.Document | None:
        self.correlation += 1
        request = messages.DocumentFrame(self.correlation, wanted, document)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                answer = await self._exchange(target, request)
        except CONNECTION_FAULTS as fault:
            # An unreachable peer is normal; the caller retries, or asks another peer.
            loguru.logger.trace("no document from {}: {!r}", target, fault)
            return None
        if answer is None or answer.correlation != request.correlation:
            return None
        if answer.document.version == documents.NO_VERSION:
            return None
        return answer.document

    async def _exchange(
        self, target: ids.Address, request: messages.DocumentFrame
    ) -> messages.DocumentFrame | None:
        reader, writer = await asyncio.open_connection(*split_host_port(target))
        try:
            sent = await self._write(writer, request)
            data = await self._read_bytes(reader)
        finally:
            writer.close()
        self._count_traffic("documents", target, sent + len(data or b""))
        return None if data is None else self._wire.read_frame(data)

    def _count_traffic(self, kind: str, target: ids.Address, size: int) -> None:
        if self.distance_to is not None:
            self._wire.count_traffic(kind, self.distance_to(target), size)

    # Documents: server side

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.connections >= MAX_CONNECTIONS:
            loguru.logger.trace("document connection refused: {} open", MAX_CONNECTIONS)
            writer.close()
            return
        self.connections += 1
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                await self._answer(reader, writer)
        except CONNECTION_FAULTS as fault:
            # The peer gets no response and retries, or asks another member.
            loguru.logger.trace("document connection ended early: {!r}", fault)
        finally:
            self.connections -= 1
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request = await self._read(reader)
        if request is None:
            return
        document = self.on_frame(request)
        answer = messages.DocumentFrame(request.correlation, False, document)
        await self._write(writer, answer)

    # Frames on a connection

    async def _write(
        self, writer: asyncio.StreamWriter, frame: messages.DocumentFrame
    ) -> int:
        """Write a frame; return its size in bytes."""
        data = self._wire.write_frame(frame)
        self._wire.count_sent(len(data))
        writer.write(LENGTH.pack(len(data)) + data)
        await writer.drain()
        return len(data)

    async def _read(
        self, reader: asyncio.StreamReader
    ) -> messages.DocumentFrame | None:
        """Read a frame; return None if it was dropped."""
        data = await self._read_bytes(reader)
        return None if data is None else self._wire.read_frame(data)

    async def _read_bytes(self, reader: asyncio.StreamReader) -> bytes | None:
        """Read the bytes of a sealed frame; return None if it is too long."""
        (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
        if length > wire_format.MAX_FRAME_BYTES:
            self._wire.drop(wire_format.CodecFault.TOO_LONG)
            return None
        return await reader.readexactly(length)


def split_host_port(address: ids.Address) -> tuple[str, int]:
    """Return the host and the port of ``IP:port``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
