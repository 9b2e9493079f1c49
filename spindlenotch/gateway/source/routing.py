"""
The operator's configuration, and the choice of a request's route and service.

Pure: no I/O and no clock. A driver (``sources``) validates the records of the platform
and builds these types. Gateways send them to each other under their field names
(``Configuration`` is a peer document): after a renamed field, gateways of two releases
could not read each other's. Units: seconds and bytes.
"""

import enum
import typing
from collections import abc

import msgspec

from spindlenotch import ids

RouteName = typing.NewType("RouteName", str)


class RequestKind(enum.Enum):
    """Whether requests may be retried: only ``SAFE`` ones may run more than once."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"


class WeightedService(msgspec.Struct, frozen=True):
    """A service of a route; its share is ``weight`` over the sum of all weights."""

    service: ids.ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    Services and settings for the requests of one host and path prefix.

    ``timeout_s``: maximum time until a request is answered, in seconds.
    ``target_s``: target latency in seconds. Both are None if not set.
    ``rank``: priority; 0 is the highest.
    ``most_tries``: maximum number of upstreams that a request is sent to.
    ``allowed_regions``: regions in which requests may be served; None: anywhere.
    ``has_large_answers``: responses are assumed large until their mean size is known.
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
    A route that can't be served as configured, and why.

    Its requests are refused rather than served by a route with a shorter prefix.
    """

    name: RouteName
    host: str
    prefix: str
    reason: str


class ServiceSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    A service as the operator configures it.

    ``health_path`` is probed for the load of its upstreams. ``connections`` is how many
    connections each upstream accepts from all callers together; the gateway does not
    enforce it, and forwards it to peers because the wire format includes it.
    ``cold_rate_per_s`` is how many requests per second a cold upstream can handle from
    all gateways together, None if unlimited; an upstream is cold for ``cold_start_s``
    seconds after its start.
    """

    name: ids.ServiceName
    health_path: str
    connections: int
    cold_rate_per_s: float | None = None
    cold_start_s: float = 0.0


class Limits(msgspec.Struct, frozen=True):
    """
    Limits on the size of a caller's requests and the idle time of its connections.

    The gateway enforces ``body_bytes`` (on declared lengths) and ``idle_timeout_s``. It
    does not enforce ``header_bytes`` and ``header_timeout_s``: they are read and
    forwarded to peers because the wire format includes them. ``caller_listener`` limits
    request lines and header fields instead.
    """

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


class Configuration(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    All routes, services and limits; a greater ``version`` replaces a smaller one.

    ``refused_routes`` are those that can't be served as configured. ``remarks`` name
    other settings that were ignored or replaced by their defaults.
    """

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[ids.ServiceName, ServiceSpec]
    limits: Limits
    refused_routes: tuple[RefusedRoute, ...] = ()
    remarks: tuple[str, ...] = ()

    def health_path(self, service: ids.ServiceName) -> str | None:
        """Return the path by which a service is probed; None: the dialect's."""
        spec = self.service_by_name.get(service)
        return None if spec is None else spec.health_path


class RouteTable:
    """
    Finds the route of a request by longest prefix match.

    Invariant: the routes of each host are sorted by descending prefix length.
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
        Return the route of a request, or None if none matches.

        Refused routes match too, as their requests must not go to another route.
        ``host`` is the ``Host`` header, ``target`` the path and query of the request.
        """
        path = target.partition("?")[0]
        for route in self.routes_of(host):
            if path.startswith(route.prefix):
                return route
        return None


def normalized_host(host: str) -> str:
    """Return a ``Host`` header in lower case, without port and trailing dot."""
    name, colon, port = host.rpartition(":")
    if colon and port.isdigit():
        host = name
    return host.lower().rstrip(".")


class WeightedRoundRobin:
    """
    Distributes the requests of each route over its services by their weights.

    Smooth weighted round robin: each request adds its share to the credit of every
    service, and subtracts one from the service with the most credit, which it goes to.
    Invariant: the credits of a route add up to zero, so that the counts stay close to
    the shares.
    """

    def __init__(self) -> None:
        self._credit_by_route: dict[RouteName, dict[ids.ServiceName, float]] = {}

    def next(self, route: Route) -> ids.ServiceName:
        """
        Return the service that the next request of ``route`` goes to.

        If all weights are zero, that is the first one.
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
        """Drop the credit of routes that were removed or whose services changed."""
        parts_by_route = {
            route.name: {part.service for part in route.parts} for route in routes
        }
        for name, credit in list(self._credit_by_route.items()):
            if parts_by_route.get(name) != set(credit):
                del self._credit_by_route[name]
