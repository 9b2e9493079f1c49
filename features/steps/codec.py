"""Property tests of the peer codec: hostile bytes and key rotation."""

import zlib

from features.steps import kernel
from features.support import hostile as hostile_bytes
from spindlenotch import ids
from spindlenotch.peers import documents, gossip, peer_codec, peer_seal

FIRST, SECOND = b"the first peer key", b"the second peer key"


def member(number: int) -> gossip.MemberRecord:
    """Return the record of a member."""
    return gossip.MemberRecord(
        ids.HostId(f"e{number}"),
        ids.ZoneName("z1"),
        ids.Incarnation("a" * 16),
        ids.Address("127.0.0.1:1"),
        ids.Address("127.0.0.1:2"),
        1,
        number,
        gossip.Status.READY,
        1,
    )


def frame_with(body: bytes) -> bytes:
    """Return a document frame whose body goes over the wire as it is."""
    document = documents.Document(
        documents.DocumentKind.BUNDLE, 1, ids.Digest("d"), b"placeholder"
    )
    good = peer_codec.encode_frame(peer_seal.DocumentFrame(1, False, document))
    wire = peer_codec._schema.DocumentFrame.from_bytes_packed(good).as_builder()
    wire.body = body
    return bytes(wire.to_bytes_packed())


@kernel.PROPERTIES.register("hostile peer bytes are refused and bounded")
def hostile() -> None:
    message = gossip.Message(member(0), 1, (), tuple(member(n) for n in range(4)))
    good = peer_codec.encode_gossip(message)

    hostile_bytes.check(peer_codec.CAPNP, good)
    members = tuple(member(n) for n in range(50))
    too_many = peer_codec.encode_gossip(gossip.Message(member(0), 1, (), members))
    assert peer_codec.decode_gossip(too_many) is peer_seal.CodecFault.GARBLED
    bomb = zlib.compress(b"0" * (8 * peer_seal.MAX_FRAME))
    assert len(bomb) < 100_000
    assert peer_codec.decode_frame(frame_with(bomb)) is peer_seal.CodecFault.GARBLED
    cut = zlib.compress(b"a body")[:-3]
    assert peer_codec.decode_frame(frame_with(cut)) is peer_seal.CodecFault.GARBLED


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
