"""
The operators' ``/state`` page: the state of a gateway, and how old it is.

The types here define the page's format. Operators' tools read its keys, so the keys
must not change; where a field's name differs from its key, ``rename=`` maps it.
All ages are in seconds. Reads the gateway's state and the fleet; changes nothing.
"""

import msgspec

from spindlenotch import ids
from spindlenotch.decisions import balancer
from spindlenotch.gateway import state
from spindlenotch.gateway.cluster import fleet
from spindlenotch.gateway.rollout import dump
from spindlenotch.kernel import upstreams
from spindlenotch.peers import known_peer

#: Decimal places of ages and of ratios.
AGE_DIGITS = 3
RATIO_DIGITS = 2


class PeerDump(msgspec.Struct, rename={"last_heartbeat_s_ago": "heard_s_ago"}):
    """Another gateway; ``missed`` counts its unanswered heartbeats."""

    status: str
    last_heartbeat_s_ago: float
    missed: int


class RegionDump(msgspec.Struct):
    """
    The last known state of another region.

    ``used`` is the share of its upstreams' slots that are in use, by service.
    """

    heard_s_ago: float
    members: int
    gateways: list[ids.Address]
    used: dict[ids.ServiceName, float]


class UpstreamDump(
    msgspec.Struct,
    rename={
        "slowdown": "pace",
        "latency_ratio": "slowness",
        "report_s_ago": "told_s_ago",
    },
):
    """
    The balancer's view of an upstream.

    ``slowdown`` is the upstream's current latency relative to its usual one, from its
    load reports; ``latency_ratio`` the same, from responses to this gateway.
    ``limit_per_s`` is the advertised limit of requests per second from all gateways,
    None without one; ``part_per_s`` is this gateway's part of it. ``rests_s`` is the
    remaining time in which the upstream wants no requests from this gateway.
    """

    id: ids.UpstreamId
    state: str
    reason: str
    outstanding: int
    slowdown: float
    latency_ratio: float
    report_s_ago: float
    limit_per_s: float | None = None
    part_per_s: float | None = None
    rests_s: float = 0.0


class ServiceDump(msgspec.Struct, rename={"retry_budget": "extra_left"}):
    """A service; ``retry_budget`` is the number of retries and hedges left."""

    waiting: int
    retry_budget: float
    upstreams: list[UpstreamDump]


class QuarantineDump(msgspec.Struct):
    """A quarantined request; ``ended`` are the upstreams that it crashed."""

    ended: list[ids.UpstreamId]
    left_s: float


class GatewayDump(msgspec.Struct):
    """
    A gateway; ``version`` is that of the configuration in force.

    ``refused_routes`` holds the reasons why routes are not served, by host and prefix;
    ``not_ready`` the reason why the gateway is not ready, empty if it is; ``regions``
    the last known state of the other regions; ``rollouts`` the services with a rollout;
    ``quarantined`` the requests that crash upstreams, by fingerprint; ``isolated`` the
    gateways that get no callers as they reach no upstream.
    """

    host: ids.HostId
    phase: str
    version: int
    reads_source: bool
    entries: list[ids.HostId]
    peers: dict[ids.HostId, PeerDump]
    services: dict[ids.ServiceName, ServiceDump]
    refused_routes: dict[str, str]
    not_ready: str
    rollouts: dict[ids.ServiceName, dump.RolloutDump]
    regions: dict[ids.RegionName, RegionDump] = {}
    quarantined: dict[ids.Fingerprint, QuarantineDump] = {}
    isolated: list[ids.HostId] = []


def create(
    gateway_state: state.GatewayState, gateway_fleet: fleet.Fleet
) -> GatewayDump:
    """Return the current state of this gateway."""
    now = gateway_state.clock.now()
    return GatewayDump(
        host=gateway_state.config.host,
        phase=gateway_state.phase.value,
        version=gateway_state.version,
        reads_source=gateway_state.reads_source,
        entries=sorted(gateway_fleet.active_addresses()),
        peers={
            host: _peer(known, now)
            for host, known in gateway_state.gossip.known_by_host.items()
        },
        services={
            name: _service(service, now)
            for name, service in gateway_state.balancer_by_service.items()
        },
        refused_routes=_refused_routes(gateway_state),
        not_ready=gateway_state.unready_reason,
        rollouts=dump.create(gateway_state, gateway_fleet),
        regions=_regions(gateway_state, now),
        quarantined=_quarantined(gateway_state, now),
        isolated=sorted(gateway_fleet.view().isolated),
    )


def _regions(
    gateway_state: state.GatewayState, now: ids.Instant
) -> dict[ids.RegionName, RegionDump]:
    links = gateway_state.links
    if links is None:
        return {}
    return {
        region: RegionDump(
            heard_s_ago=round(now - heard.made_at, AGE_DIGITS),
            members=heard.summary.member_count,
            gateways=[member.address for member in heard.summary.gateways],
            used={use.service: use.used for use in heard.summary.services},
        )
        for region, heard in links.received_by_region.items()
    }


def _quarantined(
    gateway_state: state.GatewayState, now: ids.Instant
) -> dict[ids.Fingerprint, QuarantineDump]:
    known = gateway_state.quarantines.known
    return {
        note.fingerprint: QuarantineDump(
            ended=list(note.ended),
            left_s=round(
                known.kept_by_fingerprint[note.fingerprint].until - now, AGE_DIGITS
            ),
        )
        for note in known.quarantined()
    }


def _refused_routes(gateway_state: state.GatewayState) -> dict[str, str]:
    if gateway_state.table is None:
        return {}
    refused = gateway_state.table.configuration.refused_routes
    return {route.host + route.prefix: route.reason for route in refused}


def _peer(known: known_peer.Peer, now: ids.Instant) -> PeerDump:
    return PeerDump(
        status=known.record.status.name,
        last_heartbeat_s_ago=round(now - known.updated_at, AGE_DIGITS),
        missed=known.missed,
    )


def _service(service: balancer.Balancer, now: ids.Instant) -> ServiceDump:
    return ServiceDump(
        waiting=len(service.queue),
        retry_budget=service.retries.balance,
        upstreams=[
            _upstream(upstream, now)
            for upstream in service.pool.upstream_by_id.values()
        ],
    )


def _upstream(upstream: upstreams.Upstream, now: ids.Instant) -> UpstreamDump:
    pressure = upstream.backpressure
    limit = pressure.limit
    return UpstreamDump(
        id=upstream.spec.id,
        state=upstream.state.value,
        reason=upstream.state_reason,
        outstanding=upstream.outstanding,
        slowdown=round(upstream.slowdown(now), RATIO_DIGITS),
        latency_ratio=round(upstream.latency_ratio.value, RATIO_DIGITS),
        report_s_ago=round(now - upstream.report_at, AGE_DIGITS),
        limit_per_s=limit.per_s,
        part_per_s=None if limit.per_s is None else limit.part_per_s,
        rests_s=round(max(0.0, pressure.backoff_until - now), AGE_DIGITS),
    )
