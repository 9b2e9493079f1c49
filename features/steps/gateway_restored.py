"""Properties of gateways whose source was restored from a backup."""

import asyncio
import typing

import msgspec

from features.steps import kernel
from features.support import reborn_reading, started_gateway, store_reading
from spindlenotch import ids
from spindlenotch.gateway.rollout import orders
from spindlenotch.gateway.source import discovery, relay, sources, withdrawals
from spindlenotch.peers import documents, messages, rollout_notes
from spindlenotch_platform import store_client

HOSTS = documents.DocumentKind.HOSTS


def document(
    version: int, position: tuple[int, int] | None = None
) -> documents.Document:
    """Return an empty list; ``position`` is its era and version within the era."""
    read_at = None if position is None else documents.SourcePosition(*position)
    return documents.Document(HOSTS, version, ids.Digest(""), b"[]", read_at)


@kernel.PROPERTIES.register("lists are ordered by era, then by version within it")
def ordered_by_position() -> None:
    cases = (
        # Offered, held, whether the offered one is newer.
        (document(9, (2, 900)), document(8, (2, 800)), True),
        (document(9, (2, 700)), document(8, (2, 800)), False),
        (document(7, (3, 500)), document(8, (2, 800)), True),
        (document(9, (1, 900)), document(8, (2, 800)), False),
        (document(9, (2, 800)), document(8, (2, 800)), False),
        (document(9), document(8, (2, 800)), True),
        (document(9, (2, 800)), document(9), False),
    )
    for offered, held, newer in cases:
        fence = documents.Fence()
        fence.offer(held)
        assert documents.is_newer(offered, held) is newer
        applied = fence.offer(offered) is documents.Offer.APPLIED
        assert applied is newer, (offered, held)
        assert fence.held(HOSTS) is (offered if newer else held)


def publish_listing(reading: store_reading.Reading) -> documents.Document:
    """Publish the list that a reader has read, and return its document."""

    async def publish() -> None:
        listing = reading.state.listing
        reading.relay.publish(listing.revision, listing.era)

    asyncio.run(publish())
    return reading.state.fence.held(HOSTS)


def ready_entries() -> list[store_client.Item]:
    """Return the entries of ready upstreams."""
    return [store_reading.item(n, store_reading.entry()) for n in store_reading.NAMES]


@kernel.PROPERTIES.register("peers accept the list of a restored source")
def accepted_by_peers() -> None:
    reader, peer = store_reading.Reading(), store_reading.Reading()

    async def receive(offered: documents.Document) -> None:
        peer.relay._receive(offered)

    reader.store.revision, reader.store.era = 899, 4
    entries = ready_entries()
    reader.read(*entries)
    first = publish_listing(reader)
    asyncio.run(receive(first))
    assert (peer.state.listing.revision, peer.state.listing.era) == (900, 4)
    reader.store.revision, reader.store.era = 499, 5
    draining = store_reading.item("u0", store_reading.entry(state="draining"))
    reader.read(draining, *entries[1:])
    second = publish_listing(reader)
    # Peers of earlier releases compare versions only.
    assert second.version > first.version
    asyncio.run(receive(second))
    assert (peer.state.listing.revision, peer.state.listing.era) == (500, 5)
    assert "u0" not in peer.in_use()
    # A list that another reader published before the restore arrives late.
    asyncio.run(receive(msgspec.structs.replace(first, version=second.version + 9)))
    assert "u0" not in peer.in_use()
    # Later changes and expired leases still lead to newer lists.
    reader.follow(store_reading.item("u1", store_reading.entry(state="draining")))
    third = publish_listing(reader)
    assert third.version > second.version

    async def expire() -> None:
        reader.relay.publish_expiry()

    asyncio.run(expire())
    for later in (third, reader.state.fence.held(HOSTS)):
        held = peer.state.fence.held(HOSTS)
        asyncio.run(receive(later))
        assert documents.is_newer(peer.state.fence.held(HOSTS), held)
    assert "u1" not in peer.in_use()


@kernel.PROPERTIES.register("a list of an earlier era does not overtake a snapshot")
def not_overtaken() -> None:
    class OvertakenSource:
        """A source during whose reading a peer's list is applied."""

        async def read(self) -> sources.Snapshot:
            """Apply the peer's list, and return a snapshot with a draining upstream."""
            by_id = {one.listed.id: one.listed for one in leases}
            state.apply_listing(tuple(by_id.values()), 99, peer_era)
            draining = msgspec.structs.replace(
                by_id[reborn_reading.NAME], state=sources.UpstreamState.DRAINING
            )
            by_id[draining.id] = draining
            return sources.Snapshot(50, None, by_id, era=3)

    for peer_era, is_applied in ((2, True), (3, False), (4, False), (None, False)):
        playing = reborn_reading.Playing()
        state = playing.state
        leases = tuple(state.listing.lease_by_id.values())
        reader = playing.reader(typing.cast(sources.Source, OvertakenSource()))
        asyncio.run(reader._read())
        assert (reborn_reading.NAME not in playing.in_use()) is is_applied, peer_era


