"""
The samples of what gateways and entries send each other.

Messages and frames in both codecs, sealed datagrams and streams, and the
documents that a gateway hands to its peers. To record something new, add a
sample to ``peer_samples`` and run ``recorded_samples``.
"""

import asyncio
import zlib
from collections import abc

import msgspec

from features.support import recorded, recorded_gateway, recorded_messages
from spindlenotch import ids, metrics
from spindlenotch.gateway.source import sources
from spindlenotch.peers import (
    capnp_codec,
    documents,
    messages,
    msgpack_codec,
    peer_link,
    peer_seal,
)

Sample = recorded.Sample
KEYS = (recorded_gateway.KEY, b"a second key, accepted")


def handed_out(kind: documents.DocumentKind) -> bytes:
    """Return the document that a gateway hands out after reading its source."""

    by_id = {one.id: one for one in recorded_gateway.listed()}
    return published(kind, sources.Snapshot(5, recorded_gateway.configuration(), by_id))


def handed_out_later(kind: documents.DocumentKind) -> bytes:
    """Return the same with what the first record does not hold."""
    by_id = {one.id: one for one in recorded_gateway.listed()}
    first_zone = recorded_gateway.listed()[0].zone
    return published(
        kind,
        sources.Snapshot(
            5,
            recorded_gateway.added_configuration(),
            by_id,
            evacuated_zones=frozenset({first_zone}),
        ),
    )


def handed_out_last(
    kind: documents.DocumentKind, era: int | None = None, grace_s: float | None = None
) -> bytes:
    """
    Return the same with what the earlier records do not hold.

    With ``grace_s``, the leases of all upstreams have expired.
    """
    by_id = {
        one.id: msgspec.structs.replace(plain, version=one.version, born=one.born)
        for one, plain in zip(
            recorded_gateway.latest_listed(), recorded_gateway.listed(), strict=True
        )
    }
    first_zone = recorded_gateway.listed()[0].zone
    mark = recorded_gateway.rollout_mark()
    assert mark.order is not None and mark.status is not None
    return published(
        kind,
        sources.Snapshot(
            5,
            recorded_gateway.latest_configuration(),
            by_id,
            evacuated_zones=frozenset({first_zone}),
            order_by_service={mark.order.service: mark.order},
            status_by_service={mark.status.service: mark.status},
            era=era,
        ),
        grace_s,
    )


def published(
    kind: documents.DocumentKind,
    snapshot: sources.Snapshot,
    grace_s: float | None = None,
) -> bytes:
    """Return the document that a gateway hands out of what it read."""

    async def publish() -> bytes:
        state, passing = recorded_gateway.gateway()
        state.apply_snapshot(snapshot)
        if grace_s is not None:
            for lease in state.listing.lease_by_id.values():
                lease.drop_at = ids.later(state.clock.now(), grace_s)
        passing.publish(5)
        return passing.link.on_frame(recorded_messages.frame(kind, b"")).body

    return recorded_gateway.run(publish())


def taken_in(kind: documents.DocumentKind, body: bytes) -> object:
    """Return what a gateway holds after it took in a peer's document."""

    async def take() -> object:
        state, passing = recorded_gateway.gateway()
        passing._receive(documents.Document(kind, 9, ids.Digest(""), body))
        if kind is documents.DocumentKind.HOSTS:
            return state.listed_for_peers()
        return None if state.table is None else state.table.configuration

    return recorded_gateway.run(take())


