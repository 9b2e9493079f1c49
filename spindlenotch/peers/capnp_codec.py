"""
Encodes and decodes peer messages in Cap'n Proto, for the entry daemon.

The schema is in ``peer.capnp``; its names are those on the wire and differ from the
types in ``messages`` where those were renamed. Decoding limits traversal and
nesting. See ``wire_format`` for what all codecs share.
"""

import pathlib
import typing
import zlib
from collections import abc

import capnp

from spindlenotch import ids
from spindlenotch.peers import documents, messages, wire_format, workload

#: Traversal limits in words of 8 bytes: a packed message may unpack to eight times its
#: maximum size in bytes.
GOSSIP_TRAVERSAL_WORDS = wire_format.MAX_DATAGRAM_BYTES
FRAME_TRAVERSAL_WORDS = wire_format.MAX_FRAME_BYTES
#: Maximum nesting depth of structs, more than the schema has.
MAX_NESTING = 8
#: The schema has ratios in whole percent and ages in whole milliseconds.
PERCENT = 100.0
MS_PER_S = 1000.0

T = typing.TypeVar("T")

_schema: typing.Any = capnp.load(str(pathlib.Path(__file__).parent / "peer.capnp"))


class CapnpCodec:
    """Implements ``wire_format.Codec`` with the schema of ``peer.capnp``."""

    def encode_gossip(self, message: messages.Message) -> bytes:
        """Encode a gossip message, without its authentication code."""
        wire = _schema.Gossip.new_message()
        _write_message(wire, message)
        return typing.cast(bytes, wire.to_bytes_packed())

    def decode_gossip(
        self, payload: bytes
    ) -> messages.Message | wire_format.CodecFault:
        """Decode a gossip message."""
        try:
            wire = _schema.Gossip.from_bytes_packed(
                payload,
                traversal_limit_in_words=GOSSIP_TRAVERSAL_WORDS,
                nesting_limit=MAX_NESTING,
            )
            return _read_message(wire)
        except (capnp.KjException, ValueError, UnicodeDecodeError):
            return wire_format.CodecFault.GARBLED

    def encode_frame(self, frame: messages.DocumentFrame) -> bytes:
        """Encode a document frame, without its authentication code."""
        wire = _schema.DocumentFrame.new_message(
            correlation=frame.correlation,
            wanted=frame.wanted,
            kind=frame.document.kind.value,
            version=frame.document.version,
            digest=frame.document.digest,
            body=zlib.compress(frame.document.body),
        )
        return typing.cast(bytes, wire.to_bytes_packed())

    def decode_frame(
        self, payload: bytes
    ) -> messages.DocumentFrame | wire_format.CodecFault:
        """Decode a document frame."""
        try:
            wire = _schema.DocumentFrame.from_bytes_packed(
                payload,
                traversal_limit_in_words=FRAME_TRAVERSAL_WORDS,
                nesting_limit=MAX_NESTING,
            )
            return _read_frame(wire)
        except (capnp.KjException, ValueError, UnicodeDecodeError, zlib.error):
            return wire_format.CodecFault.GARBLED


def _write_message(wire: typing.Any, message: messages.Message) -> None:
    _write_member(wire.sender, message.sender)
    wire.sequence = message.sequence
    wire.wantsReply = message.wants_reply
    wire.hungry = message.wants_members
    wire.readsSource = message.reads_source
    _write_list(wire, "loads", message.loads, _write_load)
    _write_list(wire, "documents", message.documents, _write_document_version)
    _write_list(wire, "members", message.members, _write_member)
    _write_list(wire, "marks", message.drain_notices, _write_drain_notice)
    _write_list(wire, "suspicions", message.suspicions, _write_suspicion)


def _write_list(
    wire: typing.Any,
    field: str,
    items: tuple[T, ...],
    write: abc.Callable[[typing.Any, T], None],
) -> None:
    slots = wire.init(field, len(items))
    for slot, item in zip(slots, items, strict=True):
        write(slot, item)


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


def _write_load(slot: typing.Any, load: workload.LoadRecord) -> None:
    slot.upstream = load.upstream
    slot.running = load.running
    slot.queued = load.queued
    slot.pacePercent = int(load.slowdown * PERCENT)
    slot.ageMs = int(load.age_s * MS_PER_S)


