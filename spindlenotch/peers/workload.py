"""
Load as members report it to each other.

``Work`` states what a host can carry and what callers ask of it; a
``LoadRecord`` passes on what one upstream reported about itself.
"""

import msgspec

from spindlenotch import ids


class Work(msgspec.Struct, frozen=True):
    """A rate of callers' work; bytes are those of bodies, in one direction."""

    requests_per_s: float
    bytes_per_s: float


NO_WORK = Work(0.0, 0.0)


class LoadRecord(
    msgspec.Struct, frozen=True, omit_defaults=True, rename={"slowdown": "pace"}
):
    """
    What an upstream reported of its load, ``age_s`` seconds before this was sent.

    ``running`` and ``queued`` count requests; ``slowdown`` is the ratio of its
    latency now to its typical one, called ``pace`` on the wire. ``cold_s``: for how
    many seconds it was cold yet when this was sent, by a health answer made
    ``cold_age_s`` seconds before; None where there is nothing to tell. ``born`` tells
    of which start of the upstream all that is, None where nothing does.
    ``limit_per_s``: the requests a second that it said it takes from all processes
    together, ``limit_age_s`` seconds before; where that alone is there, it said that it
    names no limit any more.
    """

    upstream: ids.UpstreamId
    running: int
    queued: int
    slowdown: float
    age_s: float
    cold_s: float | None = None
    cold_age_s: float = 0.0
    born: int | None = None
    limit_per_s: float | None = None
    limit_age_s: float | None = None
