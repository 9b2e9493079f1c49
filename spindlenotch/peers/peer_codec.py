"""
Peer messages to bytes and back in Cap'n Proto.

The reader is bounded in traversal and nesting. See ``wire_format`` for what all
codecs share.
"""

import pathlib
import typing
import zlib

import capnp

from spindlenotch import ids
from spindlenotch.peers import documents, messages, wire_format, workload

TRAVERSAL_WORDS = wire_format.MAX_FRAME_BYTES
NESTING = 8
PERCENT = 100.0
MS_PER_S = 1000.0

_schema: typing.Any = capnp.load(str(pathlib.Path(__file__).parent / "peer.capnp"))


def encode_gossip(message: messages.Message) -> bytes:
    """Return the wire form of a gossip message, without its code."""
    wire = _schema.Gossip.new_message()
    _write_member(wire.sender, message.sender)
    wire.sequence = message.sequence
    wire.wantsReply = message.wants_reply
    wire.hungry = message.wants_members
    wire.readsSource = message.reads_source
    loads = wire.init("loads", len(message.loads))
    for slot, load in zip(loads, message.loads, strict=True):
        slot.upstream = load.upstream
        slot.running = load.running
        slot.queued = load.queued
        slot.pacePercent = int(load.slowdown * PERCENT)
        slot.ageMs = int(load.age_s * MS_PER_S)
    news = wire.init("documents", len(message.documents))
    for slot, document in zip(news, message.documents, strict=True):
        slot.kind = document.kind.value
        slot.version = document.version
        slot.digest = document.digest
    members = wire.init("members", len(message.members))
    for slot, member in zip(members, message.members, strict=True):
        _write_member(slot, member)
    marks = wire.init("marks", len(message.drain_notices))
    for slot, mark in zip(marks, message.drain_notices, strict=True):
        slot.service = mark.service
        slot.upstream = mark.upstream
        slot.generation = mark.generation
    suspicions = wire.init("suspicions", len(message.suspicions))
    for slot, suspicion in zip(suspicions, message.suspicions, strict=True):
        slot.host = suspicion.host
        slot.epoch = suspicion.epoch
        slot.heartbeat = suspicion.heartbeat
    return typing.cast(bytes, wire.to_bytes_packed())


def decode_gossip(payload: bytes) -> messages.Message | wire_format.CodecFault:
    """Read the wire form of a gossip message."""
    try:
        wire = _schema.Gossip.from_bytes_packed(
            payload,
            traversal_limit_in_words=wire_format.MAX_DATAGRAM_BYTES,
            nesting_limit=NESTING,
        )
        return _read_gossip(wire)
    except (capnp.KjException, ValueError, UnicodeDecodeError):
        return wire_format.CodecFault.GARBLED


def encode_frame(frame: messages.DocumentFrame) -> bytes:
    """Return the wire form of a document frame, without its code."""
    wire = _schema.DocumentFrame.new_message(
        correlation=frame.correlation,
        wanted=frame.wanted,
        kind=frame.document.kind.value,
        version=frame.document.version,
        digest=frame.document.digest,
        body=zlib.compress(frame.document.body),
    )
    return typing.cast(bytes, wire.to_bytes_packed())


def decode_frame(payload: bytes) -> messages.DocumentFrame | wire_format.CodecFault:
    """Read the wire form of a document frame."""
    try:
        wire = _schema.DocumentFrame.from_bytes_packed(
            payload,
            traversal_limit_in_words=TRAVERSAL_WORDS,
            nesting_limit=NESTING,
        )
        document = documents.Document(
            documents.DocumentKind(wire.kind),
            wire.version,
            ids.Digest(_text(wire.digest)),
            _inflate(bytes(wire.body)),
        )
        return messages.DocumentFrame(wire.correlation, bool(wire.wanted), document)
    except (capnp.KjException, ValueError, UnicodeDecodeError, zlib.error):
        return wire_format.CodecFault.GARBLED