def _write_document_version(
    slot: typing.Any, version: messages.DocumentVersion
) -> None:
    slot.kind = version.kind.value
    slot.version = version.version
    slot.digest = version.digest


def _write_drain_notice(slot: typing.Any, notice: messages.DrainNotice) -> None:
    slot.service = notice.service
    slot.upstream = notice.upstream
    slot.generation = notice.generation


def _write_suspicion(slot: typing.Any, suspicion: messages.Suspicion) -> None:
    slot.host = suspicion.host
    slot.epoch = suspicion.epoch
    slot.heartbeat = suspicion.heartbeat


def _read_message(wire: typing.Any) -> messages.Message:
    _require_limits(wire)
    return messages.Message(
        sender=_read_member(wire.sender),
        sequence=wire.sequence,
        documents=tuple(_read_document_version(version) for version in wire.documents),
        members=tuple(_read_member(member) for member in wire.members),
        drain_notices=tuple(_read_drain_notice(notice) for notice in wire.marks),
        wants_reply=bool(wire.wantsReply),
        wants_members=bool(wire.hungry),
        suspicions=tuple(_read_suspicion(suspicion) for suspicion in wire.suspicions),
        reads_source=bool(wire.readsSource),
        loads=tuple(_read_load(load) for load in wire.loads),
    )


def _require_limits(wire: typing.Any) -> None:
    """Raise ValueError if a list is longer than a sender may make it."""
    _require_length(wire.members, "members", messages.MAX_MEMBERS_PER_MESSAGE)
    _require_length(wire.suspicions, "suspicions", messages.SUSPICIONS_PER_MESSAGE)
    _require_length(wire.loads, "loads", messages.LOADS_PER_MESSAGE)
    _require_length(wire.marks, "marks", messages.DRAIN_NOTICES_PER_MESSAGE)
    _require_length(wire.documents, "documents", len(documents.DocumentKind))


def _require_length(items: typing.Any, field: str, max_length: int) -> None:
    if len(items) > max_length:
        raise ValueError(
            f"{field}: {len(items)} items, at most {max_length} are allowed"
        )


def _read_frame(wire: typing.Any) -> messages.DocumentFrame:
    document = documents.Document(
        documents.DocumentKind(wire.kind),
        wire.version,
        ids.Digest(_text(wire.digest)),
        _decompress(bytes(wire.body)),
    )
    return messages.DocumentFrame(wire.correlation, bool(wire.wanted), document)


def _read_member(wire: typing.Any) -> messages.MemberRecord:
    return messages.MemberRecord(
        host=ids.HostId(_text(wire.host)),
        zone=ids.ZoneName(_text(wire.zone)),
        incarnation=ids.Incarnation(_text(wire.incarnation)),
        address=ids.Address(_text(wire.address)),
        peer_address=ids.Address(_text(wire.peerAddress)),
        epoch=wire.epoch,
        heartbeat=wire.heartbeat,
        status=messages.Status(wire.status),
        configuration_version=wire.bundleVersion,
        capacity=_read_work(wire.capacity),
        demand=_read_work(wire.demand),
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
        upstream=ids.UpstreamId(_text(wire.upstream)),
        running=wire.running,
        queued=wire.queued,
        slowdown=wire.pacePercent / PERCENT,
        age_s=wire.ageMs / MS_PER_S,
    )


def _read_suspicion(wire: typing.Any) -> messages.Suspicion:
    return messages.Suspicion(ids.HostId(_text(wire.host)), wire.epoch, wire.heartbeat)


def _text(value: str) -> str:
    max_length = wire_format.MAX_TEXT_CHARACTERS
    if len(value) > max_length:
        raise ValueError(
            f"text: {len(value)} characters, at most {max_length} are allowed"
        )
    return value


def _decompress(data: bytes) -> bytes:
    """Decompress a body; raise ValueError if it is truncated or too long."""
    stream = zlib.decompressobj()
    body = stream.decompress(data, wire_format.MAX_FRAME_BYTES)
    if stream.unconsumed_tail or not stream.eof:
        raise ValueError("body: truncated, or over the limit when decompressed")
    return body


CAPNP: wire_format.Codec = CapnpCodec()