@kernel.PROPERTIES.register("changes of an earlier era do not alter a later list")
def changes_of_earlier_era() -> None:
    reading = store_reading.Reading()
    listed = reading.state.listing.listed(reading.clock.now())
    reading.state.apply_listing(listed, 40, 5)
    reading.store.revision, reading.store.era = 90, 4
    reading.follow(store_reading.item("u0", None))
    assert "u0" in reading.in_use()
    reading.store.revision, reading.store.era = 41, 5
    reading.follow(store_reading.item("u0", None))
    assert "u0" not in reading.in_use()


@kernel.PROPERTIES.register("a list without a position is compared by version")
def without_position() -> None:
    reading = store_reading.Reading()

    async def receive(offered: documents.Document) -> None:
        reading.relay._receive(offered)

    reading.store.revision, reading.store.era = 899, 4
    entries = ready_entries()
    reading.read(*entries)
    first = publish_listing(reading)
    listed = reading.state.listing.listed(reading.clock.now())
    body = msgspec.json.encode(listed)
    unpositioned = documents.Document(
        HOSTS, first.version + relay.EXPIRIES_PER_REVISION, ids.Digest(""), body
    )
    asyncio.run(receive(unpositioned))
    assert reading.state.fence.held(HOSTS) is unpositioned
    # The first list after a restore replaces it although its revision is lower.
    reading.store.revision, reading.store.era = 499, 5
    reading.read(*entries)
    assert documents.is_newer(publish_listing(reading), unpositioned)
    assert reading.state.fence.version(HOSTS) > unpositioned.version


@kernel.PROPERTIES.register("a reader reads everything again after a restore")
def full_read_after_restore() -> None:
    reading = store_reading.Reading()
    reader = reading.reader(reading.source)
    reading.store.revision, reading.store.era = 900, 4
    asyncio.run(reader._read_or_wait())
    reading.store.revision = 901
    asyncio.run(reader._read_or_wait())
    assert reader.revision == 901
    # Restored and already past revision 901, so the source reports no HISTORY_GONE.
    draining = store_reading.item("u0", store_reading.entry(state="draining"))
    reading.store.revision, reading.store.era = 950, 5
    asyncio.run(reader._read_or_wait())
    assert reader.revision is None
    reading.store.items = (draining, *ready_entries()[1:])
    asyncio.run(reader._read_or_wait())
    assert reader.revision == 950
    assert reading.in_use() == {"u1", "u2", "u3"}


@kernel.PROPERTIES.register("withdrawn upstreams stay out of use after a restore")
def withheld_after_restore() -> None:
    reader, peer = store_reading.Reading(), store_reading.Reading()

    async def publish_to_peer() -> None:
        reader.relay.publish(reader.state.listing.revision, reader.state.listing.era)
        peer.relay._receive(reader.state.fence.held(HOSTS))

    reader.store.revision, reader.store.era = 899, 4
    entries = ready_entries()
    reader.read(*entries)
    asyncio.run(publish_to_peer())
    reader.follow(
        store_reading.item("u0", store_reading.entry(state="draining")),
        store_reading.item("u1", None),
    )
    asyncio.run(publish_to_peer())
    reader.store.revision, reader.store.era = 499, 5
    reader.read(*entries)
    asyncio.run(publish_to_peer())
    for reading in (reader, peer):
        assert reading.in_use() == {"u2", "u3"}
    # Draining and new upstreams that are listed after the restore count at once.
    reader.follow(
        store_reading.item("u2", store_reading.entry(state="draining")),
        store_reading.item("u9", store_reading.entry()),
    )
    asyncio.run(publish_to_peer())
    for reading in (reader, peer):
        assert reading.in_use() == {"u3", "u9"}
        reading.clock.advance(withdrawals.WITHHOLD_S - 0.1)
        assert not reading.state.tick()
        assert reading.in_use() == {"u3", "u9"}
        reading.clock.advance(0.2)
        assert reading.state.tick()
        assert not reading.state.tick()
    # Upstreams that the source still lists as ready are used again.
    assert reader.in_use() == {"u0", "u1", "u3", "u9"}

    async def expire() -> None:
        reader.relay.publish_expiry()
        peer.relay._receive(reader.state.fence.held(HOSTS))

    asyncio.run(expire())
    assert peer.in_use() == {"u0", "u1", "u3", "u9"}


