"""
Rates of work and load reports, as members exchange them.

``Work`` is the rate that a host can handle or that callers request of it; a
``LoadRecord`` passes on what one upstream reported about itself.
"""

import msgspec

from spindlenotch import ids


class Work(msgspec.Struct, frozen=True):
    """A rate of requests, and of bytes in their bodies in one direction."""

    requests_per_s: float
    bytes_per_s: float


NO_WORK = Work(0.0, 0.0)


class LoadRecord(
    msgspec.Struct, frozen=True, omit_defaults=True, rename={"slowdown": "pace"}
):
    """
    What an upstream reported of its load, ``age_s`` seconds before this was sent.

    ``running`` and ``queued`` count requests; ``slowdown`` is the ratio of its
    current latency to its typical one, called ``pace`` on the wire. ``cold_s`` is the
    number of seconds for which it was still cold when this was sent, according to a
    health response made ``cold_age_s`` seconds before; None if there is nothing to
    report. ``born`` identifies the start of the upstream to which all of this refers,
    None if it is not known. ``limit_per_s`` is the rate of requests per second that
    it accepts from all processes together, as reported ``limit_age_s`` seconds
    before; ``limit_age_s`` alone reports that it no longer names a limit.
    ``well_age_s`` is how many seconds before it last answered a health check as one
    that is well; sent for upstreams that have started recently.
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
    well_age_s: float | None = None
