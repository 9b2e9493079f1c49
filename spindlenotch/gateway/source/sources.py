"""
Interface and data types of the source of configuration, upstreams and peers.

A driver registers itself in ``SOURCES`` and converts the records of its platform into
these types. Each layer has its own faults; a driver converts those of the platform to
``SourceFault`` or ``BadItem``.
"""

import enum
import typing
from collections import abc

import msgspec

from spindlenotch import ids, registry
from spindlenotch.gateway.source import routing
from spindlenotch.kernel import crash_records


class SourceFault(enum.Enum):
    """Why a call to the source returned no usable response."""

    UNAVAILABLE = "unavailable"
    OVER_LIMIT = "over-limit"
    HISTORY_GONE = "history-gone"
    #: The record to be replaced has changed since it was read.
    CONFLICT = "conflict"


class UpstreamState(enum.Enum):
    """State of an upstream according to the source."""

    READY = "ready"
    DRAINING = "draining"


class RolloutState(enum.Enum):
    """State of a version rollout according to the source."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled-back"


#: Target of a rollout status that can't be decoded.
NO_TARGET = ids.SoftwareVersion("")


class RolloutOrder(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    An operator's order to move the requests of a service to a version, its target.

    The rollout must end within ``by_s`` seconds after the order was written.
    ``revision`` is the source's revision at which the order was written and identifies
    it within ``era``. ``era`` is the source's era when the order was read, None if the
    source reports none.
    """

    service: ids.ServiceName
    target: ids.SoftwareVersion
    by_s: float
    revision: int
    era: int | None = None


class RolloutStatus(msgspec.Struct, frozen=True):
    """
    Status of a rollout order as stored in the source.

    ``revision`` is that at which it was written; zero if the source holds none yet.
    """

    service: ids.ServiceName
    target: ids.SoftwareVersion
    state: RolloutState
    revision: int = 0


