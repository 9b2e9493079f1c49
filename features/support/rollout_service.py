"""The service, its routes and gateways that plays of orders begin with."""

import msgspec

from spindlenotch import ids
from spindlenotch.decisions import least_latency
from spindlenotch.gateway.source import routing, sources
from spindlenotch.kernel import extra_budgets, service_policy, upstreams
from spindlenotch.peers import messages

SERVICE = ids.ServiceName("s")
ZONE = ids.ZoneName("z")
OLD, NEW = ids.SoftwareVersion("v1"), ids.SoftwareVersion("v2")
THIRD = ids.SoftwareVersion("v3")
SHARE, RESERVE, ROLLBACK_S, BY_S = 0.1, 50.0, 5.0, 12.0
ORDER = sources.RolloutOrder(SERVICE, NEW, by_s=12.0, revision=20)
#: Usual work of each route, in seconds, and its part of the requests.
WORK_S_BY_ROUTE = {"read": 0.08, "book": 0.11, "export": 0.07}
PART_BY_ROUTE = {"read": 0.6, "book": 0.3, "export": 0.1}
#: Between two health answers of an upstream, and between two rounds of a gateway.
REPORT_S, ROUND_S = 0.2, 0.2
#: From a request to the deadline of its caller.
DEADLINE_S = 1.5
#: A datagram's way.
WAY_S = 0.002
SLOTS = 2


def _route(name: str, work_s: float) -> routing.Route:
    return routing.Route(
        name=routing.RouteName(name),
        host="h",
        prefix=f"/{name}",
        kind=routing.RequestKind.SAFE,
        timeout_s=DEADLINE_S,
        target_s=4.0 * work_s,
        rank=1,
        most_tries=2,
        parts=(routing.WeightedService(SERVICE, 1.0),),
    )


CONFIGURATION = routing.Configuration(
    version=1,
    routes=tuple(_route(*pair) for pair in WORK_S_BY_ROUTE.items()),
    service_by_name={},
    limits=routing.Limits(),
)


def with_version(
    spec: upstreams.UpstreamSpec, version: ids.SoftwareVersion
) -> upstreams.UpstreamSpec:
    """Return an upstream that runs another version."""
    return msgspec.structs.replace(spec, version=version)


def policy() -> service_policy.ServicePolicy:
    """Return how the service is balanced."""
    return service_policy.ServicePolicy(
        name=SERVICE,
        zones=(ZONE,),
        slots=SLOTS,
        typical_s=0.1,
        selection=least_latency.NAME,
        extra=extra_budgets.SharedWindow(share=0.18, reserve=8, window_s=10.0),
        queue_limit=100,
        eject_share=0.5,
    )


def record(host: ids.HostId, number: int) -> messages.MemberRecord:
    """Return what a gateway says of itself."""
    return messages.MemberRecord(
        host=host,
        zone=ZONE,
        incarnation=ids.Incarnation(f"{number}"),
        address=ids.Address(f"{host}-{number}:1"),
        peer_address=ids.Address(f"{host}-{number}:2"),
        epoch=number,
        heartbeat=1,
        status=messages.Status.READY,
        configuration_version=1,
    )
