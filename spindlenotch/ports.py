"""
Ports to the outside, their messages and their faults.

A driver is a factory in one of the registries here; settings name it. Faults
are values with a reason: each layer returns its own and turns those from
below into them.
"""

import dataclasses
import enum
import typing
from collections import abc

from spindlenotch import ids, registry
from spindlenotch.kernel import upstreams


class StoreFault(enum.Enum):
    """Why the store gave no answer that can be used."""

    UNAVAILABLE = "unavailable"
    TOO_LARGE = "too-large"
    OVER_LIMIT = "over-limit"
    REJECTED = "rejected"


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """A value in the store. ``revision`` zero means that it is absent."""

    revision: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A compare-and-swap that lost; ``revision`` is the one in the store."""

    revision: int


class Store(typing.Protocol):
    """The platform's key-value service."""

    async def get(self, key: str) -> Stored | StoreFault:
        """Read ``key``."""

    async def swap(
        self, key: str, value: bytes, expected: int, lease_s: float | None = None
    ) -> Stored | Conflict | StoreFault:
        """
        Write ``key`` if its revision is ``expected`` (zero: absent).

        With ``lease_s`` the value vanishes that many seconds later. After
        ``UNAVAILABLE`` the write may still take effect.
        """

    async def watch(self, key: str, after: int, wait_s: float) -> Stored | StoreFault:
        """Return ``key`` once its revision exceeds ``after``, or as it is."""

    async def close(self) -> None:
        """Drop all connections."""


class HostListFault(enum.Enum):
    """Why the host list gave no answer that can be used."""

    UNAVAILABLE = "unavailable"
    GARBLED = "garbled"


@dataclasses.dataclass(frozen=True, slots=True)
class HostListing:
    """The host list as bytes, with its revision."""

    revision: int
    body: bytes


class HostList(typing.Protocol):
    """The platform's lagging list of hosts."""

    async def fetch(self, known: int) -> HostListing | HostListFault | None:
        """Return the list, or None where its revision is still ``known``."""

    async def close(self) -> None:
        """Drop all connections."""


class UpstreamFault(enum.Enum):
    """Why an upstream gave no whole answer."""

    CONNECT_FAILED = "connect-failed"
    TOO_LATE = "too-late"
    CONNECTION_LOST = "connection-lost"
    FOREIGN_ANSWER = "foreign-answer"
    DRAINING = "draining"


@dataclasses.dataclass(slots=True)
class UpstreamRequest:
    """
    What goes to an upstream.

    With ``needs_new_connection`` no kept connection is used. ``may_send`` is
    asked once, at the last moment before the first byte.
    """

    address: ids.Address
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes | abc.AsyncIterable[bytes] | None
    request_id: str
    needs_new_connection: bool
    may_send: abc.Callable[[], bool]


class UpstreamAnswer(typing.Protocol):
    """The head of an answer, and the way to its body."""

    status: int
    headers: list[tuple[str, str]]
    length: int | None
    not_run: bool
    draining: bool
    retry_after_s: float | None
    report: upstreams.LoadReport | None

    async def chunk(self) -> bytes | UpstreamFault:
        """Return the next piece of the body; empty at its true end."""

    def abandon(self) -> None:
        """Close the connection; it is never used again."""


class UpstreamPort(typing.Protocol):
    """Sends requests and probes to upstreams."""

    async def send(self, request: UpstreamRequest) -> UpstreamAnswer | UpstreamFault:
        """Send a request and wait for the head of its answer."""

    async def probe(
        self, address: ids.Address, timeout_s: float, path: str | None = None
    ) -> upstreams.LoadReport | UpstreamFault:
        """Ask an upstream for its load, at ``path`` where the service has one."""

    async def close(self) -> None:
        """Drop all connections."""


STORES: registry.Registry[abc.Callable[[str], Store]] = registry.Registry("store")
HOST_LISTS: registry.Registry[abc.Callable[[str], HostList]] = registry.Registry(
    "host list"
)
UPSTREAM_PORTS: registry.Registry[abc.Callable[[], UpstreamPort]] = registry.Registry(
    "upstream port"
)
