"""
Peer messages to bytes and back in MessagePack.

The codec of the gateway, whose price is its memory: Cap'n Proto with its
schema takes 4 MB more in each process. See ``wire_format`` for what all codecs
share.
"""

import zlib

import msgspec

from spindlenotch.peers import messages, wire_format

_gossip_decoder: msgspec.msgpack.Decoder[messages.Message] = msgspec.msgpack.Decoder(
    messages.Message
)
_frame_decoder: msgspec.msgpack.Decoder[messages.DocumentFrame] = (
    msgspec.msgpack.Decoder(messages.DocumentFrame)
)


class MsgpackCodec:
    """
    Writes each message as one MessagePack map, compressed.

    Invariant: what is decoded has at most as many parts as a sender may put
    into one message.
    """

    def encode_gossip(self, message: messages.Message) -> bytes:
        """Return the wire form of a gossip message."""
        return zlib.compress(msgspec.msgpack.encode(message), 1)

    def decode_gossip(
        self, payload: bytes
    ) -> messages.Message | wire_format.CodecFault:
        """Read the wire form of a gossip message."""
        body = _inflate(payload)
        if isinstance(body, wire_format.CodecFault):
            return body
        try:
            message = _gossip_decoder.decode(body)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            return wire_format.CodecFault.GARBLED
        crowded = (
            len(message.members) > messages.MAX_MEMBERS_PER_MESSAGE
            or len(message.suspicions) > messages.SUSPICIONS_PER_MESSAGE
            or len(message.drain_notices) > messages.DRAIN_NOTICES_PER_MESSAGE
            or len(message.loads) > messages.LOADS_PER_MESSAGE
        )
        return wire_format.CodecFault.GARBLED if crowded else message

    def encode_frame(self, frame: messages.DocumentFrame) -> bytes:
        """Return the wire form of a document frame."""
        return zlib.compress(msgspec.msgpack.encode(frame), 1)

    def decode_frame(
        self, payload: bytes
    ) -> messages.DocumentFrame | wire_format.CodecFault:
        """Read the wire form of a document frame."""
        body = _inflate(payload)
        if isinstance(body, wire_format.CodecFault):
            return body
        try:
            return _frame_decoder.decode(body)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            return wire_format.CodecFault.GARBLED


def _inflate(payload: bytes) -> bytes | wire_format.CodecFault:
    """Decompress a message of bounded size."""
    try:
        stream = zlib.decompressobj()
        body = stream.decompress(payload, wire_format.MAX_FRAME_BYTES)
    except zlib.error:
        return wire_format.CodecFault.GARBLED
    if stream.unconsumed_tail or not stream.eof:
        return wire_format.CodecFault.TOO_LONG
    return body


MSGPACK: wire_format.Codec = MsgpackCodec()
