"""Zones that the operator evacuates and takes back, as one gateway sees them."""

import msgspec

from features.steps import kernel
from features.support import started_gateway
from spindlenotch import clock, ids
from spindlenotch.decisions import evacuation, verdicts
from spindlenotch.gateway import lifecycle, state as states
from spindlenotch.gateway.source import listing, routing, sources
from spindlenotch.kernel import outcomes, upstreams
from spindlenotch_platform import records, store, store_client

NOW = kernel.NOW
SERVICE = ids.ServiceName("s")
ZONES = tuple(ids.ZoneName(name) for name in "abc")
BOUND_S = 5.0
PER_ZONE = 20


def listed(zone: ids.ZoneName, number: int) -> sources.ListedUpstream:
    """Return an upstream of a zone."""
    return sources.ListedUpstream(
        id=ids.UpstreamId(f"{zone}{number}"),
        service=SERVICE,
        address=ids.Address("127.0.0.1:9"),
        zone=zone,
        slots=4,
        state=sources.UpstreamState.READY,
        cold_s=0.0,
    )


def everything() -> dict[ids.UpstreamId, sources.ListedUpstream]:
    """Return the upstreams of all zones."""
    made = [listed(zone, number) for zone in ZONES for number in range(PER_ZONE)]
    return {one.id: one for one in made}


def zones_in_use(found: listing.Listing, now: ids.Instant) -> dict[str, int]:
    """Return how many upstreams of each zone may get work."""
    counts: dict[str, int] = {}
    for spec in found.specs(now)[SERVICE]:
        counts[spec.zone] = counts.get(spec.zone, 0) + 1
    return counts


def filled() -> listing.Listing:
    """Return a listing of all zones with the operator's bound."""
    found = listing.Listing(BOUND_S)
    found.replace(everything().values(), NOW)
    return found


@kernel.PROPERTIES.register("an evacuated zone empties by and by, within its bound")
def by_and_by() -> None:
    found = filled()
    found.evacuate(frozenset({ZONES[1]}), NOW)
    counts = [
        zones_in_use(found, ids.later(NOW, at)).get("b", 0)
        for at in (0.0, 0.4, 0.8, 1.2, evacuation.SPREAD_SHARE * BOUND_S)
    ]
    assert counts == sorted(counts, reverse=True), counts
    assert counts[0] == PER_ZONE
    assert 0 < counts[2] < PER_ZONE
    assert counts[-1] == 0
    assert evacuation.SPREAD_SHARE <= 0.5
    after = zones_in_use(found, ids.later(NOW, BOUND_S))
    assert after == {"a": PER_ZONE, "c": PER_ZONE}


@kernel.PROPERTIES.register("who starts while a zone is evacuated never uses it")
def starts_later() -> None:
    found = listing.Listing(BOUND_S)
    found.evacuate(frozenset({ZONES[1]}), NOW)
    found.replace(everything().values(), NOW)
    assert "b" not in zones_in_use(found, NOW)
    peer = listing.Listing(BOUND_S)
    peer.replace_by_peer(found.listed(NOW), NOW)
    assert peer.evacuated_zones == {"b"}
    assert "b" not in zones_in_use(peer, NOW)
    # One that is new in such a zone gets nothing either, wherever it is learnt of.
    found.add([listed(ZONES[1], 99)], NOW)
    assert "b" not in zones_in_use(found, NOW)
    peer.replace_by_peer(found.listed(NOW), NOW)
    assert "b" not in zones_in_use(peer, NOW)


@kernel.PROPERTIES.register("a zone that is taken back is in use again at once")
def taken_back() -> None:
    found = filled()
    peer = filled()
    before = {i: lease.spec.generation for i, lease in peer.lease_by_id.items()}
    found.evacuate(frozenset({ZONES[1]}), NOW)
    peer.replace_by_peer(found.listed(NOW), NOW)
    later = ids.later(NOW, BOUND_S)
    assert "b" not in zones_in_use(peer, later)
    found.evacuate(frozenset(), later)
    peer.replace_by_peer(found.listed(later), later)
    for one in (found, peer):
        assert zones_in_use(one, later).get("b") == PER_ZONE
    # A pool takes one that has left only in a higher generation.
    for upstream_id, lease in peer.lease_by_id.items():
        rises = lease.spec.generation > before[upstream_id]
        assert rises == (lease.spec.zone == "b"), upstream_id
    # One that had not left yet keeps its estimates.
    short = filled()
    short.evacuate(frozenset({ZONES[1]}), NOW)
    short.evacuate(frozenset(), ids.later(NOW, 0.001))
    generations = [lease.spec.generation for lease in short.lease_by_id.values()]
    assert sum(number > len(generations) for number in generations) <= 1


@kernel.PROPERTIES.register("gateways that know no evacuations drain such upstreams")
def known_as_draining() -> None:
    found = filled()
    found.evacuate(frozenset({ZONES[1]}), NOW)
    for one in found.listed(NOW):
        assert one.is_evacuated == (one.zone == "b")
        drains = one.state is sources.UpstreamState.DRAINING
        assert drains == one.is_evacuated
    # One that drains by itself is told as such, and not used for a moment longer.
    draining = msgspec.structs.replace(
        listed(ZONES[1], 0), state=sources.UpstreamState.DRAINING
    )
    found.add([draining], NOW)
    peer = filled()
    peer.replace_by_peer(found.listed(NOW), NOW)
    in_use = {spec.id for spec in peer.specs(NOW)[SERVICE]}
    assert "b0" not in in_use
    assert "b1" in in_use
    # All of this release's fields that were known before have their places.
    (plain,) = [one for one in found.listed(NOW) if one.id == "a0"]
    assert b"evacuated" not in msgspec.json.encode(plain)