@kernel.PROPERTIES.register("withdrawn upstreams stay out of use after two restores")
def withheld_after_second_restore() -> None:
    reading = store_reading.Reading()
    reading.store.revision, reading.store.era = 899, 4
    entries = ready_entries()
    reading.read(*entries)
    reading.follow(store_reading.item("u0", None))
    for era in (5, 6):
        reading.store.revision, reading.store.era = 499, era
        reading.read(*entries)
        reading.clock.advance(withdrawals.WITHHOLD_S - 1.0)
        reading.state.tick()
        assert reading.in_use() == {"u1", "u2", "u3"}, era
    # Another start of the upstream is not withheld.
    restarted = store_reading.entry(born=1_700_000_000_099)
    reading.follow(store_reading.item("u0", restarted))
    assert "u0" in reading.in_use()


SERVICE = store_reading.SERVICE
TARGET = ids.SoftwareVersion("v2")


def order(revision: int, **changes: typing.Any) -> sources.RolloutOrder:
    """Return an order written at a revision, with some fields replaced."""
    plain = sources.RolloutOrder(SERVICE, TARGET, 30.0, revision)
    return msgspec.structs.replace(plain, **changes)


def snapshot_with(
    reading: store_reading.Reading,
    era: int,
    listed_order: sources.RolloutOrder | None,
    status: sources.RolloutStatus | None = None,
) -> sources.Snapshot:
    """Return a snapshot of the current upstreams, with an order and its status."""
    leases = reading.state.listing.lease_by_id.values()
    return sources.Snapshot(
        500,
        None,
        {one.listed.id: one.listed for one in leases},
        order_by_service={} if listed_order is None else {SERVICE: listed_order},
        status_by_service={} if status is None else {SERVICE: status},
        era=era,
    )


@kernel.PROPERTIES.register("an order rewritten after a restore keeps its run")
def rewritten_order_keeps_run() -> None:
    state = sources.RolloutState
    for first, rewritten in (
        (order(310), order(310)),
        (order(310), order(210)),
        (order(900), order(501)),
    ):
        reading = store_reading.Reading()
        rollouts = reading.state.rollouts
        reading.state.apply_snapshot(snapshot_with(reading, 4, first))
        run, end_at = rollouts.run_by_service[SERVICE], rollouts.end_at(SERVICE)
        run.split.sent = 17
        assert run.raise_phase(rollout_notes.Phase.ROLLED_BACK)
        reading.clock.advance(3.0)
        # The backup predates the order, which is rewritten later.
        reading.state.apply_snapshot(snapshot_with(reading, 5, None))
        reading.clock.advance(1.0)
        reading.state.tick()
        assert rollouts.run_by_service[SERVICE] is run
        reading.state.apply_changes(
            sources.Changes(501, order_by_service={SERVICE: rewritten}, era=5)
        )
        assert rollouts.run_by_service[SERVICE] is run
        assert run.order == msgspec.structs.replace(rewritten, era=5)
        assert run.split.sent == 17
        assert run.phase is rollout_notes.Phase.ROLLED_BACK
        assert rollouts.end_at(SERVICE) == end_at
        reading.clock.advance(withdrawals.WITHHOLD_S)
        reading.state.tick()
        assert rollouts.run_by_service[SERVICE] is run
        # A final status missing from the backup is reported as lost.
        status = sources.RolloutStatus(SERVICE, TARGET, state.ROLLED_BACK, 502)
        reading.state.apply_rollout_status(status)
        assert run.final is state.ROLLED_BACK and not rollouts.lacks_final_status(run)
        reading.state.apply_snapshot(snapshot_with(reading, 6, rewritten))
        assert rollouts.lacks_final_status(run)
        assert run.final is state.ROLLED_BACK
        # An equal order at another revision of the same era starts a new run.
        reading.state.apply_changes(
            sources.Changes(601, order_by_service={SERVICE: order(600)}, era=6)
        )
        assert rollouts.run_by_service[SERVICE] is not run


@kernel.PROPERTIES.register("an order without an era is compared by revision")
def order_without_era() -> None:
    for known, received, is_same in (
        (order(310, era=4), order(310), True),
        (order(310), order(310, era=4), True),
        (order(310), order(311), False),
        (order(310, era=4), order(311), False),
        (order(310, era=4), order(311, era=4), False),
        (order(310, era=4), order(311, era=5), True),
        (order(310, era=4), order(310, era=5, by_s=31.0), False),
    ):
        assert orders.is_same_order(known, received) is is_same, (known, received)


