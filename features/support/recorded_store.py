"""
The samples of the records in the store and in the platform's source.

The drivers run over a session that answers from a script, without any socket.
To record something new, add a sample to ``store_samples`` and run
``recorded_samples``.
"""

import typing

import msgspec

from features.support import recorded, recorded_bundles, recorded_gateway
from spindlenotch import clock, ids
from spindlenotch.bundles import bundle_seal
from spindlenotch.cli import publishing
from spindlenotch.drivers import http_client, store_http
from spindlenotch.entry import claims, entry_state, once, plugins, settings
from spindlenotch.gateway.source import discovery, routing, sources
from spindlenotch.peers import documents
from spindlenotch_platform import (
    configuration_records,
    quarantine_records,
    records,
    rollout_records,
    store,
)

Sample = recorded.Sample
OTHER = ids.Address("127.0.0.2:9001")
INTRODUCTION = sources.DiscoveryRecord(
    zone=recorded_gateway.ZONE, peer_address=recorded_gateway.ME, revision=41
)


def entry() -> entry_state.EntryState:
    """Return an entry's state with the recorded bundle in force."""
    given = {
        "host": "host-1",
        "zone": recorded_gateway.ZONE,
        "peer_listen": recorded_gateway.ME,
        "store": recorded_gateway.STORE_URL,
        "host_list": "http://127.0.0.9:7001",
        "peer_keys": recorded_gateway.KEY.decode(),
        "trusted_keys": bundle_seal.seal("", recorded_bundles.PRIVATE_EARLIER).key,
        "seed": "1",
    }
    config = settings.read(given, {})
    assert isinstance(config, settings.EntrySettings), config
    plugins.load()
    state = entry_state.EntryState(config, clock.ManualClock())
    state.incarnation = ids.Incarnation("0123456789abcdef")
    data = bundle_seal.encode(recorded_bundles.earlier_envelope())
    document = documents.Document(
        documents.DocumentKind.BUNDLE,
        1,
        recorded_bundles.earlier_envelope().digest(),
        data,
    )
    state.offer_document(document)
    assert state.bundle is not None
    return state


def http_store(*answers: recorded.Answer) -> tuple[store_http.HttpStore, typing.Any]:
    """Return the store's driver over a session that answers so."""
    found = store_http.HttpStore(recorded_gateway.STORE_URL)
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

    return recorded_gateway.run(claim())


def read_claim(data: bytes) -> object:
    """Return the home that an entry finds where another has claimed the id."""

    async def find() -> object:
        driver, _ = http_store(answer(409, 3), answer(200, 3, body_of(data)))
        finder = entry()
        finder.incarnation = ids.Incarnation("f" * 16)
        return await claims.Claims(finder, driver).home_of(
            once.OnceKey("hotel/order-7")
        )

    return recorded_gateway.run(find())


def write_published() -> bytes:
    """Return the call by which an operator publishes a bundle."""

    async def publish() -> bytes:
        before = bundle_seal.encode(recorded_bundles.earlier_envelope())
        driver, session = http_store(answer(200, 6, before), answer(200, 7))
        done = await publishing.publish(
            driver,
            recorded_bundles.sealed_bundle(),
            version=42,
            base=41,
            published_at=1_700_000_060.25,
        )
        assert done.verdict is publishing.Verdict.ACCEPTED, done
        return recorded.pretty(session.calls[-1])

    return recorded_gateway.run(publish())


def read_published(data: bytes) -> object:
    """Return the envelope that whoever reads the store finds."""

    async def read() -> object:
        driver, _ = http_store(answer(200, 7, body_of(data)))
        return await publishing.current(driver)

    return recorded_gateway.run(read())


def platform_source(body: bytes) -> tuple[store.PlatformSource, recorded.Session]:
    """Return the platform's source over a session that answers so, once."""
    found = store.create(recorded_gateway.STORE_URL)
    session = recorded.Session(recorded.Answer(200, body, {}))
    opened = typing.cast(typing.Any, session)
    found.client.session = http_client.LazySession(lambda: opened)
    return found, session


