"""
The check that every codec of peer messages must pass: hostile bytes.

Garbage and damaged messages must be refused as a fault or read as a message;
anything else, an exception above all, fails the property.
"""

import hypothesis
from hypothesis import strategies

from spindlenotch.peers import messages, wire_format

SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=100
)


def check(codec: wire_format.Codec, good: bytes) -> None:
    """Feed garbage, and ``good`` with a byte changed or cut off, to ``codec``."""

    @SETTINGS
    @hypothesis.given(
        strategies.binary(max_size=2000),
        strategies.integers(0, len(good) - 1),
        strategies.integers(0, 255),
    )
    def feed(garbage: bytes, place: int, value: int) -> None:
        flipped = good[:place] + bytes([value]) + good[place + 1 :]
        for data in (garbage, flipped, good[:place]):
            read = codec.decode_gossip(data)
            assert isinstance(read, (messages.Message, wire_format.CodecFault))
            whole = codec.decode_frame(data)
            assert isinstance(whole, (messages.DocumentFrame, wire_format.CodecFault))

    feed()