def _inflate(data: bytes) -> bytes:
    """Decompress a body of bounded size."""
    stream = zlib.decompressobj()
    body = stream.decompress(data, wire_format.MAX_FRAME_BYTES)
    if stream.unconsumed_tail or not stream.eof:
        raise ValueError("body")
    return body


def _write_member(slot: typing.Any, member: messages.MemberRecord) -> None:
    slot.host = member.host
    slot.zone = member.zone
    slot.incarnation = member.incarnation
    slot.address = member.address
    slot.peerAddress = member.peer_address
    slot.epoch = member.epoch
    slot.heartbeat = member.heartbeat
    slot.status = member.status.value
    slot.bundleVersion = member.configuration_version
    _write_work(slot.capacity, member.capacity)
    _write_work(slot.demand, member.demand)


def _write_work(slot: typing.Any, work: workload.Work) -> None:
    slot.requestsPerS = work.requests_per_s
    slot.bytesPerS = work.bytes_per_s


def _read_gossip(wire: typing.Any) -> messages.Message:
    if len(wire.members) > messages.MAX_MEMBERS_PER_MESSAGE:
        raise ValueError("members")
    if len(wire.suspicions) > messages.SUSPICIONS_PER_MESSAGE:
        raise ValueError("suspicions")
    if len(wire.loads) > messages.LOADS_PER_MESSAGE:
        raise ValueError("loads")
    if len(wire.marks) > messages.DRAIN_NOTICES_PER_MESSAGE:
        raise ValueError("marks")
    if len(wire.documents) > len(documents.DocumentKind):
        raise ValueError("documents")
    return messages.Message(
        _read_member(wire.sender),
        wire.sequence,
        tuple(_read_document_version(n) for n in wire.documents),
        tuple(_read_member(m) for m in wire.members),
        tuple(_read_drain_notice(m) for m in wire.marks),
        bool(wire.wantsReply),
        bool(wire.hungry),
        tuple(_read_suspicion(s) for s in wire.suspicions),
        bool(wire.readsSource),
        tuple(_read_load(load) for load in wire.loads),
    )


def _read_member(wire: typing.Any) -> messages.MemberRecord:
    return messages.MemberRecord(
        ids.HostId(_text(wire.host)),
        ids.ZoneName(_text(wire.zone)),
        ids.Incarnation(_text(wire.incarnation)),
        ids.Address(_text(wire.address)),
        ids.Address(_text(wire.peerAddress)),
        wire.epoch,
        wire.heartbeat,
        messages.Status(wire.status),
        wire.bundleVersion,
        _read_work(wire.capacity),
        _read_work(wire.demand),
    )


def _read_work(wire: typing.Any) -> workload.Work:
    return workload.Work(wire.requestsPerS, wire.bytesPerS)


def _read_document_version(wire: typing.Any) -> messages.DocumentVersion:
    return messages.DocumentVersion(
        documents.DocumentKind(wire.kind), wire.version, ids.Digest(_text(wire.digest))
    )


def _read_drain_notice(wire: typing.Any) -> messages.DrainNotice:
    return messages.DrainNotice(
        ids.ServiceName(_text(wire.service)),
        ids.UpstreamId(_text(wire.upstream)),
        wire.generation,
    )


def _read_load(wire: typing.Any) -> workload.LoadRecord:
    return workload.LoadRecord(
        ids.UpstreamId(_text(wire.upstream)),
        wire.running,
        wire.queued,
        wire.pacePercent / PERCENT,
        wire.ageMs / MS_PER_S,
    )


def _read_suspicion(wire: typing.Any) -> messages.Suspicion:
    return messages.Suspicion(ids.HostId(_text(wire.host)), wire.epoch, wire.heartbeat)


def _text(value: str) -> str:
    if len(value) > wire_format.MAX_TEXT_CHARACTERS:
        raise ValueError("text")
    return value


class CapnpCodec:
    """The codec of the entry daemon."""

    encode_gossip = staticmethod(encode_gossip)
    decode_gossip = staticmethod(decode_gossip)
    encode_frame = staticmethod(encode_frame)
    decode_frame = staticmethod(decode_frame)


CAPNP: wire_format.Codec = CapnpCodec()
