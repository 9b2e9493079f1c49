"""
Gateways of three regions: who knows whom, where callers go, what a cut changes.

Plays fleets of 15 and 60 gateways in virtual time (``regional_fleet``).
"""

import typing

import msgspec

from features.steps import kernel
from features.support import regional_fleet
from spindlenotch import ids, ports
from spindlenotch.gateway import dialect, service_defaults
from spindlenotch.gateway.cluster import failover_demand, prober
from spindlenotch.gateway.source import reader_duty, relay, routing, sources
from spindlenotch.kernel import (
    cold_start,
    shared_rate,
    upstream_pool,
    upstreams,
)
from spindlenotch.peers import documents, messages, region_links, workload
from spindlenotch_platform import http_dialect

REGIONS = regional_fleet.REGIONS
#: Seconds after which a fleet that starts knows itself.
START_S = 8.0
#: Seconds after which a region counts as lost everywhere, and as there again.
LOST_WITHIN_S = region_links.SUMMARY_EXPIRY_S + 1.5
BACK_WITHIN_S = 2.0
ALLOWED_PER_S = 4.0


def world(count: int) -> regional_fleet.World:
    """Return a fleet that knows itself."""
    made = regional_fleet.World(count)
    made.run(START_S)
    return made


def cut_regions(one: regional_fleet.Gateway, other: regional_fleet.Gateway) -> bool:
    """Let messages through within a region only."""
    return one.region == other.region


@kernel.PROPERTIES.register("a gateway's peers are those of its region, all of them")
def peers() -> None:
    for count in (15, 60):
        made = world(count)
        made.run(START_S)
        for gateway in made.gateways:
            known = {record.host for record in gateway.fleet.view().ready}
            assert known == {g.state.config.host for g in made.of(gateway.region)}
            links = gateway.state.links
            assert links is not None
            elsewhere = count - len(made.of(gateway.region))
            heard = links.received_by_region.values()
            assert sum(one.summary.member_count for one in heard) == elsewhere


@kernel.PROPERTIES.register("callers are sent to gateways of their own region")
def own_region() -> None:
    made = world(15)
    for gateway in made.gateways:
        for region in REGIONS:
            assert gateway.directory(region) == {region}
        # Each zone of the region is named, so that the loss of one leaves some.
        zones = set(gateway.fleet.active_zones().values())
        assert len(zones) == 2, zones


@kernel.PROPERTIES.register("each region has as many active gateways as it is asked")
def own_demand() -> None:
    made = world(60)
    quiet = len(made.of("south")[0].fleet.active_zones())
    made.set_demand("north", 6000.0)
    made.run(6.0)
    active = {region: set[ids.HostId]() for region in REGIONS}
    for gateway in made.gateways:
        active[gateway.region] |= gateway.fleet.active_zones().keys()
    assert len(active["north"]) >= 8, active
    assert len(active["south"]) <= quiet, active


@kernel.PROPERTIES.register("bytes between regions do not grow with the hosts")
def far_bytes() -> None:
    per_s = []
    for count in (15, 60):
        made = world(count)
        before = made.far_bytes
        made.run(20.0)
        per_s.append((made.far_bytes - before) / 20.0)
    assert per_s[1] < 1.3 * per_s[0], per_s
    assert per_s[1] < 15_000, per_s


@kernel.PROPERTIES.register("a lossy way between regions makes nobody suspect anybody")
def lossy() -> None:
    made = world(15)
    revisions = [g.state.gossip.members_revision for g in made.gateways]
    made.far_loss = 0.4
    for _ in range(20):
        made.run(1.0)
        for gateway in made.gateways:
            for region in REGIONS:
                assert region in gateway.directory(region)
            links = gateway.state.links
            assert links is not None
            heard = links.recent_summaries(
                made.clock.now(), region_links.SUMMARY_EXPIRY_S
            )
            assert len(heard) == 2, heard
    assert revisions == [g.state.gossip.members_revision for g in made.gateways]


