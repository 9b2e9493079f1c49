"""
The platform's host list: the hosts and their states.

The list lags behind the hosts: an upstream that reports that it is draining, or for
which a peer has sent a drain notice, is leaving whatever the list says. Performs no I/O
and reads no clock.
"""

import enum

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import upstreams


class Role(enum.Enum):
    """The role of a listed host."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


class HostState(enum.Enum):
    """Whether the platform allows new work on a host."""

    LIVE = "live"
    LEAVING = "leaving"


class HostRecord(msgspec.Struct, frozen=True):
    """
    One listed host.

    ``generation`` grows when the host restarts or its drain is cancelled.
    ``peer_address`` is set for entries, ``service`` for upstreams.
    """

    id: str
    role: Role
    zone: str
    address: str
    service: str = ""
    peer_address: str = ""
    generation: int = 1
    state: HostState = HostState.LIVE


class HostTable(msgspec.Struct, frozen=True):
    """One revision of the whole list."""

    revision: int
    hosts: tuple[HostRecord, ...]


def decode(body: bytes) -> HostTable | None:
    """Decode a list from JSON; return None if it is malformed."""
    try:
        return msgspec.json.decode(body, type=HostTable)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


def upstream_specs(
    table: HostTable, service: ids.ServiceName
) -> list[upstreams.UpstreamSpec]:
    """Return the upstreams of ``service`` that are not leaving."""
    return [
        upstreams.UpstreamSpec(
            id=ids.UpstreamId(host.id),
            zone=ids.ZoneName(host.zone),
            address=ids.Address(host.address),
            generation=host.generation,
        )
        for host in table.hosts
        if host.role is Role.UPSTREAM
        and host.service == service
        and host.state is HostState.LIVE
    ]


def entries(table: HostTable) -> list[HostRecord]:
    """Return the listed entry hosts that are not leaving."""
    return [
        host
        for host in table.hosts
        if host.role is Role.ENTRY and host.state is HostState.LIVE
    ]