def peer_samples() -> list[Sample]:
    """Return the samples of what gateways and entries tell each other."""
    codec = msgpack_codec.MSGPACK
    bundle_kind, hosts_kind = documents.DocumentKind
    body = b'{"the body of a document":"as it is"}'
    hosts = recorded_messages.frame(hosts_kind, body)
    positioned = recorded_messages.positioned_frame(body)
    return [
        Sample(
            "gossip.msgpack.hex",
            "msgpack",
            recorded_messages.message(),
            lambda: zlib.decompress(codec.encode_gossip(recorded_messages.message())),
            lambda data: codec.decode_gossip(zlib.compress(data)),
            strangers="passed over",
        ),
        Sample(
            "gossip-bare.msgpack.hex",
            "msgpack",
            recorded_messages.bare_message(),
            read=lambda data: codec.decode_gossip(zlib.compress(data)),
            bare=True,
        ),
        _added_gossip("gossip-added", recorded_messages.added_message()),
        _added_gossip("gossip-added-2", recorded_messages.added_later_message()),
        _added_gossip("gossip-added-3", recorded_messages.regional_message()),
        _added_gossip("gossip-added-4", recorded_messages.latest_message()),
        _added_gossip("gossip-added-5", recorded_messages.crash_message()),
        _added_gossip("gossip-added-6", recorded_messages.limit_message()),
        _added_gossip("gossip-added-7", recorded_messages.positioned_message()),
        _added_gossip("gossip-added-8", recorded_messages.isolated_message()),
        _added_gossip("gossip-added-9", recorded_messages.well_message()),
        Sample(
            "frame.msgpack.hex",
            "msgpack",
            hosts,
            lambda: zlib.decompress(codec.encode_frame(hosts)),
            lambda data: codec.decode_frame(zlib.compress(data)),
            strangers="passed over",
        ),
        Sample(
            "frame-added.msgpack.hex",
            "msgpack",
            positioned,
            lambda: zlib.decompress(codec.encode_frame(positioned)),
            lambda data: codec.decode_frame(zlib.compress(data)),
            strangers="passed over",
        ),
        Sample(
            "datagram.sealed.hex",
            "sealed",
            recorded_messages.message(),
            lambda: resealed(
                "datagram.sealed.hex", codec.encode_gossip(recorded_messages.message())
            ),
            open_datagram,
        ),
        Sample(
            "stream.sealed.hex",
            "sealed",
            hosts,
            lambda: framed("stream.sealed.hex", codec.encode_frame(hosts)),
            open_stream,
        ),
        Sample(
            "gossip.capnp.hex",
            "capnp",
            recorded_messages.message(),
            lambda: capnp_codec.CAPNP.encode_gossip(recorded_messages.message()),
            capnp_codec.CAPNP.decode_gossip,
            look_gossip,
        ),
        Sample(
            "frame.capnp.hex",
            "capnp",
            recorded_messages.SHORT,
            lambda: capnp_codec.CAPNP.encode_frame(recorded_messages.SHORT),
            capnp_codec.CAPNP.decode_frame,
            look_frame,
        ),
        Sample(
            "configuration.json",
            "json",
            recorded_gateway.configuration(),
            lambda: handed_out(bundle_kind),
            lambda data: taken_in(bundle_kind, data),
            strangers="passed over",
        ),
        Sample(
            "configuration-bare.json",
            "json",
            recorded_gateway.bare_configuration(),
            read=lambda data: taken_in(bundle_kind, data),
            bare=True,
        ),
        Sample(
            "upstreams.json",
            "json",
            recorded_gateway.listed(),
            lambda: handed_out(hosts_kind),
            lambda data: taken_in(hosts_kind, data),
            strangers="passed over",
        ),
        Sample(
            "configuration-added-2.json",
            "json",
            recorded_gateway.latest_configuration(),
            lambda: handed_out_last(bundle_kind),
            lambda data: taken_in(bundle_kind, data),
            strangers="passed over",
        ),
        Sample(
            "upstreams-added-2.json",
            "json",
            recorded_gateway.latest_listed(),
            lambda: handed_out_last(hosts_kind),
            lambda data: taken_in(hosts_kind, data),
            strangers="passed over",
        ),
        Sample(
            "upstreams-added-3.json",
            "json",
            recorded_gateway.listed_with_era(),
            lambda: handed_out_last(hosts_kind, recorded_gateway.ERA),
            lambda data: taken_in(hosts_kind, data),
            strangers="passed over",
        ),
        Sample(
            "upstreams-added-4.json",
            "json",
            recorded_gateway.listed_in_grace(),
            lambda: handed_out_last(
                hosts_kind, recorded_gateway.ERA, recorded_gateway.GRACE_S
            ),
            lambda data: taken_in(hosts_kind, data),
            strangers="passed over",
        ),
        Sample(
            "configuration-added.json",
            "json",
            recorded_gateway.added_configuration(),
            lambda: handed_out_later(bundle_kind),
            lambda data: taken_in(bundle_kind, data),
            strangers="passed over",
        ),
        Sample(
            "upstreams-added.json",
            "json",
            recorded_gateway.added_listed(),
            lambda: handed_out_later(hosts_kind),
            lambda data: taken_in(hosts_kind, data),
            strangers="passed over",
        ),
    ]


def resealed(file: str, payload: bytes) -> bytes:
    """
    Return the recorded payload sealed anew; that given where none is recorded.

    Compressors differ in their bytes between releases, so that which bytes
    were compressed is compared before, and how they are sealed here.
    """
    path = recorded.FOLDER / file
    if path.exists():
        payload = bytes.fromhex(path.read_text())[peer_seal.MAC_BYTES :]
    return peer_seal.Sealer(KEYS).seal(payload)


def framed(file: str, payload: bytes) -> bytes:
    """Return the recorded payload sealed anew, with its length in front."""
    path = recorded.FOLDER / file
    if path.exists():
        start = peer_link.LENGTH.size + peer_seal.MAC_BYTES
        payload = bytes.fromhex(path.read_text())[start:]
    data = peer_seal.Sealer(KEYS).seal(payload)
    return peer_link.LENGTH.pack(len(data)) + data


def open_datagram(data: bytes) -> object:
    """Return what a link that knows the key hears in a datagram."""
    heard: list[messages.Message] = []
    link(heard.append).datagram_received(data, None)
    return heard[0] if heard else None


def open_stream(data: bytes) -> object:
    """Return what a link that knows the key reads from a connection."""

    async def read() -> object:
        reader = asyncio.StreamReader()
        reader.feed_data(data)
        reader.feed_eof()
        return await link(lambda message: None)._read(reader)

    return recorded_gateway.run(read())


def link(on_gossip: abc.Callable[[messages.Message], None]) -> peer_link.PeerLink:
    """Return a link whose first key is another one, without any socket."""
    return peer_link.PeerLink(
        peer_seal.Sealer((b"a newer key in front", recorded_gateway.KEY)),
        metrics.Metrics(),
        on_gossip=on_gossip,
        on_frame=lambda frame: frame.document,
        codec=msgpack_codec.MSGPACK,
    )


def look_gossip(data: bytes) -> object:
    """Return a Cap'n Proto message as maps by the schema's names."""
    return capnp_codec._schema.Gossip.from_bytes_packed(data).to_dict()


def look_frame(data: bytes) -> object:
    """Return a Cap'n Proto frame as maps by the schema's names."""
    return capnp_codec._schema.DocumentFrame.from_bytes_packed(data).to_dict()


def _added_gossip(name: str, message: messages.Message) -> Sample:
    """Return the sample of a message with fields that came later."""
    codec = msgpack_codec.MSGPACK
    return Sample(
        f"{name}.msgpack.hex",
        "msgpack",
        message,
        lambda: zlib.decompress(codec.encode_gossip(message)),
        lambda data: codec.decode_gossip(zlib.compress(data)),
        strangers="passed over",
    )
