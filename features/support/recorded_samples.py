"""
The samples of what the product writes and reads, each field told.

A change of names touches this file only, never the recorded bytes. Record what
is not there yet with
``PYTHONPATH=.:platform .venv/bin/python -m features.support.recorded_samples``.
"""

import asyncio
import typing
import zlib
from collections import abc

import msgspec

from features.support import recorded
from spindlenotch import clock, ids, metrics
from spindlenotch.bundles import bundle, bundle_check, bundle_seal
from spindlenotch.cli import publishing
from spindlenotch.drivers import http_client, store_http
from spindlenotch.entry import claims, entry_state, once, plugins, settings
from spindlenotch.gateway import (
    discovery,
    fleet as fleets,
    membership,
    relay,
    routing,
    settings as gateway_settings,
    sources,
    state as states,
)
from spindlenotch.kernel import schedule
from spindlenotch.peers import (
    capnp_codec,
    documents,
    messages,
    msgpack_codec,
    peer_link,
    peer_seal,
    workload,
)
from spindlenotch_platform import records, store

Sample = recorded.Sample
Result = typing.TypeVar("Result")

KEY = b"a peer key of the records"
KEYS = (KEY, b"a second key, accepted")
PRIVATE = "1f" * 32
PRIVATE_EARLIER = "2e" * 32
STORE_URL = "http://127.0.0.9:7000"
ZONE = ids.ZoneName("zone-a")
ME = ids.Address("127.0.0.1:9001")
OTHER = ids.Address("127.0.0.2:9001")


def member(number: int, status: messages.Status) -> messages.MemberRecord:
    """Return the news of one member."""
    return messages.MemberRecord(
        host=ids.HostId(f"host-{number}"),
        zone=ids.ZoneName(f"zone-{number}"),
        incarnation=ids.Incarnation(f"{number:016x}"),
        address=ids.Address(f"127.0.0.{number}:8080"),
        peer_address=ids.Address(f"127.0.0.{number}:8081"),
        epoch=1_700_000_000_000 + number,
        heartbeat=40 + number,
        status=status,
        configuration_version=70 + number,
        capacity=workload.Work(requests_per_s=1500.5 + number, bytes_per_s=2.5e8),
        demand=workload.Work(requests_per_s=300.25, bytes_per_s=4.5e6 + number),
    )


def message() -> messages.Message:
    """Return a gossip message that has everything."""
    return messages.Message(
        sender=member(1, messages.Status.READY),
        sequence=4711,
        documents=(
            messages.DocumentVersion(
                documents.DocumentKind.BUNDLE, 12, ids.Digest("ab12")
            ),
            messages.DocumentVersion(
                kind=documents.DocumentKind.HOSTS,
                version=25_600,
                digest=ids.Digest("cd34"),
            ),
        ),
        members=(
            member(2, messages.Status.STARTING),
            member(3, messages.Status.LEAVING),
        ),
        drain_notices=(
            messages.DrainNotice(
                service=ids.ServiceName("core"),
                upstream=ids.UpstreamId("up-7"),
                generation=3,
            ),
        ),
        wants_reply=True,
        wants_members=True,
        suspicions=(
            messages.Suspicion(
                host=ids.HostId("host-9"), epoch=1_700_000_000_009, heartbeat=49
            ),
        ),
        reads_source=True,
        loads=(
            workload.LoadRecord(
                upstream=ids.UpstreamId("up-1"),
                running=4,
                queued=2,
                slowdown=2.5,
                age_s=0.25,
            ),
        ),
    )


def bare_message() -> messages.Message:
    """Return what a message with the required fields alone is read as."""
    sender = messages.MemberRecord(
        host=ids.HostId("h"),
        zone=ids.ZoneName("z"),
        incarnation=ids.Incarnation("i"),
        address=ids.Address("a"),
        peer_address=ids.Address("p"),
        epoch=1,
        heartbeat=2,
        status=messages.Status.READY,
        configuration_version=3,
        capacity=workload.Work(requests_per_s=0.0, bytes_per_s=0.0),
        demand=workload.Work(requests_per_s=0.0, bytes_per_s=0.0),
    )
    return messages.Message(
        sender=sender,
        sequence=5,
        documents=(),
        members=(),
        drain_notices=(),
        wants_reply=False,
        wants_members=False,
        suspicions=(),
        reads_source=False,
        loads=(),
    )


