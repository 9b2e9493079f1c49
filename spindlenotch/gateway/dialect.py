"""
Header names, paths and answer forms of the protocols that a gateway can use.

The native dialect is the product's own; others register a factory in
``DIALECTS``, and a setting names the one in use. Only names and forms vary; what
they mean is fixed here. Holds no state.
"""

from collections import abc

import msgspec

from spindlenotch import headers, ids, registry
from spindlenotch.drivers import upstream_dialect


class Directory(msgspec.Struct, frozen=True):
    """The addresses that callers may use, and for how many seconds."""

    addresses: tuple[ids.Address, ...]
    valid_for_s: float


class Origin(msgspec.Struct, frozen=True):
    """
    Who asks the directory: the host it wants to reach and where it is itself.

    None where it does not say.
    """

    host: str | None = None
    zone: ids.ZoneName | None = None
    region: ids.RegionName | None = None


#: The origin of a query that says nothing.
ANYWHERE = Origin()


class Dialect(msgspec.Struct, frozen=True):
    """
    The names and forms of one protocol with callers and upstreams.

    ``upstream``: how answers of upstreams are read.
    ``request_id``: header with the caller's id of a request.
    ``deadline_ms``: header with the milliseconds that are left for a request.
    ``expect_upstream``: header with the id of the upstream that a request is for;
    None where the protocol has none.
    ``replaced``: lower-case names of the headers that are set anew for upstreams.
    ``directory_path``, ``ready_path``: paths of the gateway's side ports.
    ``render_directory``: returns the body of the directory's answer.
    ``read_origin``: reads who asks the directory from the query's fields.
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
        render_directory=_render,
        read_origin=read_origin,
    )


def read_origin(fields: abc.Mapping[str, str], host_field: str = "host") -> Origin:
    """Return what a query says of who asks; ``host_field`` names the host's field."""
    zone, region = fields.get("zone"), fields.get("region")
    return Origin(
        host=fields.get(host_field),
        zone=ids.ZoneName(zone) if zone else None,
        region=ids.RegionName(region) if region else None,
    )


def _render(directory: Directory) -> bytes:
    return msgspec.json.encode(
        {"entries": directory.addresses, "valid_for_ms": directory.valid_for_s * 1000}
    )
