"""
Where a gateway learns its configuration, upstreams and peers, and in which form.

A driver registers itself in ``SOURCES`` and turns what the platform holds into
the types here. Each layer has its own faults; a driver turns the platform's
into ``SourceFault`` or ``BadItem``.
"""

import enum
import typing
from collections import abc

import msgspec

from spindlenotch import ids, registry
from spindlenotch.gateway.source import routing
from spindlenotch.kernel import crash_notes


class SourceFault(enum.Enum):
    """Why the source gave no answer that can be used."""

    UNAVAILABLE = "unavailable"
    OVER_LIMIT = "over-limit"
    HISTORY_GONE = "history-gone"
    #: What was to be replaced has changed since it was read.
    CONFLICT = "conflict"


class UpstreamState(enum.Enum):
    """What the source says of an upstream."""

    READY = "ready"
    DRAINING = "draining"


class RolloutState(enum.Enum):
    """What the source says has become of an order to change a service's version."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled-back"


#: The target of a status that can't be read.
NO_TARGET = ids.SoftwareVersion("")


class RolloutOrder(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    An operator's order: a service's requests are to move to a version, its target.

    It must have ended ``by_s`` seconds after it was written. ``revision`` is the
    source's revision at which it was written and identifies it within ``era``. ``era``
    is the source's era in which it was read, None where the source reports none.
    """

    service: ids.ServiceName
    target: ids.SoftwareVersion
    by_s: float
    revision: int
    era: int | None = None


class RolloutStatus(msgspec.Struct, frozen=True):
    """
    What has become of an order, as the source holds it.

    ``revision`` is that at which it was written; zero where the source holds none yet.
    """

    service: ids.ServiceName
    target: ids.SoftwareVersion
    state: RolloutState
    revision: int = 0


class RolloutAnnotation(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    What a peer's list says on each upstream of a service that has an order or a status.

    ``left_s``: for how many seconds after the list was made the order may run yet.
    """

    order: RolloutOrder | None = None
    left_s: float = 0.0
    status: RolloutStatus | None = None


class ListedUpstream(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    An upstream as the source lists it.

    ``slots`` is how many requests it runs at once; ``cold_s`` is for how many
    seconds after reading it is still slow from its start. ``version`` is that of its
    software, empty where it tells none. ``born`` is the Unix time in ms of its start,
    None where it does not say; the same id with another one is another upstream.
    ``is_evacuated``: it gets
    no new work because its zone is evacuated; a peer's list gives its state as
    draining then, so that gateways which do not know this field send nothing there.
    ``rollout`` is set only in a peer's list.
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


class BadItem(msgspec.Struct, frozen=True):
    """Something in the source that can't be used, and why."""

    key: str
    reason: str


class DiscoveryRecord(msgspec.Struct, frozen=True):
    """
    The address by which gateways that know no peer find one of a zone.

    ``revision`` is that of the source at which it was written; zero where the
    source holds none yet.
    """

    zone: ids.ZoneName
    peer_address: ids.Address
    revision: int = 0


class StoredQuarantine(msgspec.Struct, frozen=True):
    """
    A request that ends the upstreams that run it, as the source holds it.

    ``until_unix_s`` is the wall-clock time until which it is not sent. ``revision`` is
    that of the source at which it was written; zero where the source holds none yet.
    """

    note: crash_notes.CrashNote
    until_unix_s: float
    revision: int = 0


class Snapshot(msgspec.Struct, frozen=True):
    """
    Everything the source holds; changes after ``revision`` are not in it.

    ``configuration`` is None where there is none yet. ``unusable`` are upstreams of
    which the source holds what can't be used. No new work goes to the upstreams of
    ``evacuated_zones``. ``unreadable_orders``: the services whose order can't be read,
    which leaves the one before in force. ``era`` increases each time the source is
    restored from a backup, which may decrease its revisions; None if it reports no era.
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
    What has changed up to ``revision``; only the newest state of each item.

    ``unusable`` are upstreams whose entry now can't be used, whatever it was before.
    ``evacuated_zones`` are those newly evacuated, ``restored_zones`` those whose
    evacuation was taken back. Orders and statuses are None where they are gone.
    ``released`` are requests whose quarantine an operator has taken away. ``era`` has
    the same meaning as in ``Snapshot``.
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
    """Reads configuration and upstreams; calls are counted and priced."""

    async def read(self) -> Snapshot | SourceFault:
        """Read everything."""

    async def follow(self, after: int, wait_s: float) -> Changes | SourceFault:
        """Return what changed after a revision; wait ``wait_s`` seconds at most."""

    async def write_discovery_record(
        self, record: DiscoveryRecord
    ) -> SourceFault | None:
        """Replace the record of the same zone if it is still of that ``revision``."""

    async def write_rollout_status(
        self, order: RolloutOrder, status: RolloutStatus
    ) -> int | SourceFault:
        """
        Replace a status if it is still of that ``revision``, and the order as well.

        Return the revision at which it was written.
        """

    async def write_quarantine(
        self, quarantine: StoredQuarantine
    ) -> SourceFault | None:
        """Replace the record of the same request if it is still of that revision."""

    async def close(self) -> None:
        """Drop all connections."""


SOURCES: registry.Registry[abc.Callable[[str], Source]] = registry.Registry("source")