@kernel.PROPERTIES.register("an evacuation missing from a backup is kept temporarily")
def missing_evacuation_kept() -> None:
    zone = ids.ZoneName(started_gateway.ZONE)
    cases: tuple[tuple[sources.Changes | None, bool], ...] = (
        # Changes written after the restore, and whether the zone stays evacuated.
        (None, False),
        (sources.Changes(501, evacuated_zones=frozenset({zone}), era=5), True),
    )
    for rewritten, stays_evacuated in cases:
        reading = store_reading.Reading()
        evacuated = msgspec.structs.replace(
            snapshot_with(reading, 4, None), evacuated_zones=frozenset({zone})
        )
        reading.state.apply_snapshot(evacuated)
        reading.clock.advance(10.0)
        reading.state.tick()
        assert not reading.in_use()
        reading.state.apply_snapshot(snapshot_with(reading, 5, None))
        reading.state.apply_snapshot(snapshot_with(reading, 5, None))
        assert not reading.in_use()
        if rewritten is not None:
            reading.state.apply_changes(rewritten)
        reading.clock.advance(withdrawals.WITHHOLD_S - 0.1)
        reading.state.tick()
        assert not reading.in_use()
        reading.clock.advance(0.2)
        assert reading.state.tick()
        assert (not reading.in_use()) is stays_evacuated
    # A peer's list of the new era may arrive before the gateway's own snapshot.
    reading = store_reading.Reading()
    reading.state.apply_snapshot(evacuated)
    listed = reading.state.listing.listed(reading.clock.now())
    reading.state.apply_listing(listed, 450, 5)
    reading.state.apply_snapshot(snapshot_with(reading, 5, None))
    assert not reading.in_use()
    # The operator can take the evacuation back before the release.
    reading = store_reading.Reading()
    reading.state.apply_snapshot(evacuated)
    reading.state.apply_snapshot(snapshot_with(reading, 5, None))
    reading.state.apply_changes(
        sources.Changes(501, restored_zones=frozenset({zone}), era=5)
    )
    assert reading.in_use() == set(store_reading.NAMES)


@kernel.PROPERTIES.register("an order not rewritten after a restore is dropped")
def missing_order_dropped() -> None:
    reading = store_reading.Reading()
    rollouts = reading.state.rollouts
    reading.state.apply_snapshot(snapshot_with(reading, 4, order(310)))
    reading.state.apply_snapshot(snapshot_with(reading, 5, None))
    reading.clock.advance(withdrawals.WITHHOLD_S - 0.1)
    reading.state.tick()
    assert SERVICE in rollouts.orders.order_by_service
    reading.clock.advance(0.2)
    assert reading.state.tick()
    assert SERVICE not in rollouts.orders.order_by_service
    # Without a restore, a missing order is dropped at once.
    reading.state.apply_snapshot(snapshot_with(reading, 5, order(510)))
    reading.state.apply_snapshot(snapshot_with(reading, 5, None))
    assert SERVICE not in rollouts.orders.order_by_service


@kernel.PROPERTIES.register("a discovery record lost in a restore is rewritten")
def discovery_record_rewritten() -> None:
    reading = store_reading.Reading()
    state = reading.state
    config = state.config
    writer = discovery.DiscoveryWriter(
        state, typing.cast(sources.Source, None), lambda: True
    )
    state.reads_source = True
    own_record = sources.DiscoveryRecord(config.zone, config.peer_listen, 400)
    state.apply_snapshot(
        msgspec.structs.replace(
            snapshot_with(reading, 4, None), discovery_records=(own_record,)
        )
    )
    assert not writer.due(reading.clock.now())
    # The backup predates the record.
    state.apply_snapshot(snapshot_with(reading, 5, None))
    assert not writer.due(reading.clock.now())
    reading.clock.advance(discovery.WRITE_DELAY_S + 0.1)
    assert writer.due(reading.clock.now())
    assert config.zone not in state.discovery_record_by_zone


@kernel.PROPERTIES.register("gossip advertises the position of a list")
def position_in_gossip() -> None:
    state, _ = started_gateway.gateway(started_gateway.SEED)
    held = messages.DocumentVersion(
        HOSTS, 9, ids.Digest(""), documents.SourcePosition(4, 900)
    )
    state.gossip.advertise(held)
    assert held in state.gossip.compose().documents
    for position, is_newer in (((5, 100), True), ((3, 950), False)):
        offered = msgspec.structs.replace(
            held, position=documents.SourcePosition(*position)
        )
        message = messages.Message(state.gossip.local, 1, documents=(offered,))
        handled = state.gossip.handle(message, state.clock.now())
        assert bool(handled.newer) is is_newer
