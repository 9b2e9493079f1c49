"""
Amounts of work: what a host can carry, what callers ask, what an upstream has.
"""

import dataclasses

from spindlenotch import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """An amount of callers' work; bytes are those of bodies, one way."""

    requests_per_s: float
    bytes_per_s: float


NO_WORK = Work(0.0, 0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadNews:
    """What an upstream said of its load, ``age_s`` before this was sent."""

    upstream: ids.UpstreamId
    running: int
    queued: int
    pace: float
    age_s: float
