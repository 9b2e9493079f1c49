"""Property tests of the peer codec: hostile bytes and key rotation."""

import zlib

from features.steps import kernel
from features.support import hostile_bytes
from spindlenotch import ids
from spindlenotch.peers import capnp_codec, documents, messages, peer_seal, wire_format

FIRST, SECOND = b"the first peer key", b"the second peer key"


def member(number: int) -> messages.MemberRecord:
    """Return the record of a member."""
    return messages.MemberRecord(
        ids.HostId(f"e{number}"),
        ids.ZoneName("z1"),
        ids.Incarnation("a" * 16),
        ids.Address("127.0.0.1:1"),
        ids.Address("127.0.0.1:2"),
        1,
        number,
        messages.Status.READY,
        1,
    )


def frame_with(body: bytes) -> bytes:
    """Return a document frame whose body goes over the wire as it is."""
    document = documents.Document(
        documents.DocumentKind.BUNDLE, 1, ids.Digest("d"), b"placeholder"
    )
    good = capnp_codec.CAPNP.encode_frame(messages.DocumentFrame(1, False, document))
    wire = capnp_codec._schema.DocumentFrame.from_bytes_packed(good).as_builder()
    wire.body = body
    return bytes(wire.to_bytes_packed())


@kernel.PROPERTIES.register("hostile peer bytes are refused and bounded")
def hostile() -> None:
    message = messages.Message(member(0), 1, (), tuple(member(n) for n in range(4)))
    good = capnp_codec.CAPNP.encode_gossip(message)

    hostile_bytes.check(capnp_codec.CAPNP, good)
    too_many = messages.Message(member(0), 1, (), tuple(member(n) for n in range(50)))
    crowd = capnp_codec.CAPNP.encode_gossip(too_many)
    assert capnp_codec.CAPNP.decode_gossip(crowd) is wire_format.CodecFault.GARBLED
    bomb = zlib.compress(b"0" * (8 * wire_format.MAX_FRAME_BYTES))
    assert len(bomb) < 100_000
    assert (
        capnp_codec.CAPNP.decode_frame(frame_with(bomb))
        is wire_format.CodecFault.GARBLED
    )
    cut = zlib.compress(b"a body")[:-3]
    assert (
        capnp_codec.CAPNP.decode_frame(frame_with(cut))
        is wire_format.CodecFault.GARBLED
    )


@kernel.PROPERTIES.register("peer keys can be rotated")
def rotation() -> None:
    old = peer_seal.Sealer((FIRST,))
    both = peer_seal.Sealer((FIRST, SECOND))
    rotated = peer_seal.Sealer((SECOND, FIRST))
    new = peer_seal.Sealer((SECOND,))
    for sender, receiver, accepted in (
        (old, both, True),
        (both, old, True),
        (both, rotated, True),
        (rotated, both, True),
        (rotated, new, True),
        (new, rotated, True),
        (old, new, False),
        (new, old, False),
    ):
        opened = receiver.open(sender.seal(b"hello"), 1000)
        assert (opened == b"hello") is accepted, (sender.keys, receiver.keys)
