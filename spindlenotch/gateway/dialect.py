"""
Header names, paths and response formats of the protocols that a gateway supports.

The native dialect is the product's own; others register a factory in ``DIALECTS``,
and the ``dialect`` setting selects one. Dialects differ only in names and formats;
the semantics are defined here. Holds no state.
"""

from collections import abc

import msgspec

from spindlenotch import headers, ids, registry
from spindlenotch.drivers import upstream_dialect


class Directory(msgspec.Struct, frozen=True):
    """The addresses that callers may use, and their validity in seconds."""

    addresses: tuple[ids.Address, ...]
    valid_for_s: float


class Origin(msgspec.Struct, frozen=True):
    """
    The host that a directory query wants to reach, and the caller's zone and region.

    Fields that the query leaves out are None.
    """

    host: str | None = None
    zone: ids.ZoneName | None = None
    region: ids.RegionName | None = None


#: The origin of a query without any of these fields.
UNKNOWN_ORIGIN = Origin()


class Dialect(msgspec.Struct, frozen=True):
    """
    The names and formats of one protocol with callers and upstreams.

    ``upstream``: how responses of upstreams are interpreted.
    ``request_id``: header with the caller's request id.
    ``deadline_ms``: header with the time left for a request, in milliseconds.
    ``expect_upstream``: header with the id of the upstream that a request is meant
    for; None if the protocol has none.
    ``replaced``: lower-case names of request headers that the gateway overwrites.
    ``directory_path``, ``ready_path``: paths on the gateway's side ports.
    ``render_directory``: returns the body of a directory response.
    ``read_origin``: parses the origin from the fields of a directory query.
    """

    upstream: upstream_dialect.UpstreamDialect
    request_id: str
    deadline_ms: str
    expect_upstream: str | None
    replaced: frozenset[str]
    directory_path: str
    ready_path: str
    render_directory: abc.Callable[[Directory], bytes]
    read_origin: abc.Callable[[abc.Mapping[str, str]], Origin]


DIALECTS: registry.Registry[abc.Callable[[], Dialect]] = registry.Registry("dialect")


@DIALECTS.register("native")
def native() -> Dialect:
    """Return the product's own dialect."""
    return Dialect(
        upstream=upstream_dialect.NATIVE,
        request_id=headers.REQUEST_ID,
        deadline_ms=headers.TIMEOUT_MS,
        expect_upstream=headers.UPSTREAM,
        replaced=headers.SET_PER_HOP | {headers.UPSTREAM.lower()},
        directory_path="/v1/entries",
        ready_path="/ready",
        render_directory=_render_directory,
        read_origin=read_origin,
    )


def read_origin(fields: abc.Mapping[str, str], host_field: str = "host") -> Origin:
    """Parse the origin of a directory query; ``host_field`` names the host's field."""
    zone, region = fields.get("zone"), fields.get("region")
    return Origin(
        host=fields.get(host_field),
        zone=ids.ZoneName(zone) if zone else None,
        region=ids.RegionName(region) if region else None,
    )


def _render_directory(directory: Directory) -> bytes:
    return msgspec.json.encode(
        {"entries": directory.addresses, "valid_for_ms": directory.valid_for_s * 1000}
    )
