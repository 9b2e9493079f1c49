"""
The host list as data: which hosts the platform lists and in what state.

The list lags behind: an upstream that reports that it is draining, or of which a
peer has sent a drain notice, is leaving whatever the list says. Pure.
"""

import enum

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import upstreams


class Role(enum.Enum):
    """What a listed host does."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


class HostState(enum.Enum):
    """Whether the platform lets a host get new work."""

    LIVE = "live"
    LEAVING = "leaving"


class HostRecord(msgspec.Struct, frozen=True):
    """
    One listed host.

    ``generation`` grows when the host is restarted or a drain is called off.
    ``peer_address`` is given for entries, ``service`` for upstreams.
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
    """The whole list in one revision."""

    revision: int
    hosts: tuple[HostRecord, ...]


def decode(body: bytes) -> HostTable | None:
    """Read the JSON form; None where it is garbled."""
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
