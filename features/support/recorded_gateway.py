"""
A gateway without any socket, and the values that it works with.

The samples of peers, of the store and of names are built on these. Addresses,
keys and numbers are fixed, since the recorded bytes hold them.
"""

import asyncio
import typing
from collections import abc

import msgspec

from features.support import recorded_messages
from spindlenotch import clock, ids
from spindlenotch.gateway import settings, state as states
from spindlenotch.gateway.cluster import fleet as fleets, membership
from spindlenotch.gateway.source import relay, routing, sources
from spindlenotch.kernel import crash_records
from spindlenotch.peers import messages

Result = typing.TypeVar("Result")
KEY = b"a peer key of the records"
STORE_URL = "http://127.0.0.9:7000"
ZONE = ids.ZoneName("zone-a")
ME = ids.Address("127.0.0.1:9001")


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
                routing.WeightedService(service=ids.ServiceName("core"), weight=2.5),
                routing.WeightedService(service=ids.ServiceName("extra"), weight=0.5),
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


def added_configuration() -> routing.Configuration:
    """Return a configuration with what the first record does not hold."""
    service_by_name = {
        name: msgspec.structs.replace(spec, cold_rate_per_s=4.5, cold_start_s=3.5)
        for name, spec in configuration().service_by_name.items()
    }
    return msgspec.structs.replace(configuration(), service_by_name=service_by_name)


def latest_configuration() -> routing.Configuration:
    """Return a configuration with what the earlier records do not hold."""
    first, *rest = added_configuration().routes
    region = ids.RegionName("region-1")
    latest = msgspec.structs.replace(
        first, allowed_regions=(region,), has_large_answers=True
    )
    return msgspec.structs.replace(
        added_configuration(),
        routes=(latest, *rest),
        refused_routes=(
            routing.RefusedRoute(
                name=routing.RouteName("route-3"),
                host="shop.example",
                prefix="/path-3",
                reason="unknown service gone",
            ),
        ),
        remarks=("route route-1: unknown kind 'odd', its requests run at most once",),
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


def added_listed() -> tuple[sources.ListedUpstream, ...]:
    """Return a list of upstreams, one of them in an evacuated zone."""
    first, second = listed()
    return (
        msgspec.structs.replace(
            first, state=sources.UpstreamState.DRAINING, is_evacuated=True
        ),
        second,
    )


def latest_listed() -> tuple[sources.ListedUpstream, ...]:
    """Return a list of upstreams that tell their version and start, and an order."""
    return tuple(
        msgspec.structs.replace(
            one,
            rollout=rollout_mark(),
            version=ids.SoftwareVersion(f"v{number}"),
            born=1_700_000_000_000 + number,
        )
        for number, one in enumerate(added_listed(), 1)
    )


#: The era of the source in the samples that contain one.
ERA = 3


def listed_with_era() -> tuple[sources.ListedUpstream, ...]:
    """Return the latest list, with the era of the source in its order."""
    mark = rollout_mark()
    assert mark.order is not None
    order = msgspec.structs.replace(mark.order, era=ERA)
    with_era = msgspec.structs.replace(mark, order=order)
    return tuple(
        msgspec.structs.replace(one, rollout=with_era) for one in latest_listed()
    )


#: The remaining grace period in the sample that contains one, in seconds.
GRACE_S = 1.25


def listed_in_grace() -> tuple[sources.ListedUpstream, ...]:
    """Return that list with upstreams whose leases have expired."""
    return tuple(
        msgspec.structs.replace(one, grace_s=GRACE_S) for one in listed_with_era()
    )


def rollout_mark() -> sources.RolloutAnnotation:
    """Return what is told of an order to change the version of "core"."""
    core, target = ids.ServiceName("core"), ids.SoftwareVersion("v2")
    return sources.RolloutAnnotation(
        order=sources.RolloutOrder(core, target, by_s=12.0, revision=811),
        left_s=12.0,
        status=sources.RolloutStatus(
            core, target, sources.RolloutState.RUNNING, revision=812
        ),
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
    config = settings.read(given, {})
    assert isinstance(config, settings.GatewaySettings), config
    state = states.GatewayState(config, clock.ManualClock())
    fleet = fleets.Fleet(state)
    return state, relay.Relay(state, fleet, membership.Membership(state).link)


def run(work: abc.Coroutine[typing.Any, typing.Any, Result]) -> Result:
    """Run a coroutine in a loop of its own."""
    with asyncio.Runner() as runner:
        return runner.run(work)


def serving(
    in_force: routing.Configuration | None = None,
) -> tuple[states.GatewayState, typing.Any]:
    """Return a gateway with everything in force and a peer, and its relay."""
    state, passing = gateway()
    by_id = {one.id: one for one in listed()}
    bad = (sources.BadItem("servers/up-9", "a reason"),)
    snapshot = sources.Snapshot(5, in_force or configuration(), by_id, bad)
    state.apply_snapshot(snapshot)
    news = recorded_messages.member(2, messages.Status.READY)
    state.gossip.handle(messages.Message(news, 1), state.clock.now())
    return state, passing


def stored_quarantine() -> sources.StoredQuarantine:
    """Return a request that ends upstreams, as the source holds it."""
    ended = tuple(ids.UpstreamId(f"up-{number}") for number in (4, 5, 6))
    note = crash_records.CrashRecord(
        ids.Fingerprint("00c0ffee0123456789abcdef"), 1, 3, ended, is_retried=True
    )
    # Later than any clock of the tests.
    return sources.StoredQuarantine(note, until_unix_s=9_999_999_999.5, revision=7)
