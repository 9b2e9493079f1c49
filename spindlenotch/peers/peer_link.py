"""
The link between entries: gossip over UDP, documents over TCP.

Both listen on the same port number. Whatever is garbled, too large or not
authenticated is counted and dropped; it never grows any state. A document
connection carries one question and one answer, each with a correlation
number that must match.
"""

import asyncio
import struct
import typing
from collections import abc

from spindlenotch import events, ids, metrics
from spindlenotch.peers import documents, messages, peer_seal, wire_format

LENGTH = struct.Struct("!I")
CALL_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 64


class PeerLink(asyncio.DatagramProtocol):
    """
    Sends and receives peer messages.

    ``on_gossip`` gets each authentic message; ``on_frame`` gets each authentic
    frame and returns the answer to send back.
    """

    def __init__(
        self,
        sealer: peer_seal.Sealer,
        measured: metrics.Metrics,
        on_gossip: abc.Callable[[messages.Message], None],
        on_frame: abc.Callable[[messages.DocumentFrame], documents.Document],
        codec: wire_format.Codec,
    ) -> None:
        self.codec = codec
        self.sealer = sealer
        self.metrics = measured
        self.on_gossip = on_gossip
        self.on_frame = on_frame
        self.correlation = 0
        self.connections = 0
        self.faults_logged: set[wire_format.CodecFault] = set()
        self._udp: asyncio.DatagramTransport | None = None
        self._tcp: asyncio.Server | None = None

    async def start(self, address: ids.Address) -> ids.Address:
        """Listen on ``address``; return the one in use (port 0: any free)."""
        host, port = split(address)
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

    def tell(self, message: messages.Message, targets: list[ids.Address]) -> None:
        """Send a gossip message to each target."""
        if self._udp is None:
            return
        data = self.sealer.seal(self.codec.encode_gossip(message))
        for target in targets:
            self._count("sent", len(data))
            self._udp.sendto(data, split(target))

    async def ask(
        self, target: ids.Address, kind: documents.DocumentKind
    ) -> documents.Document | None:
        """Fetch a peer's document; None where it has none or fails."""
        return await self._call(target, documents.absent(kind), wanted=True)

    async def push(
        self, target: ids.Address, document: documents.Document
    ) -> documents.Document | None:
        """Offer a document; the answer is the one in force there."""
        return await self._call(target, document, wanted=False)

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        """Take in a datagram."""
        self._count("received", len(data))
        payload = self.sealer.open(data, wire_format.MAX_DATAGRAM_BYTES)
        if isinstance(payload, wire_format.CodecFault):
            return self._drop(payload)
        message = self.codec.decode_gossip(payload)
        if isinstance(message, wire_format.CodecFault):
            return self._drop(message)
        return self.on_gossip(message)

    async def _call(
        self, target: ids.Address, document: documents.Document, *, wanted: bool
    ) -> documents.Document | None:
        self.correlation += 1
        frame = messages.DocumentFrame(self.correlation, wanted, document)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                answer = await self._exchange(target, frame)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return None
        if isinstance(answer, wire_format.CodecFault):
            self._drop(answer)
            return None
        if answer.correlation != frame.correlation or not answer.document.version:
            return None
        return answer.document

    async def _exchange(
        self, target: ids.Address, frame: messages.DocumentFrame
    ) -> messages.DocumentFrame | wire_format.CodecFault:
        reader, writer = await asyncio.open_connection(*split(target))
        try:
            await self._write(writer, frame)
            return await self._read(reader)
        finally:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.connections >= MAX_CONNECTIONS:
            writer.close()
            return
        self.connections += 1
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                await self._answer(reader, writer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections -= 1
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        frame = await self._read(reader)
        if isinstance(frame, wire_format.CodecFault):
            return self._drop(frame)
        document = self.on_frame(frame)
        answer = messages.DocumentFrame(frame.correlation, False, document)
        await self._write(writer, answer)

    async def _write(
        self, writer: asyncio.StreamWriter, frame: messages.DocumentFrame
    ) -> None:
        data = self.sealer.seal(self.codec.encode_frame(frame))
        self._count("sent", len(data))
        writer.write(LENGTH.pack(len(data)) + data)
        await writer.drain()

    async def _read(
        self, reader: asyncio.StreamReader
    ) -> messages.DocumentFrame | wire_format.CodecFault:
        (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
        if length > wire_format.MAX_FRAME_BYTES:
            return wire_format.CodecFault.TOO_LONG
        data = await reader.readexactly(length)
        self._count("received", length)
        payload = self.sealer.open(data, wire_format.MAX_FRAME_BYTES)
        if isinstance(payload, wire_format.CodecFault):
            return payload
        return self.codec.decode_frame(payload)

    def _count(self, direction: str, size: int) -> None:
        self.metrics.peer_bytes.labels(direction).inc(size)

    def _drop(self, fault: wire_format.CodecFault) -> None:
        self.metrics.peer_drops.labels(fault.value).inc()
        # Logged once for each reason: the counter has the rest.
        if fault not in self.faults_logged:
            self.faults_logged.add(fault)
            events.emit(events.Event.PEER_DROPPED, reason=fault.value)


def split(address: ids.Address) -> tuple[str, int]:
    """Return host and port of ``IP:port``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
