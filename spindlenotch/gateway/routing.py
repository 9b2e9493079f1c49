"""
Routes as the gateway sees them: checked, immutable, looked up by host and path.

Pure; a driver in ``sources`` builds these objects from what the platform
holds. Units: seconds and bytes.
"""

import dataclasses
import enum
import typing

from spindlenotch import ids

RouteName = typing.NewType("RouteName", str)


class RequestKind(enum.Enum):
    """What may be repeated: only ``SAFE`` requests may run more than once."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """One service behind a route, and its share of the requests."""

    service: ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """
    Where requests of one host and path prefix go, and how they are treated.

    ``timeout_s`` is the longest time that one is held, ``target_s`` the time
    within which an answer is worth most, or None where none is set. ``rank``
    0 is the most urgent. ``most_tries`` bounds the upstreams tried.
    """

    name: RouteName
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float | None
    target_s: float | None
    rank: int
    most_tries: int
    parts: tuple[Part, ...]

    @property
    def repeatable(self) -> bool:
        """Tell whether its requests may run more than once."""
        return self.kind is RequestKind.SAFE


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service as the configuration names it."""

    name: ids.ServiceName
    health_path: str
    connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What a caller may send and how long its connection may rest."""

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """All routes, services and limits of one version."""

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[ids.ServiceName, ServiceSpec]
    limits: Limits


class RouteTable:
    """
    Finds the route of a request.

    Invariant: of the routes of a host, the one with the longest prefix that
    begins the path is found.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, host: str, target: str) -> Route | None:
        """Return the route of a request target, or None where there is none."""
        path = target.partition("?")[0]
        for route in self._routes_by_host.get(normalized_host(host), ()):
            if path.startswith(route.prefix):
                return route
        return None


def normalized_host(host: str) -> str:
    """Return a ``Host`` header without port, in lower case."""
    name, colon, port = host.rpartition(":")
    if colon and port.isdigit():
        host = name
    return host.lower().rstrip(".")


class WeightedTurns:
    """
    Divides requests among parts in exact proportion to their weights.

    Smooth weighted round robin: each request adds each part's share to its
    credit and takes one from the part that has most. Invariant: after any
    number of requests no part is more than one request from its share.
    """

    def __init__(self) -> None:
        self._credit_by_route: dict[RouteName, dict[ids.ServiceName, float]] = {}

    def next(self, route: Route) -> ids.ServiceName:
        """Return the service that takes the next request of ``route``."""
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
        parts_by_route = {r.name: {p.service for p in r.parts} for r in routes}
        for name, credit in list(self._credit_by_route.items()):
            if parts_by_route.get(name) != set(credit):
                del self._credit_by_route[name]