@kernel.PROPERTIES.register("regions that lose each other go on, and meet again")
def cut() -> None:
    made = world(15)
    made.set_demand("north", 300.0)
    made.run(2.0)
    views = {g.number: g.fleet.view().active_zones for g in made.gateways}
    made.reaches = cut_regions
    made.run(LOST_WITHIN_S)
    for gateway in made.gateways:
        for region in REGIONS:
            assert gateway.directory(region) == {gateway.region}
        # Nobody of the own region is taken for dead.
        active = gateway.fleet.view().active_zones
        assert views[gateway.number].keys() <= active.keys()
    made.run(60.0)
    made.reaches = lambda one, other: True
    made.run(BACK_WITHIN_S)
    for gateway in made.gateways:
        for region in REGIONS:
            assert gateway.directory(region) == {region}


@kernel.PROPERTIES.register("a cut of one direction does as one of both")
def one_way() -> None:
    made = world(15)
    made.reaches = lambda one, other: (one.region, other.region) != ("north", "south")
    made.run(LOST_WITHIN_S)
    for gateway in made.gateways:
        # Who is asked still knows the others by way of the third region.
        assert gateway.directory(gateway.region) == {gateway.region}
        assert gateway.directory("middle") == {"middle"}


@kernel.PROPERTIES.register("callers of a region that is lost are served by the others")
def lost() -> None:
    made = world(15)
    made.set_demand("south", 2000.0)
    made.run(2.0)
    before = len(made.of("north")[0].fleet.active_zones())
    made.dead = {g.number for g in made.of("south")}
    made.run(region_links.SUMMARY_STALE_S + 1.5)
    for gateway in made.alive():
        # Its last gateways may be gone: others are named beside them.
        assert gateway.region in gateway.directory("south")
    made.run(LOST_WITHIN_S)
    for gateway in made.alive():
        assert gateway.directory("south") == {gateway.region}
    after = len(made.of("north")[0].fleet.active_zones())
    assert after > before, (before, after)
    made.dead = set()
    made.run(BACK_WITHIN_S)
    for gateway in made.gateways:
        assert "south" in gateway.directory("south")


@kernel.PROPERTIES.register(
    "a region that returns is ready for its part of all callers"
)
def returning() -> None:
    moved = failover_demand.FailoverDemand()
    north, south = ids.RegionName("north"), ids.RegionName("south")
    heard = {north: workload.Work(300.0, 30.0), south: workload.Work(600.0, 60.0)}
    now = kernel.NOW
    needed = moved.expected(workload.NO_WORK, heard, {}, now)
    assert needed == workload.Work(300.0, 30.0)
    # The first it is asked does not make it smaller again.
    first = workload.Work(10.0, 1.0)
    soon = ids.later(now, 1.0)
    assert moved.expected(first, heard, {}, soon).requests_per_s > 300.0
    later = ids.later(soon, failover_demand.EXPECTED_S)
    assert moved.expected(first, heard, {}, later) == first


@kernel.PROPERTIES.register("what a lost region was asked is expected by the others")
def expected() -> None:
    moved = failover_demand.FailoverDemand()
    north, south = ids.RegionName("north"), ids.RegionName("south")
    own = workload.Work(100.0, 10.0)
    heard = {north: workload.Work(100.0, 10.0)}
    lost = {south: workload.Work(400.0, 40.0)}
    now = kernel.NOW
    assert moved.expected(own, heard, lost, now) == workload.Work(300.0, 30.0)
    later = ids.later(now, failover_demand.EXPECTED_S)
    assert moved.expected(own, heard, lost, later) == own
    # Lost once more, it is expected once more.
    moved.expected(own, {**heard, **lost}, {}, later)
    assert moved.expected(own, heard, lost, later) == workload.Work(300.0, 30.0)


@kernel.PROPERTIES.register("a fleet whose seeds lie in one region finds itself")
def far_seeds() -> None:
    made = regional_fleet.World(15, seed_numbers=(0, 1))
    assert {made.gateways[n].region for n in (0, 1)} == {"north"}
    made.run(START_S)
    for gateway in made.gateways:
        known = {record.host for record in gateway.fleet.view().ready}
        assert known == {g.state.config.host for g in made.of(gateway.region)}


