"""
Encodes peer messages to authenticated bytes and decodes them, with counting.

Combines the codec with the sealer for both transports. Messages that are garbled,
too large or not authentic are counted and dropped here; they never reach a listener.
"""

from spindlenotch import events, metrics
from spindlenotch.peers import messages, peer_seal, wire_format


class SealedCodec:
    """
    Seals encoded messages, and decodes messages that pass authentication.

    The first fault of each reason is logged; the counter has all of them.
    """

    def __init__(
        self,
        sealer: peer_seal.Sealer,
        codec: wire_format.Codec,
        measured: metrics.Metrics,
    ) -> None:
        self.sealer = sealer
        self.codec = codec
        self.metrics = measured
        self.faults_logged: set[wire_format.CodecFault] = set()

    def write_gossip(self, message: messages.Message) -> bytes:
        """Return the message as a sealed datagram."""
        return self.sealer.seal(self.codec.encode_gossip(message))

    def read_gossip(self, data: bytes) -> messages.Message | None:
        """Open and decode a datagram; return None if it was dropped."""
        self._count("received", len(data))
        payload = self.sealer.open(data, wire_format.MAX_DATAGRAM_BYTES)
        if isinstance(payload, wire_format.CodecFault):
            self.drop(payload)
            return None
        message = self.codec.decode_gossip(payload)
        if isinstance(message, wire_format.CodecFault):
            self.drop(message)
            return None
        return message

    def write_frame(self, frame: messages.DocumentFrame) -> bytes:
        """Return a sealed document frame."""
        return self.sealer.seal(self.codec.encode_frame(frame))

    def read_frame(self, data: bytes) -> messages.DocumentFrame | None:
        """Open and decode a document frame; return None if it was dropped."""
        self._count("received", len(data))
        payload = self.sealer.open(data, wire_format.MAX_FRAME_BYTES)
        if isinstance(payload, wire_format.CodecFault):
            self.drop(payload)
            return None
        frame = self.codec.decode_frame(payload)
        if isinstance(frame, wire_format.CodecFault):
            self.drop(frame)
            return None
        return frame

    def count_sent(self, size: int) -> None:
        """Count ``size`` bytes as sent, once for each target."""
        self._count("sent", size)

    def count_traffic(self, kind: str, distance: str, size: int) -> None:
        """Count ``size`` bytes by kind and by the distance to their target."""
        self.metrics.traffic_bytes.labels(kind, distance).inc(size)

    def drop(self, fault: wire_format.CodecFault) -> None:
        """Count a dropped message; log the first of each reason."""
        self.metrics.peer_drops.labels(fault.value).inc()
        if fault not in self.faults_logged:
            self.faults_logged.add(fault)
            events.emit(events.Event.PEER_DROPPED, reason=fault.value)

    def _count(self, direction: str, size: int) -> None:
        self.metrics.peer_bytes.labels(direction).inc(size)
