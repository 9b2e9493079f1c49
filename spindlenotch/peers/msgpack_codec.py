"""
Encodes and decodes peer messages in MessagePack, for the gateway.

The gateway does not use Cap'n Proto because its memory has a price: the library and
the schema take 4 MB more in each process. Field names on the wire are those of the
types in ``messages``. See ``wire_format`` for what all codecs share.
"""

import zlib

import msgspec

from spindlenotch.kernel import crash_records
from spindlenotch.peers import messages, rollout_notes, wire_format

#: zlib's fastest level: messages are small and sent several times a second.
COMPRESSION_LEVEL = 1

_gossip_decoder: msgspec.msgpack.Decoder[messages.Message] = msgspec.msgpack.Decoder(
    messages.Message
)
_frame_decoder: msgspec.msgpack.Decoder[messages.DocumentFrame] = (
    msgspec.msgpack.Decoder(messages.DocumentFrame)
)


class MsgpackCodec:
    """
    Encodes each message as one compressed MessagePack map.

    Invariant: a decoded message has at most as many members, suspicions, drain
    notices, loads, rollout and crash records and summaries as a sender may put into
    one.
    """

    def encode_gossip(self, message: messages.Message) -> bytes:
        """Encode a gossip message, without its authentication code."""
        return zlib.compress(msgspec.msgpack.encode(message), COMPRESSION_LEVEL)

    def decode_gossip(
        self, payload: bytes
    ) -> messages.Message | wire_format.CodecFault:
        """Decode a gossip message."""
        body = _decompress(payload)
        if isinstance(body, wire_format.CodecFault):
            return body
        try:
            message = _gossip_decoder.decode(body)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            return wire_format.CodecFault.GARBLED
        if _exceeds_limits(message):
            return wire_format.CodecFault.GARBLED
        return message

    def encode_frame(self, frame: messages.DocumentFrame) -> bytes:
        """Encode a document frame, without its authentication code."""
        return zlib.compress(msgspec.msgpack.encode(frame), COMPRESSION_LEVEL)

    def decode_frame(
        self, payload: bytes
    ) -> messages.DocumentFrame | wire_format.CodecFault:
        """Decode a document frame."""
        body = _decompress(payload)
        if isinstance(body, wire_format.CodecFault):
            return body
        try:
            return _frame_decoder.decode(body)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            return wire_format.CodecFault.GARBLED


def _exceeds_limits(message: messages.Message) -> bool:
    return (
        len(message.members) > messages.MAX_MEMBERS_PER_MESSAGE
        or len(message.suspicions) > messages.SUSPICIONS_PER_MESSAGE
        or len(message.drain_notices) > messages.DRAIN_NOTICES_PER_MESSAGE
        or len(message.loads) > messages.LOADS_PER_MESSAGE
        or len(message.rollout_phases) > rollout_notes.NOTES_PER_MESSAGE
        or _exceeds_row_limit(message.evidence)
        or _exceeds_crash_limits(message.crashes)
        or _exceeds_region_limits(message.regions)
    )


def _exceeds_region_limits(summaries: tuple[messages.RegionSummary, ...]) -> bool:
    return len(summaries) > messages.REGIONS_PER_MESSAGE or any(
        len(summary.gateways) > messages.GATEWAYS_PER_SUMMARY
        or len(summary.services) > messages.SERVICES_PER_SUMMARY
        for summary in summaries
    )


def _exceeds_row_limit(evidence: rollout_notes.EvidenceRecord | None) -> bool:
    return evidence is not None and len(evidence.rows) > rollout_notes.ROWS_PER_RECORD


def _decompress(payload: bytes) -> bytes | wire_format.CodecFault:
    """Decompress a message; refuse one that is truncated or over the limit."""
    try:
        stream = zlib.decompressobj()
        body = stream.decompress(payload, wire_format.MAX_FRAME_BYTES)
    except zlib.error:
        return wire_format.CodecFault.GARBLED
    if stream.unconsumed_tail or not stream.eof:
        return wire_format.CodecFault.TOO_LONG
    return body


MSGPACK: wire_format.Codec = MsgpackCodec()


def _exceeds_crash_limits(notes: tuple[crash_records.CrashRecord, ...]) -> bool:
    return len(notes) > messages.CRASH_NOTES_PER_MESSAGE or any(
        len(note.ended) > crash_records.MAX_ENDED_UPSTREAMS for note in notes
    )