def frame(kind: documents.DocumentKind, body: bytes) -> messages.DocumentFrame:
    """Return a document frame."""
    return messages.DocumentFrame(
        correlation=815,
        wanted=True,
        document=documents.Document(
            kind=kind, version=25_601, digest=ids.Digest("ef56"), body=body
        ),
    )


SHORT = frame(documents.DocumentKind.HOSTS, b"a short body")


def configuration() -> routing.Configuration:
    """Return a configuration with everything in it."""
    kinds = routing.RequestKind
    routes = tuple(
        routing.Route(
            name=routing.RouteName(f"route-{number}"),
            host="shop.example",
            prefix=f"/path-{number}",
            kind=kind,
            timeout_s=3.5 + number,
            target_s=0.25 + number,
            rank=2 + number,
            most_tries=3 + number,
            parts=(
                routing.Part(service=ids.ServiceName("core"), weight=2.5),
                routing.Part(service=ids.ServiceName("extra"), weight=0.5),
            ),
        )
        for number, kind in enumerate((kinds.SAFE, kinds.UNSAFE, kinds.UPLOAD))
    )
    services = {
        ids.ServiceName(name): routing.ServiceSpec(
            name=ids.ServiceName(name), health_path=f"/health-{name}", connections=17
        )
        for name in ("core", "extra")
    }
    limits = routing.Limits(
        header_bytes=8_000,
        body_bytes=1_000_000,
        header_timeout_s=2.5,
        idle_timeout_s=12.5,
    )
    return routing.Configuration(
        version=1234, routes=routes, service_by_name=services, limits=limits
    )


def bare_configuration() -> routing.Configuration:
    """Return what a configuration without any limits is read as."""
    limits = routing.Limits(
        header_bytes=16_384,
        body_bytes=67_108_864,
        header_timeout_s=10.0,
        idle_timeout_s=60.0,
    )
    return routing.Configuration(
        version=7, routes=(), service_by_name={}, limits=limits
    )


def listed() -> tuple[sources.ListedUpstream, ...]:
    """Return a list of upstreams with everything in it."""
    pairs = ((1, sources.UpstreamState.READY), (2, sources.UpstreamState.DRAINING))
    return tuple(
        sources.ListedUpstream(
            id=ids.UpstreamId(f"up-{number}"),
            service=ids.ServiceName("core"),
            address=ids.Address(f"127.0.0.{number}:6000"),
            zone=ids.ZoneName(f"zone-{number}"),
            slots=4 + number,
            state=state,
            cold_s=2.5 + number,
        )
        for number, state in pairs
    )


def gateway() -> tuple[states.GatewayState, relay.Relay]:
    """Return a gateway's state and its relay, without any socket."""
    given = {
        "host": "host-1",
        "zone": ZONE,
        "peer_listen": ME,
        "source": STORE_URL,
        "source_driver": "platform",
        "peer_keys": KEY.decode(),
        "seed": "1",
    }
    config = gateway_settings.read(given, {})
    assert isinstance(config, gateway_settings.GatewaySettings), config
    state = states.GatewayState(config, clock.ManualClock())
    fleet = fleets.Fleet(state)
    return state, relay.Relay(state, fleet, membership.Membership(state).link)


def handed_out(kind: documents.DocumentKind) -> bytes:
    """Return the document that a gateway hands out after reading its source."""

    async def publish() -> bytes:
        state, passing = gateway()
        by_id = {one.id: one for one in listed()}
        state.apply_snapshot(sources.Snapshot(5, configuration(), by_id))
        passing.publish(5)
        return passing.link.on_frame(frame(kind, b"")).body

    return run(publish())


def taken_in(kind: documents.DocumentKind, body: bytes) -> object:
    """Return what a gateway holds after it took in a peer's document."""

    async def take() -> object:
        state, passing = gateway()
        passing._receive(documents.Document(kind, 9, ids.Digest(""), body))
        if kind is documents.DocumentKind.HOSTS:
            return state.listing.listed(state.clock.now())
        return None if state.table is None else state.table.configuration

    return run(take())


def run(work: abc.Coroutine[typing.Any, typing.Any, Result]) -> Result:
    """Run a coroutine in a loop of its own."""
    with asyncio.Runner() as runner:
        return runner.run(work)