def serving() -> tuple[states.GatewayState, clock.ManualClock]:
    """Return a gateway that serves all zones, and its clock."""
    state, _ = started_gateway.gateway(started_gateway.SEED)
    steady = state.clock
    assert isinstance(steady, clock.ManualClock)
    state.listing.evacuate_s = BOUND_S
    state.apply_snapshot(snapshot())
    assert state.phase is lifecycle.Phase.SERVING
    return state, steady


def snapshot(*evacuated: ids.ZoneName) -> sources.Snapshot:
    """Return what a source holds while some zones are evacuated."""
    configuration = routing.Configuration(
        1,
        (),
        {SERVICE: routing.ServiceSpec(SERVICE, "/health", 100)},
        routing.Limits(),
    )
    return sources.Snapshot(
        1, configuration, everything(), evacuated_zones=frozenset(evacuated)
    )


def offers(state: states.GatewayState, count: int) -> set[str]:
    """Offer calls; return the zones that they were sent to."""
    decider = state.balancer_by_service[SERVICE]
    now = state.clock.now()
    zones = set()
    for number in range(count):
        call = msgspec.structs.replace(
            kernel.call(number), id=ids.CallId(f"{now}-{number}")
        )
        grant = decider.offer(call, now)
        if isinstance(grant, verdicts.Grant):
            zones.add(str(grant.upstream.spec.zone))
            decider.finish(grant, upstreams.Result.ANSWERED, None, now)
            decider.forget(call.id)
    return zones


@kernel.PROPERTIES.register("nothing is sent to an evacuated zone after its bound")
def nothing_later() -> None:
    state, steady = serving()
    assert offers(state, 200) == {"a"}
    changes = sources.Changes(2, evacuated_zones=frozenset({ZONES[0]}))
    assert state.apply_changes(changes)
    for _ in range(8):
        steady.advance(0.2)
        state.tick()
    assert "a" not in offers(state, 200)
    changes = sources.Changes(3, restored_zones=frozenset({ZONES[0]}))
    assert state.apply_changes(changes)
    assert "a" in offers(state, 200)


@kernel.PROPERTIES.register("calls that wait get no room in an evacuated zone")
def waiting_calls() -> None:
    state, steady = serving()
    decider = state.balancer_by_service[SERVICE]
    until = ids.later(steady.now(), 30.0)
    calls = [
        msgspec.structs.replace(kernel.call(number), wait_until=until, deadline=until)
        for number in range(500)
    ]
    verdicts_of_all = [decider.offer(call, steady.now()) for call in calls]
    granted = [one for one in verdicts_of_all if isinstance(one, verdicts.Grant)]
    waits = [one for one in verdicts_of_all if isinstance(one, verdicts.Waiting)]
    assert waits and {one.upstream.spec.zone for one in granted} == set(ZONES)
    state.apply_changes(sources.Changes(2, evacuated_zones=frozenset({ZONES[0]})))
    steady.advance(BOUND_S)
    state.tick()
    zones = set()
    for grant in granted:
        settled = decider.finish(grant, upstreams.Result.ANSWERED, None, steady.now())
        zones |= {
            one.verdict.upstream.spec.zone
            for one in settled
            if isinstance(one.verdict, verdicts.Grant)
        }
    assert zones == {"b", "c"}, zones


@kernel.PROPERTIES.register("where all zones are evacuated calls are refused at once")
def all_evacuated() -> None:
    state, steady = serving()
    changes = sources.Changes(2, evacuated_zones=frozenset(ZONES))
    state.apply_changes(changes)
    steady.advance(BOUND_S)
    state.tick()
    decider = state.balancer_by_service[SERVICE]
    call = msgspec.structs.replace(kernel.call(0), deadline=ids.later(steady.now(), 9))
    verdict = decider.offer(call, steady.now())
    assert isinstance(verdict, outcomes.Refusal), verdict
    assert verdict.reason is outcomes.Reason.NO_UPSTREAM


@kernel.PROPERTIES.register("of an evacuation that comes and goes the last word counts")
def last_word() -> None:
    collected = store.Collected()
    key = records.EVACUATION_PREFIX + "b"
    for gone in (False, True, False):
        collected.add(store_client.Item(key, 1, None if gone else "e30=", gone))
    assert collected.evacuated_zones() == {"b"}
    assert collected.restored_zones() == frozenset()
    collected.add(store_client.Item(key, 2, None, True))
    assert collected.evacuated_zones() == frozenset()
    assert collected.restored_zones() == {"b"}


@kernel.PROPERTIES.register("the key of an evacuation counts whatever its value is")
def any_value() -> None:
    collected = store.Collected()
    for number, value in enumerate(("e30=", "no base64", "", None)):
        key = f"{records.EVACUATION_PREFIX}zone-{number}"
        collected.add(store_client.Item(key, 1, value))
    assert len(collected.evacuated_zones()) == 4
    assert not collected.bad
    collected.add(store_client.Item(records.EVACUATION_PREFIX, 1, "e30="))
    assert [bad.key for bad in collected.bad] == [records.EVACUATION_PREFIX]
    # A zone that nobody knows does nothing to the others.
    state, steady = serving()
    unknown = frozenset({ids.ZoneName("nowhere")})
    state.apply_changes(sources.Changes(2, evacuated_zones=unknown))
    steady.advance(BOUND_S)
    state.tick()
    assert len(zones_in_use(state.listing, steady.now())) == 3
