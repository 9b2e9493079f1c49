"""
The interface, limits and faults that all codecs of peer messages share.

A codec encodes messages to bytes and decodes them. Bytes to decode are authentic
(``peer_seal``) but may come from a faulty or newer process, so every codec bounds
what it decodes. A fault is a return value that the caller counts, never an
exception.
"""

import enum
import typing

from spindlenotch.peers import messages

#: Maximum size of a sealed gossip datagram in bytes.
MAX_DATAGRAM_BYTES = 8 * 1024
#: Maximum size of a sealed document frame, and of a decompressed body, in bytes.
MAX_FRAME_BYTES = 2 * 1024 * 1024
#: Maximum length of a host id, address or other text in characters.
MAX_TEXT_CHARACTERS = 256


class CodecFault(enum.Enum):
    """
    Why bytes from a peer were dropped; the value labels metrics and logs.

    ``TOO_SHORT``: no payload after the authentication code; ``TOO_LONG``: over a
    limit above; ``BAD_CODE``: signed by none of the keys; ``GARBLED``: authentic,
    but not a message that the codec can decode.
    """

    TOO_SHORT = "too-short"
    TOO_LONG = "too-long"
    BAD_CODE = "bad-code"
    GARBLED = "garbled"


class Codec(typing.Protocol):
    """Encodes and decodes peer messages, without the authentication code."""

    def encode_gossip(self, message: messages.Message) -> bytes:
        """Encode a gossip message, without its authentication code."""

    def decode_gossip(self, payload: bytes) -> messages.Message | CodecFault:
        """Decode a gossip message; return a fault if it is invalid."""

    def encode_frame(self, frame: messages.DocumentFrame) -> bytes:
        """Encode a document frame, without its authentication code."""

    def decode_frame(self, payload: bytes) -> messages.DocumentFrame | CodecFault:
        """Decode a document frame; return a fault if it is invalid."""
