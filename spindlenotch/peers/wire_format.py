"""
What all codecs of peer messages share: their interface, limits and faults.

A codec turns messages into bytes and back. What it reads is authentic
(``peer_seal``) but may come from a faulty or newer process, so every codec
bounds what it reads. A fault is a value that the caller counts, never an
exception.
"""

import enum
import typing

from spindlenotch.peers import messages

#: Bytes of a sealed gossip datagram at most.
MAX_DATAGRAM_BYTES = 8 * 1024
#: Bytes of a sealed document frame at most, and of a body once it is decompressed.
MAX_FRAME_BYTES = 2 * 1024 * 1024
#: Characters of a host id, address or other text at most.
MAX_TEXT_CHARACTERS = 256


class CodecFault(enum.Enum):
    """
    Why bytes from a peer were dropped; the value labels metrics and logs.

    ``TOO_SHORT``: no room for the authentication code; ``TOO_LONG``: over a limit
    above; ``BAD_CODE``: signed by none of the keys; ``GARBLED``: authentic, but
    not a message that the codec can read.
    """

    TOO_SHORT = "too-short"
    TOO_LONG = "too-long"
    BAD_CODE = "bad-code"
    GARBLED = "garbled"


class Codec(typing.Protocol):
    """Peer messages to bytes and back, without the authentication code."""

    def encode_gossip(self, message: messages.Message) -> bytes:
        """Return the wire form of a gossip message."""

    def decode_gossip(self, payload: bytes) -> messages.Message | CodecFault:
        """Read the wire form of a gossip message."""

    def encode_frame(self, frame: messages.DocumentFrame) -> bytes:
        """Return the wire form of a document frame."""

    def decode_frame(self, payload: bytes) -> messages.DocumentFrame | CodecFault:
        """Read the wire form of a document frame."""
