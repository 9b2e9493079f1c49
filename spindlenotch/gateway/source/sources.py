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


class Snapshot(msgspec.Struct, frozen=True):
    """
    Everything the source holds; changes after ``revision`` are not in it.

    ``configuration`` is None where there is none yet. ``unusable`` are upstreams of
    which the source holds what can't be used. No new work goes to the upstreams of
    ``evacuated_zones``.
    """

    revision: int
    configuration: routing.Configuration | None
    upstream_by_id: dict[ids.UpstreamId, ListedUpstream]
    bad: tuple[BadItem, ...] = ()
    discovery_records: tuple[DiscoveryRecord, ...] = ()
    evacuated_zones: frozenset[ids.ZoneName] = frozenset()
    unusable: frozenset[ids.UpstreamId] = frozenset()


class Changes(msgspec.Struct, frozen=True):
    """
    What has changed up to ``revision``; only the newest state of each item.

    ``unusable`` are upstreams whose entry now can't be used, whatever it was before.
    ``evacuated_zones`` are those newly evacuated, ``restored_zones`` those whose
    evacuation was taken back.
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

    async def close(self) -> None:
        """Drop all connections."""


SOURCES: registry.Registry[abc.Callable[[str], Source]] = registry.Registry("source")