def peer_samples() -> list[Sample]:
    """Return the samples of what gateways and entries tell each other."""
    codec = msgpack_codec.MSGPACK
    bundle_kind, hosts_kind = documents.DocumentKind
    body = b'{"the body of a document":"as it is"}'
    hosts = frame(hosts_kind, body)
    return [
        Sample(
            "gossip.msgpack.hex",
            "msgpack",
            message(),
            lambda: zlib.decompress(codec.encode_gossip(message())),
            lambda data: codec.decode_gossip(zlib.compress(data)),
            strangers="passed over",
        ),
        Sample(
            "gossip-bare.msgpack.hex",
            "msgpack",
            bare_message(),
            read=lambda data: codec.decode_gossip(zlib.compress(data)),
            bare=True,
        ),
        Sample(
            "frame.msgpack.hex",
            "msgpack",
            hosts,
            lambda: zlib.decompress(codec.encode_frame(hosts)),
            lambda data: codec.decode_frame(zlib.compress(data)),
            strangers="passed over",
        ),
        Sample(
            "datagram.sealed.hex",
            "sealed",
            message(),
            lambda: resealed("datagram.sealed.hex", codec.encode_gossip(message())),
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
            message(),
            lambda: capnp_codec.CAPNP.encode_gossip(message()),
            capnp_codec.CAPNP.decode_gossip,
            look_gossip,
        ),
        Sample(
            "frame.capnp.hex",
            "capnp",
            SHORT,
            lambda: capnp_codec.CAPNP.encode_frame(SHORT),
            capnp_codec.CAPNP.decode_frame,
            look_frame,
        ),
        Sample(
            "configuration.json",
            "json",
            configuration(),
            lambda: handed_out(bundle_kind),
            lambda data: taken_in(bundle_kind, data),
            strangers="passed over",
        ),
        Sample(
            "configuration-bare.json",
            "json",
            bare_configuration(),
            read=lambda data: taken_in(bundle_kind, data),
            bare=True,
        ),
        Sample(
            "upstreams.json",
            "json",
            listed(),
            lambda: handed_out(hosts_kind),
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

    return run(read())


def link(on_gossip: abc.Callable[[messages.Message], None]) -> peer_link.PeerLink:
    """Return a link whose first key is another one, without any socket."""
    return peer_link.PeerLink(
        peer_seal.Sealer((b"a newer key in front", KEY)),
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


POLICIES = ("owned", "other")


def signed_bundle() -> bundle.Bundle:
    """Return what the recorded bundle's text is read as."""
    zones = (ids.ZoneName("zone-a"), ids.ZoneName("zone-b"))
    operations = (
        bundle.Operation(
            name="book",
            methods=frozenset({"GET", "POST"}),
            prefix="/bookings",
            class_name=ids.ClassName("urgent"),
            repeatable=True,
        ),
    )
    day = (
        schedule.DayStep(minute=390, weight_by_zone={zones[0]: 1.5, zones[1]: 0.0}),
        schedule.DayStep(minute=1080, weight_by_zone={zones[0]: 0.5, zones[1]: 2.0}),
    )
    service = bundle.Service(
        name=ids.ServiceName("core"),
        zones=zones,
        slots=6,
        connections=120,
        typical_ms=12.5,
        policy="other",
        hedge_share=0.025,
        retry_share=0.075,
        queue_limit=33,
        eject_share=0.25,
        operations=operations,
        day=day,
    )
    account = bundle.ClientAccount(
        name=ids.AccountName("hotel"),
        key_sha256="a3" * 32,
        class_names=(ids.ClassName("urgent"), ids.ClassName("browse")),
    )
    return bundle.Bundle(
        version=ids.BundleVersion(42),
        deployment="records",
        timezone="Asia/Ulaanbaatar",
        measuring_share=0.02,
        probe_ms=4.5,
        claims_per_second=75.0,
        claim_keep_s=7200,
        priority_by_class={ids.ClassName("urgent"): 1, ids.ClassName("browse"): 3},
        anonymous_class=ids.ClassName("browse"),
        account_by_name={account.name: account},
        service_by_name={service.name: service},
    )


def bare_bundle() -> bundle.Bundle:
    """Return what a bundle with the required fields alone is read as."""
    operation = bundle.Operation(
        name="read",
        methods=frozenset({"GET"}),
        prefix="/",
        class_name=ids.ClassName("browse"),
        repeatable=True,
    )
    service = bundle.Service(
        name=ids.ServiceName("core"),
        zones=(ids.ZoneName("zone-a"),),
        slots=2,
        connections=250,
        typical_ms=20.0,
        policy="owned",
        hedge_share=0.05,
        retry_share=0.05,
        queue_limit=200,
        eject_share=0.3,
        operations=(operation,),
        day=(),
    )
    return bundle.Bundle(
        version=ids.BundleVersion(1),
        deployment="records",
        timezone="UTC",
        measuring_share=0.01,
        probe_ms=6.0,
        claims_per_second=100.0,
        claim_keep_s=86_400,
        priority_by_class={ids.ClassName("browse"): 0},
        anonymous_class=None,
        account_by_name={},
        service_by_name={service.name: service},
    )


def text_of(name: str) -> str:
    """Return the text of a recorded bundle."""
    return (recorded.FOLDER / name).read_text().removesuffix("\n")


def earlier_envelope() -> bundle_seal.Envelope:
    """Return the envelope of version 41, whose log begins there."""
    sealed = bundle_seal.seal(text_of("bundle-bare.toml"), PRIVATE_EARLIER)
    return bundle_seal.with_log(sealed, None, 41, 1_700_000_000.5)


def sealed_bundle() -> bundle_seal.Envelope:
    """Return the envelope of version 42 as an operator signs it."""
    return bundle_seal.seal(text_of("bundle.toml"), PRIVATE)


def envelope() -> bundle_seal.Envelope:
    """Return the envelope of version 42 with its log."""
    return bundle_seal.with_log(
        sealed_bundle(), earlier_envelope(), 42, 1_700_000_060.25
    )


def opened(data: bytes) -> object:
    """Return the bundle in an envelope whose signature holds."""
    found = bundle_seal.open_bytes(data, frozenset({envelope().key}), POLICIES)
    return found.bundle if isinstance(found, bundle_seal.Opened) else found


def bundle_samples() -> list[Sample]:
    """Return the samples of signed bundles."""
    return [
        Sample(
            "bundle.toml",
            "toml",
            signed_bundle(),
            read=lambda data: bundle_check.check(data.decode(), POLICIES),
        ),
        Sample(
            "bundle-bare.toml",
            "toml",
            bare_bundle(),
            read=lambda data: bundle_check.check(data.decode(), POLICIES),
            bare=True,
        ),
        Sample(
            "envelope.json",
            "json",
            envelope(),
            lambda: bundle_seal.encode(envelope()),
            bundle_seal.decode,
            strangers="passed over",
        ),
        Sample("envelope.json", "json", signed_bundle(), read=opened),
    ]


def entry() -> entry_state.EntryState:
    """Return an entry's state with the recorded bundle in force."""
    given = {
        "host": "host-1",
        "zone": ZONE,
        "peer_listen": ME,
        "store": STORE_URL,
        "host_list": "http://127.0.0.9:7001",
        "peer_keys": KEY.decode(),
        "trusted_keys": bundle_seal.seal("", PRIVATE_EARLIER).key,
        "seed": "1",
    }
    config = settings.read(given, {})
    assert isinstance(config, settings.EntrySettings), config
    plugins.load()
    state = entry_state.EntryState(config, clock.ManualClock())
    state.incarnation = ids.Incarnation("0123456789abcdef")
    data = bundle_seal.encode(earlier_envelope())
    document = documents.Document(
        documents.DocumentKind.BUNDLE, 1, earlier_envelope().digest(), data
    )
    state.offer_document(document)
    assert state.bundle is not None
    return state


def http_store(*answers: recorded.Answer) -> tuple[store_http.HttpStore, typing.Any]:
    """Return the store's driver over a session that answers so."""
    found = store_http.HttpStore(STORE_URL)
    session = recorded.Session(*answers)
    opened = typing.cast(typing.Any, session)
    found.session = http_client.LazySession(lambda: opened)
    return found, session


def answer(status: int, revision: int, body: bytes = b"") -> recorded.Answer:
    """Return an answer of the key-value service."""
    return recorded.Answer(status, body, {"X-Revision": str(revision)})


def body_of(data: bytes) -> bytes:
    """Return the body of a recorded call."""
    return typing.cast(str, msgspec.json.decode(data)["body"]).encode()


def write_claim() -> bytes:
    """Return the call by which an entry claims an id."""

    async def claim() -> bytes:
        driver, session = http_store(answer(200, 1))
        await claims.Claims(entry(), driver).home_of(once.OnceKey("hotel/order-7"))
        return recorded.pretty(session.calls[0])

    return run(claim())


def read_claim(data: bytes) -> object:
    """Return the home that an entry finds where another has claimed the id."""

    async def find() -> object:
        driver, _ = http_store(answer(409, 3), answer(200, 3, body_of(data)))
        finder = entry()
        finder.incarnation = ids.Incarnation("f" * 16)
        return await claims.Claims(finder, driver).home_of(
            once.OnceKey("hotel/order-7")
        )

    return run(find())


def write_published() -> bytes:
    """Return the call by which an operator publishes a bundle."""

    async def publish() -> bytes:
        before = bundle_seal.encode(earlier_envelope())
        driver, session = http_store(answer(200, 6, before), answer(200, 7))
        done = await publishing.publish(
            driver,
            sealed_bundle(),
            version=42,
            base=41,
            published_at=1_700_000_060.25,
        )
        assert done.verdict is publishing.Verdict.ACCEPTED, done
        return recorded.pretty(session.calls[-1])

    return run(publish())


def read_published(data: bytes) -> object:
    """Return the envelope that whoever reads the store finds."""

    async def read() -> object:
        driver, _ = http_store(answer(200, 7, body_of(data)))
        return await publishing.current(driver)

    return run(read())


INTRODUCTION = sources.DiscoveryRecord(zone=ZONE, peer_address=ME, revision=41)


def platform_source(body: bytes) -> tuple[store.PlatformSource, recorded.Session]:
    """Return the platform's source over a session that answers so, once."""
    found = store.create(STORE_URL)
    session = recorded.Session(recorded.Answer(200, body, {}))
    opened = typing.cast(typing.Any, session)
    found.client.session = http_client.LazySession(lambda: opened)
    return found, session


def write_introduction() -> bytes:
    """Return the call by which a gateway introduces itself."""

    async def introduce() -> bytes:
        state, passing = gateway()
        standing = sources.DiscoveryRecord(ZONE, OTHER, INTRODUCTION.revision)
        state.discovery_record_by_zone[ZONE] = standing
        source, session = platform_source(b'{"revision":42}')
        await discovery.DiscoveryWriter(state, source, passing.is_reader).write()
        return recorded.pretty(session.calls[0])

    return run(introduce())


def read_introduction(data: bytes) -> object:
    """Return the introduction that whoever follows the source finds."""
    (put,) = msgspec.json.decode(body_of(data))["put"]
    item = {"key": put["key"], "revision": 41, "value": put["value"]}

    async def read() -> object:
        source, _ = platform_source(msgspec.json.encode({"events": [item], "at": 50}))
        changes = await source.follow(40, 1.0)
        assert isinstance(changes, sources.Changes), changes
        return changes.discovery_records[0]

    return run(read())


def store_samples() -> list[Sample]:
    """Return the samples of what lies in the store."""
    home = claims.Home(host="host-1", incarnation="0123456789abcdef")
    return [
        Sample("claim.json", "json", home, write_claim, read_claim),
        Sample("published.json", "json", envelope(), write_published, read_published),
        Sample(
            "introduction.json",
            "json",
            INTRODUCTION,
            write_introduction,
            read_introduction,
        ),
        Sample(
            "platform-configuration.json",
            "json",
            configuration(),
            read=records.read_configuration,
            strangers="passed over",
        ),
        Sample(
            "platform-configuration-bare.json",
            "json",
            bare_platform_configuration(),
            read=records.read_configuration,
            bare=True,
        ),
        Sample(
            "platform-worker.json",
            "json",
            listed()[1],
            read=lambda data: records.read_upstream("servers/up-2", data),
            strangers="passed over",
        ),
    ]


def bare_platform_configuration() -> routing.Configuration:
    """Return what the platform's shortest configuration is read as."""
    core = ids.ServiceName("core")
    route = routing.Route(
        name=routing.RouteName("r"),
        host="shop.example",
        prefix="/",
        kind=routing.RequestKind.SAFE,
        timeout_s=None,
        target_s=None,
        rank=1,
        most_tries=2,
        parts=(routing.Part(service=core, weight=1.0),),
    )
    spec = routing.ServiceSpec(name=core, health_path="/health", connections=1)
    return routing.Configuration(
        version=255,
        routes=(route,),
        service_by_name={core: spec},
        limits=bare_configuration().limits,
    )


def all_samples() -> list[Sample]:
    """Return every sample."""
    return [*peer_samples(), *bundle_samples(), *store_samples()]


def main() -> None:
    """Record what is not there yet."""
    for sample in all_samples():
        if recorded.record(sample):
            print(f"recorded {recorded.path_of(sample)}")


if __name__ == "__main__":
    main()