class RolloutAnnotation(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    Rollout data that a peer's list carries with each upstream of a service.

    Set if the service has an order or a status. ``left_s`` is how many seconds the
    order may still run, counted from when the list was made.
    """

    order: RolloutOrder | None = None
    left_s: float = 0.0
    status: RolloutStatus | None = None


#: Grace period in seconds of an upstream that is listed. Fields are omitted on the wire
#: if they are the default value itself, not only equal to it.
NO_GRACE_S = 0.0


class ListedUpstream(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    An upstream as the source lists it.

    ``slots`` is the number of requests that it runs concurrently. ``cold_s`` is for how
    many seconds after the read it is still slow because of its cold start. ``version``
    is that of its software, empty if it reports none. ``born`` is the Unix time of its
    start in ms, None if it reports none; the same id with another ``born`` is another
    upstream. ``is_evacuated``: it gets no new work because its zone is evacuated; a
    peer's list gives its state as draining then, so that gateways which do not know
    this field send no requests to it. ``grace_s`` is for how many seconds after the
    list was made it is kept although its lease has expired; zero if it is listed.
    ``rollout`` and ``grace_s`` are set only in a peer's list.
    """

    id: ids.UpstreamId
    service: ids.ServiceName
    address: ids.Address
    zone: ids.ZoneName
    slots: int
    state: UpstreamState
    cold_s: float
    is_evacuated: bool = False
    version: ids.SoftwareVersion = ids.SoftwareVersion("")
    born: int | None = None
    rollout: RolloutAnnotation | None = None
    grace_s: float = NO_GRACE_S


class BadItem(msgspec.Struct, frozen=True):
    """An invalid item in the source, and why it can't be used."""

    key: str
    reason: str


class DiscoveryRecord(msgspec.Struct, frozen=True):
    """
    Address of one gateway of a zone, for gateways that know no peer.

    ``revision`` is that of the source at which it was written; zero if the source
    holds none yet.
    """

    zone: ids.ZoneName
    peer_address: ids.Address
    revision: int = 0


class StoredQuarantine(msgspec.Struct, frozen=True):
    """
    A quarantined request, which crashes the upstreams that run it, in the source.

    ``until_unix_s`` is the Unix time in seconds until which it is not sent.
    ``revision`` is that of the source at which it was written; zero if the source holds
    none yet.
    """

    note: crash_records.CrashRecord
    until_unix_s: float
    revision: int = 0


class Snapshot(msgspec.Struct, frozen=True):
    """
    Everything the source holds as of ``revision``.

    ``configuration`` is None if there is none yet. ``bad`` holds the invalid items;
    ``unusable`` are the upstreams whose entries are invalid. The upstreams of
    ``evacuated_zones`` get no new work. ``unreadable_orders`` are the services whose
    rollout order can't be decoded, so that the previous one stays in force. ``era``
    increases each time the source is restored from a backup, which may decrease its
    revisions; None if the source reports no era.
    """

    revision: int
    configuration: routing.Configuration | None
    upstream_by_id: dict[ids.UpstreamId, ListedUpstream]
    bad: tuple[BadItem, ...] = ()
    discovery_records: tuple[DiscoveryRecord, ...] = ()
    evacuated_zones: frozenset[ids.ZoneName] = frozenset()
    unusable: frozenset[ids.UpstreamId] = frozenset()
    order_by_service: dict[ids.ServiceName, RolloutOrder] = {}
    status_by_service: dict[ids.ServiceName, RolloutStatus] = {}
    unreadable_orders: frozenset[ids.ServiceName] = frozenset()
    quarantines: tuple[StoredQuarantine, ...] = ()
    era: int | None = None


class Changes(msgspec.Struct, frozen=True):
    """
    Changes up to ``revision``, with only the newest state of each item.

    ``gone`` are the upstreams that are no longer listed; ``unusable`` are those whose
    entries have become invalid. ``evacuated_zones`` are newly evacuated;
    ``restored_zones`` are those whose evacuation was revoked. Orders and statuses are
    None if they were deleted. ``released`` are the requests whose quarantine an
    operator has lifted. ``era`` has the same meaning as in ``Snapshot``.
    """

    revision: int
    configuration: routing.Configuration | None = None
    listed: tuple[ListedUpstream, ...] = ()
    gone: tuple[ids.UpstreamId, ...] = ()
    bad: tuple[BadItem, ...] = ()
    discovery_records: tuple[DiscoveryRecord, ...] = ()
    evacuated_zones: frozenset[ids.ZoneName] = frozenset()
    restored_zones: frozenset[ids.ZoneName] = frozenset()
    unusable: frozenset[ids.UpstreamId] = frozenset()
    order_by_service: dict[ids.ServiceName, RolloutOrder | None] = {}
    status_by_service: dict[ids.ServiceName, RolloutStatus | None] = {}
    quarantines: tuple[StoredQuarantine, ...] = ()
    released: frozenset[ids.Fingerprint] = frozenset()
    era: int | None = None


class Source(typing.Protocol):
    """Reads configuration and upstreams; each call is counted and has a cost."""

    async def read(self) -> Snapshot | SourceFault:
        """Return a snapshot of everything that the source holds."""

    async def follow(self, after: int, wait_s: float) -> Changes | SourceFault:
        """Return the changes after a revision; wait at most ``wait_s`` seconds."""

    async def write_discovery_record(
        self, record: DiscoveryRecord
    ) -> SourceFault | None:
        """Replace the record of the same zone if its ``revision`` is unchanged."""

    async def write_rollout_status(
        self, order: RolloutOrder, status: RolloutStatus
    ) -> int | SourceFault:
        """
        Replace a status if its ``revision`` and that of the order are unchanged.

        Return the revision at which the status was written.
        """

    async def write_quarantine(
        self, quarantine: StoredQuarantine
    ) -> SourceFault | None:
        """Replace the record of the same request if its revision is unchanged."""

    async def close(self) -> None:
        """Close all connections."""


SOURCES: registry.Registry[abc.Callable[[str], Source]] = registry.Registry("source")
