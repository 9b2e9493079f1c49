"""
The operator's configuration, and which route and service a request goes to.

Pure: no I/O and no clock. A driver in ``sources`` checks what the platform holds
and builds these types; gateways pass them on to each other with their field
names (``Configuration`` is a peer document), so a renamed field splits a fleet.
Units: seconds and bytes.
"""

import enum
import typing
from collections import abc

import msgspec

from spindlenotch import ids

RouteName = typing.NewType("RouteName", str)


class RequestKind(enum.Enum):
    """Whether requests may be repeated: only ``SAFE`` ones may run more than once."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"


class WeightedService(msgspec.Struct, frozen=True):
    """One service behind a route; shares are ``weight`` by the sum of weights."""

    service: ids.ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    Where requests of one host and path prefix go, and how they are treated.

    ``timeout_s``: a request is answered at the latest after this many seconds.
    ``target_s``: target latency in seconds. Both may be None: not set.
    ``rank``: priority, 0 the most urgent.
    ``most_tries``: how many upstreams a request may be sent to.
    ``allowed_regions``: where its requests may be served; None: anywhere.
    ``has_large_answers``: its answers are weighed by their bytes.
    """

    name: RouteName
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float | None
    target_s: float | None
    rank: int
    most_tries: int
    parts: tuple[WeightedService, ...]
    allowed_regions: tuple[ids.RegionName, ...] | None = None
    has_large_answers: bool = False

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        return self.kind is RequestKind.SAFE


class RefusedRoute(msgspec.Struct, frozen=True):
    """
    A route that can't be served as it is configured, and why.

    Its requests are refused, rather than served by a route with a shorter prefix.
    """

    name: RouteName
    host: str
    prefix: str
    reason: str


class ServiceSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    A service as the operator configures it.

    ``health_path`` is probed for the load of its upstreams. ``connections`` is
    how many each of them accepts from all callers together; the gateway does not
    enforce it and passes it on to peers because the form on the wire holds it.
    ``cold_rate_per_s`` is how many requests a second a cold one bears from all
    gateways together, None where nothing bounds it; one that starts is cold for
    ``cold_start_s`` seconds.
    """

    name: ids.ServiceName
    health_path: str
    connections: int
    cold_rate_per_s: float | None = None
    cold_start_s: float = 0.0


class Limits(msgspec.Struct, frozen=True):
    """
    What a caller may send and how long its connection may be idle.

    The gateway enforces ``body_bytes`` (of a declared length) and
    ``idle_timeout_s``. It does not enforce ``header_bytes`` and
    ``header_timeout_s``: they are read and passed on to peers because the form
    on the wire holds them. Request lines and header fields are bounded by
    ``caller_listener`` instead.
    """

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


class Configuration(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    All routes, services and limits; a greater ``version`` replaces a smaller.

    ``refused_routes`` are those that can't be served as they are configured,
    ``remarks`` say what else was passed over or read with caution.
    """

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[ids.ServiceName, ServiceSpec]
    limits: Limits
    refused_routes: tuple[RefusedRoute, ...] = ()
    remarks: tuple[str, ...] = ()


class RouteTable:
    """
    Finds the route of a request by longest prefix match.

    Invariant: the routes of each host are in order of falling prefix length.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._routes_by_host: dict[str, list[Route | RefusedRoute]] = {}
        all_routes: list[Route | RefusedRoute] = [*configuration.routes]
        all_routes += configuration.refused_routes
        for route in all_routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def routes_of(self, host: str) -> abc.Sequence[Route | RefusedRoute]:
        """Return the routes of a host."""
        return self._routes_by_host.get(normalized_host(host), ())

    def find(self, host: str, target: str) -> Route | RefusedRoute | None:
        """
        Return the route of a request, or None where none fits.

        One that is refused is found too: its requests go to no other route.

        ``host`` is its ``Host`` header, ``target`` its path and query.
        """
        path = target.partition("?")[0]
        for route in self.routes_of(host):
            if path.startswith(route.prefix):
                return route
        return None


def normalized_host(host: str) -> str:
    """Return a ``Host`` header without port and final dot, in lower case."""
    name, colon, port = host.rpartition(":")
    if colon and port.isdigit():
        host = name
    return host.lower().rstrip(".")


class WeightedRoundRobin:
    """
    Divides the requests of each route among its services by their weights.

    Smooth weighted round robin: each request adds to each service's credit its
    share, and takes one from the service with most credit. Invariant: the credits
    of a route add up to zero, so the counts stay close to the shares.
    """

    def __init__(self) -> None:
        self._credit_by_route: dict[RouteName, dict[ids.ServiceName, float]] = {}

    def next(self, route: Route) -> ids.ServiceName:
        """
        Return the service that the next request of ``route`` goes to.

        Where all weights are zero, that is the first.
        """
        if len(route.parts) == 1:
            return route.parts[0].service
        credit = self._credit_by_route.setdefault(route.name, {})
        total = sum(part.weight for part in route.parts)
        if total <= 0:
            return route.parts[0].service
        for part in route.parts:
            share = part.weight / total
            credit[part.service] = credit.get(part.service, 0.0) + share
        best = max(route.parts, key=lambda part: credit[part.service])
        credit[best.service] -= 1.0
        return best.service

    def forget_missing(self, routes: tuple[Route, ...]) -> None:
        """Drop the credit of routes that are gone or whose parts changed."""
        parts_by_route = {
            route.name: {part.service for part in route.parts} for route in routes
        }
        for name, credit in list(self._credit_by_route.items()):
            if parts_by_route.get(name) != set(credit):
                del self._credit_by_route[name]
