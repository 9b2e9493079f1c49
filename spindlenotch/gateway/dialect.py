"""
How callers and upstreams speak: header names, paths and forms of answers.

The native dialect is the product's own; others register themselves in
``DIALECTS``. Only the names vary; what they mean is fixed here.
"""

import dataclasses
from collections import abc

import msgspec

from spindlenotch import headers, ids, registry
from spindlenotch.drivers import upstream_dialect


@dataclasses.dataclass(frozen=True, slots=True)
class Directory:
    """Which addresses callers may use, and for how many seconds."""

    addresses: tuple[ids.Address, ...]
    valid_for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """
    The names of one way to speak.

    ``request_id`` and ``deadline_ms`` (milliseconds left) come with requests;
    ``expect_upstream`` names the upstream that is meant; ``replaced`` are the
    lower-case names that are set anew towards upstreams.
    """

    upstream: upstream_dialect.UpstreamDialect
    request_id: str
    deadline_ms: str
    expect_upstream: str | None
    replaced: frozenset[str]
    directory_path: str
    ready_path: str
    render_directory: abc.Callable[[Directory], bytes]


DIALECTS: registry.Registry[abc.Callable[[], Dialect]] = registry.Registry("dialect")


@DIALECTS.register("native")
def native() -> Dialect:
    """Return the product's own dialect."""
    return Dialect(
        upstream=upstream_dialect.NATIVE,
        request_id=headers.REQUEST_ID,
        deadline_ms=headers.TIMEOUT_MS,
        expect_upstream=headers.UPSTREAM,
        replaced=headers.OWN | {headers.UPSTREAM.lower()},
        directory_path="/v1/entries",
        ready_path="/ready",
        render_directory=_render,
    )


def _render(directory: Directory) -> bytes:
    return msgspec.json.encode(
        {"entries": directory.addresses, "valid_for_ms": directory.valid_for_s * 1000}
    )
