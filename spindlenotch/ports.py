"""
Ports to external systems, as protocols and message types.

Owns the registries in which drivers register a factory under the name used in
settings. A call that fails returns a fault and never raises: each layer has its own
faults and maps those of the layer below to them. Times are in seconds.
"""

import enum
import typing
from collections import abc

import msgspec

from spindlenotch import ids, registry
from spindlenotch.kernel import backpressure, upstreams


class StoreFault(enum.Enum):
    """Why the store gave no usable response."""

    #: No response in time, or an invalid one; a write may still take effect.
    UNAVAILABLE = "unavailable"
    #: The value is larger than the store accepts; nothing was written.
    TOO_LARGE = "too-large"
    #: More calls per second than the store allows; nothing was done.
    OVER_LIMIT = "over-limit"
    #: Refused for another reason; the same call will be refused again.
    REJECTED = "rejected"


class Stored(msgspec.Struct, frozen=True):
    """A value in the store; with ``revision`` zero the key is absent."""

    revision: int
    value: bytes


class Conflict(msgspec.Struct, frozen=True):
    """A failed compare-and-swap; ``revision`` is the current one, zero: absent."""

    revision: int


class Store(typing.Protocol):
    """The platform's key-value service; revisions of a key only increase."""

    async def get(self, key: str) -> Stored | StoreFault:
        """Read ``key``."""

    async def compare_and_swap(
        self, key: str, value: bytes, expected: int, lease_s: float | None = None
    ) -> Stored | Conflict | StoreFault:
        """
        Write ``key`` if its revision is ``expected`` (zero: absent).

        With ``lease_s`` the value expires that many seconds later. After the fault
        ``UNAVAILABLE`` the write may still take effect.
        """

    async def watch(self, key: str, after: int, wait_s: float) -> Stored | StoreFault:
        """
        Return ``key`` as soon as its revision exceeds ``after``.

        After ``wait_s`` seconds without such a change, return its current value.
        """

    async def close(self) -> None:
        """Close all connections."""


class HostListFault(enum.Enum):
    """Why the host list gave no usable response."""

    #: No response in time.
    UNAVAILABLE = "unavailable"
    #: The response is not a valid host list.
    GARBLED = "garbled"


class HostListing(msgspec.Struct, frozen=True):
    """
    The host list as it was received, with its revision.

    Peers forward the bytes unchanged, so they are kept beside the revision.
    """

    revision: int
    body: bytes


class HostList(typing.Protocol):
    """The platform's list of hosts; it reflects changes with a delay."""

    async def fetch(self, known_revision: int) -> HostListing | HostListFault | None:
        """Return the list, or None if it is unchanged since ``known_revision``."""

    async def close(self) -> None:
        """Close all connections."""


class UpstreamFault(enum.Enum):
    """Why an upstream gave no complete response."""

    #: No connection was established; nothing was sent.
    CONNECT_FAILED = "connect-failed"
    #: ``may_send`` was false because the deadline has passed; nothing was sent.
    TOO_LATE = "too-late"
    #: ``may_send`` was false because the upstream accepts no requests at present;
    #: nothing was sent.
    WITHDRAWN = "withdrawn"
    #: The connection broke or the response is invalid; the request may have been
    #: executed.
    CONNECTION_LOST = "connection-lost"
    #: The response belongs to another request or was not made by an upstream; the
    #: request may have been executed. For a probe: the response contains no load.
    FOREIGN_ANSWER = "foreign-answer"
    #: For a probe only: the upstream accepts no more requests.
    DRAINING = "draining"


class Liveness(enum.Enum):
    """What a new connection to an upstream shows of its process."""

    #: It responded, whatever the response, be it an invalid one.
    ALIVE = "alive"
    #: The connection was closed without a response.
    GONE = "gone"
    #: No connection could be established.
    REFUSED = "refused"
    #: No connection was established in time.
    UNCONNECTED = "unconnected"
    #: The connection was established, and nothing was received in time.
    SILENT = "silent"


class UpstreamRequest(msgspec.Struct):
    """
    A request to an upstream.

    ``target`` is the request target as sent, path and query. ``headers`` are all that
    are sent; ``request_id`` is the id that the response must echo. With
    ``needs_new_connection`` no idle connection is used. ``may_send`` is called first,
    and again when a new connection is established, before the first byte.
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
    """
    The status and headers of a response, with access to its body.

    ``length`` is that of the body in bytes, None if the headers do not give it.
    ``not_run`` says that the request was not executed and never will be, ``draining``
    that the upstream accepts no more requests. ``retry_after_s``, in seconds, and
    ``report``, the load of the upstream, are None if they are absent or invalid.
    ``signals`` are its backpressure signals.
    """

    status: int
    headers: list[tuple[str, str]]
    length: int | None
    not_run: bool
    draining: bool
    retry_after_s: float | None
    report: upstreams.LoadReport | None
    signals: backpressure.Signals

    async def chunk(self) -> bytes | UpstreamFault:
        """Return the next chunk of the body; empty only at the end of a whole body."""

    def abandon(self) -> None:
        """Close the connection; it is never used again."""


class UpstreamPort(typing.Protocol):
    """Sends requests and probes to upstreams."""

    async def send(self, request: UpstreamRequest) -> UpstreamAnswer | UpstreamFault:
        """
        Send a request once and wait for the headers of the response.

        Only connecting has a timeout; callers cancel.
        """

    async def probe(
        self, address: ids.Address, timeout_s: float, path: str | None = None
    ) -> upstreams.LoadReport | UpstreamFault:
        """
        Query the load of an upstream, for at most ``timeout_s`` seconds.

        ``path`` is the probe path of the service if it has one; None: the dialect's.
        """

    async def liveness(self, address: ids.Address, timeout_s: float) -> Liveness:
        """Check over a new connection, for ``timeout_s``, if an upstream is alive."""

    def close_idle(self, address: ids.Address) -> None:
        """Close the idle keep-alive connections to ``address``."""

    async def close(self) -> None:
        """Close all connections."""


STORES: registry.Registry[abc.Callable[[str], Store]] = registry.Registry("store")
HOST_LISTS: registry.Registry[abc.Callable[[str], HostList]] = registry.Registry(
    "host list"
)
UPSTREAM_PORTS: registry.Registry[abc.Callable[[], UpstreamPort]] = registry.Registry(
    "upstream port"
)