def write_introduction() -> bytes:
    """Return the call by which a gateway introduces itself."""

    async def introduce() -> bytes:
        state, passing = recorded_gateway.gateway()
        standing = sources.DiscoveryRecord(
            recorded_gateway.ZONE, OTHER, INTRODUCTION.revision
        )
        state.discovery_record_by_zone[recorded_gateway.ZONE] = standing
        source, session = platform_source(b'{"revision":42}')
        await discovery.DiscoveryWriter(state, source, passing.is_reader).write()
        return recorded.pretty(session.calls[0])

    return recorded_gateway.run(introduce())


def read_introduction(data: bytes) -> object:
    """Return the introduction that whoever follows the source finds."""
    (put,) = msgspec.json.decode(body_of(data))["put"]
    item = {"key": put["key"], "revision": 41, "value": put["value"]}

    async def read() -> object:
        source, _ = platform_source(msgspec.json.encode({"events": [item], "at": 50}))
        changes = await source.follow(40, 1.0)
        assert isinstance(changes, sources.Changes), changes
        return changes.discovery_records[0]

    return recorded_gateway.run(read())


def rollout_samples() -> list[Sample]:
    """Return the samples of orders to change a service's version."""
    mark = recorded_gateway.rollout_mark()
    return [
        Sample(
            "platform-rollout-order-added-2.json",
            "json",
            mark.order,
            read=lambda data: rollout_records.read_order("op/rollout/core", 811, data),
            strangers="passed over",
        ),
        *(rollout_status_sample(state) for state in sources.RolloutState),
    ]


def rollout_status_sample(state: sources.RolloutState) -> Sample:
    """Return the sample of a status."""
    status = recorded_gateway.rollout_mark().status
    assert status is not None
    key = rollout_records.STATUS_PREFIX + status.service
    value = msgspec.structs.replace(status, state=state)
    return Sample(
        f"platform-rollout-{state.value}-added-2.json",
        "json",
        value,
        lambda: rollout_records.write_status(value)[1],
        lambda data: rollout_records.read_status(key, status.revision, data),
        strangers="passed over",
    )


def quarantine_sample() -> Sample:
    """Return the sample of a request that ends upstreams."""
    value = recorded_gateway.stored_quarantine()
    key = quarantine_records.PREFIX + value.note.fingerprint
    return Sample(
        "platform-quarantine-added-3.json",
        "json",
        value,
        lambda: quarantine_records.write(value)[1],
        lambda data: quarantine_records.read(key, value.revision, data),
        strangers="passed over",
    )


def store_samples() -> list[Sample]:
    """Return the samples of what lies in the store."""
    home = claims.Home(host="host-1", incarnation="0123456789abcdef")
    return [
        *rollout_samples(),
        quarantine_sample(),
        Sample("claim.json", "json", home, write_claim, read_claim),
        Sample(
            "published.json",
            "json",
            recorded_bundles.envelope(),
            write_published,
            read_published,
        ),
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
            recorded_gateway.configuration(),
            read=configuration_records.read,
            strangers="passed over",
        ),
        Sample(
            "platform-configuration-added.json",
            "json",
            recorded_gateway.added_configuration(),
            read=configuration_records.read,
            strangers="passed over",
        ),
        Sample(
            "platform-configuration-bare.json",
            "json",
            bare_platform_configuration(),
            read=configuration_records.read,
            bare=True,
        ),
        Sample(
            "platform-worker-added.json",
            "json",
            msgspec.structs.replace(
                recorded_gateway.listed()[1],
                version=ids.SoftwareVersion("v2"),
                born=1_700_000_000_002,
            ),
            read=lambda data: records.read_upstream("servers/up-2", data),
            strangers="passed over",
        ),
        Sample(
            "platform-worker.json",
            "json",
            recorded_gateway.listed()[1],
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
        parts=(routing.WeightedService(service=core, weight=1.0),),
    )
    spec = routing.ServiceSpec(name=core, health_path="/health", connections=1)
    return routing.Configuration(
        version=255,
        routes=(route,),
        service_by_name={core: spec},
        limits=recorded_gateway.bare_configuration().limits,
    )