@kernel.PROPERTIES.register("of a cold upstream one gateway is the owner in any cut")
def cold() -> None:
    made = world(15)
    upstream = ids.UpstreamId("cold")
    south = [g.number for g in made.of("south")]
    assert len(south) == 4

    def cut_off(count: int) -> regional_fleet.Reaches:
        """Cut some gateways of the region off from all others."""
        apart = set(south[:count])
        return lambda one, other: (one.number in apart) == (other.number in apart)

    cases = (
        (cut_regions, ALLOWED_PER_S),
        (cut_off(1), ALLOWED_PER_S),
        (cut_off(2), 0.0),
    )
    for reaches, whole in cases:
        made.reaches = reaches
        for _ in range(int(LOST_WITHIN_S)):
            made.run(1.0)
            assert _sent_per_s(made, upstream) <= ALLOWED_PER_S
        assert _sent_per_s(made, upstream) == whole
        made.reaches = lambda one, other: True
        made.run(START_S)


def _sent_per_s(made: regional_fleet.World, upstream: ids.UpstreamId) -> float:
    return sum(_rate_per_s(gateway, upstream) for gateway in made.of("south"))


def _rate_per_s(gateway: regional_fleet.Gateway, upstream: ids.UpstreamId) -> float:
    return cold_start.rate_per_s(
        upstream,
        ALLOWED_PER_S,
        tuple(member.host for member in gateway.rate_sharers.view().members),
        gateway.state.config.host,
    )


@kernel.PROPERTIES.register(
    "a summary never replaces a newer one, nor the own region's"
)
def newer() -> None:
    known = regional_fleet.known_regions()
    links = region_links.RegionLinks(
        ids.ZoneName("north-a"), known, regional_fleet.World(3).rng
    )
    south, north = ids.RegionName("south"), ids.RegionName("north")
    fresh = messages.RegionSummary(south, member_count=5)
    old = messages.RegionSummary(south, member_count=9, age_s=1.0)
    stranger = messages.RegionSummary(ids.RegionName("elsewhere"), member_count=7)
    links.merge_summaries(
        (fresh, messages.RegionSummary(north, member_count=3)), kernel.NOW
    )
    links.merge_summaries((old, stranger), ids.later(kernel.NOW, 0.5))
    # The third region has not been heard of; the own one tells itself.
    assert set(links.received_by_region) == {south}
    assert links.received_by_region[south].summary.member_count == 5
    links.merge_summaries((msgspec.structs.replace(old, age_s=-5.0),), kernel.NOW)
    assert links.received_by_region[south].made_at <= kernel.NOW


@kernel.PROPERTIES.register("a fleet of one region speaks and answers as before")
def one_region() -> None:
    made = regional_fleet.World(3)
    one = made.gateways[0].state
    names = set(one.regions.region_by_zone.values())
    assert len(names) == 3
    for region_by_zone in ({}, {one.config.zone: ids.RegionName("north")}):
        again = type(one)(
            msgspec.structs.replace(one.config, region_by_zone=region_by_zone),
            made.clock,
        )
        assert again.links is None
        assert not again.is_remote(ids.ZoneName("another"))
        assert again.gossip.compose().regions == ()


@kernel.PROPERTIES.register("the directory reads where its callers are")
def origin() -> None:
    platform = http_dialect.platform()
    query = {"name": "h.example", "region": "north", "zone": "north-a"}
    assert platform.read_origin(query) == dialect.Origin(
        host="h.example", zone=ids.ZoneName("north-a"), region=ids.RegionName("north")
    )
    assert platform.read_origin({}) == dialect.UNKNOWN_ORIGIN
    assert platform.read_origin({"region": "", "zone": ""}) == dialect.UNKNOWN_ORIGIN


@kernel.PROPERTIES.register("documents of other regions count while no reader is heard")
def far_documents() -> None:
    made = regional_fleet.World(6)
    one, far = made.gateways[0], made.gateways[2]
    assert one.region != far.region
    passing = relay.Relay(one.state, one.fleet, one.membership.link)
    asked: list[ids.Address] = []
    passing.exchange.fetch = (  # type: ignore[method-assign]
        lambda source, newer: asked.append(source)
    )
    newer = messages.DocumentVersion(
        documents.DocumentKind.BUNDLE, 9, ids.Digest("0" * 16)
    )
    message = messages.Message(far.state.gossip.local, 1, documents=(newer,))

    def hear() -> list[ids.Address]:
        asked.clear()
        handled = one.state.gossip.handle(message, made.clock.now())
        passing.message_received(message, handled)
        return asked

    # A reader of its own may yet be heard, for a while after the start.
    assert hear() == []
    made.clock.advance(reader_duty.READER_TIMEOUT_S + 0.1)
    assert hear() == [far.address]
    passing.election.note_zone_peer(ids.HostId("near"), made.clock.now(), reads=True)
    assert hear() == []
    made.clock.advance(reader_duty.READER_TIMEOUT_S + 0.1)
    one.state.reads_source = True
    assert hear() == []


