"""
Ports to the outside: what the product needs of it, as protocols and messages.

Owns the registries in which drivers register a factory under the name that
settings choose. A call that fails returns a fault, never raises: each layer
has its own faults and turns those from below into them. Times are in seconds.
"""

import enum
import typing
from collections import abc

import msgspec

from spindlenotch import ids, registry
from spindlenotch.kernel import backpressure, upstreams


class StoreFault(enum.Enum):
    """Why the store gave no answer that can be used."""

    #: No answer in time, or one that can't be read; a write may still happen.
    UNAVAILABLE = "unavailable"
    #: The value is larger than the store takes; nothing was written.
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
    """A compare-and-swap that lost; ``revision`` is the store's, zero: absent."""

    revision: int


class Store(typing.Protocol):
    """The platform's key-value service; revisions of a key only grow."""

    async def get(self, key: str) -> Stored | StoreFault:
        """Read ``key``."""

    async def compare_and_swap(
        self, key: str, value: bytes, expected: int, lease_s: float | None = None
    ) -> Stored | Conflict | StoreFault:
        """
        Write ``key`` if its revision is ``expected`` (zero: absent).

        With ``lease_s`` the value vanishes that many seconds later. After
        ``UNAVAILABLE`` the write may still take effect.
        """

    async def watch(self, key: str, after: int, wait_s: float) -> Stored | StoreFault:
        """
        Return ``key`` as soon as its revision exceeds ``after``.

        After ``wait_s`` seconds without such a change it is returned as it is.
        """

    async def close(self) -> None:
        """Drop all connections."""


class HostListFault(enum.Enum):
    """Why the host list gave no answer that can be used."""

    #: No answer in time.
    UNAVAILABLE = "unavailable"
    #: An answer that is no host list.
    GARBLED = "garbled"


class HostListing(msgspec.Struct, frozen=True):
    """
    The host list as it was sent, with its revision.

    Peers pass the bytes on unchanged, so they are kept beside the revision.
    """

    revision: int
    body: bytes


class HostList(typing.Protocol):
    """The platform's list of hosts; changes appear in it with a delay."""

    async def fetch(self, known_revision: int) -> HostListing | HostListFault | None:
        """Return the list, or None where its revision is still ``known_revision``."""

    async def close(self) -> None:
        """Drop all connections."""


class UpstreamFault(enum.Enum):
    """Why an upstream gave no whole answer."""

    #: No connection came about; nothing was sent.
    CONNECT_FAILED = "connect-failed"
    #: ``may_send`` said no, as the deadline has passed; nothing was sent.
    TOO_LATE = "too-late"
    #: ``may_send`` said no, as the upstream wants nothing now; nothing was sent.
    WITHDRAWN = "withdrawn"
    #: The connection broke or the answer can't be read; the request may have run.
    CONNECTION_LOST = "connection-lost"
    #: The answer belongs to another request or was not made by an upstream; the
    #: request may have run. Of a probe: the answer holds no load.
    FOREIGN_ANSWER = "foreign-answer"
    #: Of a probe only: the upstream gets no more work.
    DRAINING = "draining"


class Liveness(enum.Enum):
    """What a new connection to an upstream tells of its process."""

    #: It answered, whatever it said.
    ALIVE = "alive"
    #: No connection came about, or it was closed without an answer.
    GONE = "gone"
    #: Nothing came in time.
    SILENT = "silent"


class UpstreamRequest(msgspec.Struct):
    """
    What goes to an upstream.

    ``target`` is the request target as it is sent, path and query. ``headers``
    include all that are to be sent, ``request_id`` the one that the answer
    must echo. With ``needs_new_connection`` no idle connection is used.
    ``may_send`` is asked first, and again when a new connection is up, before
    the first byte.
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
    The head of an answer, and the way to its body.

    ``length`` is the body's in bytes, None where the head does not tell it.
    ``not_run`` says that the request has not run and never will, ``draining``
    that the upstream gets no more work. ``retry_after_s`` and ``report``, the
    upstream's load, are None where they are absent or can't be read. ``signals`` is
    what it says of how much it will take.
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
        """Return the next piece of the body; empty only where the body is whole."""

    def abandon(self) -> None:
        """Close the connection; it is never used again."""


class UpstreamPort(typing.Protocol):
    """Sends requests and probes to upstreams."""

    async def send(self, request: UpstreamRequest) -> UpstreamAnswer | UpstreamFault:
        """
        Send a request once and wait for the head of its answer.

        There is no limit of time but that of connecting; callers cancel.
        """

    async def probe(
        self, address: ids.Address, timeout_s: float, path: str | None = None
    ) -> upstreams.LoadReport | UpstreamFault:
        """
        Ask an upstream for its load, for at most ``timeout_s`` seconds.

        ``path`` is the service's own where it has one; None: the dialect's.
        """

    async def liveness(self, address: ids.Address, timeout_s: float) -> Liveness:
        """Ask an upstream over a new connection if it is there."""

    def close_idle(self, address: ids.Address) -> None:
        """Close the connections that are kept to ``address`` and not in use."""

    async def close(self) -> None:
        """Drop all connections."""


STORES: registry.Registry[abc.Callable[[str], Store]] = registry.Registry("store")
HOST_LISTS: registry.Registry[abc.Callable[[str], HostList]] = registry.Registry(
    "host list"
)
UPSTREAM_PORTS: registry.Registry[abc.Callable[[], UpstreamPort]] = registry.Registry(
    "upstream port"
)
