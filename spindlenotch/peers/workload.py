"""
Amounts of work: what a host can carry, what callers ask, what an upstream has.
"""

import dataclasses

import msgspec

from spindlenotch import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """An amount of callers' work; bytes are those of bodies, one way."""

    requests_per_s: float
    bytes_per_s: float


NO_WORK = Work(0.0, 0.0)


class LoadRecord(msgspec.Struct, frozen=True, rename={"slowdown": "pace"}):
    """
    What an upstream reported of its load, ``age_s`` before this was sent.

    On the wire ``slowdown`` is called ``pace``.
    """

    upstream: ids.UpstreamId
    running: int
    queued: int
    slowdown: float
    age_s: float