@kernel.PROPERTIES.register("each region has one reader of the source")
def readers() -> None:
    made = world(60)
    made.run(START_S)
    for region in REGIONS:
        firsts = {g.fleet.readers()[0] for g in made.of(region)}
        hosts = {g.state.config.host for g in made.of(region)}
        assert len(firsts) == 1
        assert firsts <= hosts
        for gateway in made.of(region):
            # Its word counts in all zones of the region, and in no other region.
            shared = {z for z in regional_fleet.ZONES if gateway.fleet.shares_reader(z)}
            assert {regional_fleet.REGION_BY_ZONE[z] for z in shared} == {region}
            assert len(shared) == 2
        # When it dies, the next in the order of all zones is the same for all.
        seconds = {g.fleet.readers()[1] for g in made.of(region)}
        assert len(seconds) == 1


@kernel.PROPERTIES.register("each upstream is probed by one gateway of its region")
def probers() -> None:
    made = world(15)
    service = ids.ServiceName("s")
    configuration = routing.Configuration(
        version=1,
        routes=(),
        service_by_name={service: routing.ServiceSpec(service, "/health", 9)},
        limits=routing.Limits(),
    )
    listed = {
        ids.UpstreamId(f"{zone}{n}"): sources.ListedUpstream(
            id=ids.UpstreamId(f"{zone}{n}"),
            service=service,
            address=ids.Address("127.0.0.1:9"),
            zone=ids.ZoneName(zone),
            slots=4,
            state=sources.UpstreamState.READY,
            cold_s=0.0,
        )
        for zone in regional_fleet.ZONES
        for n in range(5)
    }
    probed: list[tuple[ids.UpstreamId, str]] = []
    for gateway in made.gateways:
        gateway.state.apply_snapshot(sources.Snapshot(1, configuration, listed))
        port = typing.cast(ports.UpstreamPort, None)
        one = prober.Prober(gateway.state, gateway.fleet, port)
        probed += [(name, gateway.region) for name in one._targets()]
    assert sorted(name for name, _ in probed) == sorted(listed)
    for name, region in probed:
        assert regional_fleet.REGION_BY_ZONE[listed[name].zone] == region


@kernel.PROPERTIES.register("nobody of another region sends to a cold upstream")
def cold_far() -> None:
    made = regional_fleet.World(3)
    state = made.gateways[0].state
    service = routing.ServiceSpec(
        ids.ServiceName("s"), health_path="/", connections=9, cold_rate_per_s=4.0
    )
    zones = tuple(ids.ZoneName(zone) for zone in regional_fleet.ZONES)
    policy = service_defaults.policy(service, zones, state.config, state.region_size)
    pool = upstream_pool.Pool(policy, state.local_member, state.rng)
    until = ids.later(made.clock.now(), 3.0)
    specs = [
        upstreams.UpstreamSpec(ids.UpstreamId(zone), zone, ids.Address(""), 1, 4, until)
        for zone in zones
    ]
    pool.set_listed(specs, made.clock.now())
    view = shared_rate.View((state.local_member,))
    pool.set_rate_view(view, made.clock.now())
    for upstream in pool.usable_order:
        is_near = upstream in pool.local_region_order
        assert upstream.cold.rate_per_s == (4.0 if is_near else 0.0)
    assert {u.spec.zone for u in pool.local_region_order} == {"north-a", "north-b"}


@kernel.PROPERTIES.register("no region takes its gateways for most of the fleet")
def no_majority() -> None:
    made = regional_fleet.World(15)
    north = {g.number for g in made.of("north")}
    # Most live in the north, and cannot know what those elsewhere do.
    made.dead = {g.number for g in made.gateways} - north - {2, 11}
    for _ in range(8):
        made.run(1.0)
        for gateway in made.of("north"):
            assert not gateway.rate_sharers.quorum.of_fleet()
    assert gateway.rate_sharers.quorum.of_region()
