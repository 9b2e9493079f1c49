"""
Tells leases that expired in an outage of the source from upstreams that left.

Pure. In an outage the upstreams are alive but can't renew their leases, which expire.
``Listing`` keeps such upstreams for ``GRACE_S``.
"""

from collections import abc

from spindlenotch import ids
from spindlenotch.gateway.source import leases, sources

#: Minimum time in seconds without a response of the source, in which calls failed, to
#: count as an outage. A lease expires three renewals of 1.5 s after the last one, so
#: not before the source was away for two of them; a long poll that is cut and repeated
#: takes less (``reader_duty.FOLLOW_TIMEOUT_S``).
MIN_OUTAGE_S = 2.8
#: Seconds after the source is back for which an upstream whose lease expired in the
#: outage still gets work. Live ones are listed again about two seconds after that,
#: according to the source's operators.
GRACE_S = 2.2
#: More than this share of a service's leases must vanish at once to count as expired in
#: the outage; if fewer do, their upstreams have left.
MASS_EXPIRY_SHARE = 0.3


def is_in_outage(
    lease: leases.Lease,
    vanished: abc.Collection[leases.Lease],
    known: abc.Collection[leases.Lease],
    grace_until: ids.Instant,
    now: ids.Instant,
) -> bool:
    """
    Tell whether a lease expired in an outage of the source and its upstream is alive.

    ``vanished`` are all leases of ``known`` that vanished at once; ``grace_until`` is
    ``GRACE_S`` after the end of the last outage. If many upstreams of one service
    vanish together right after an outage, they more likely failed to renew their leases
    than left, and dropping them would leave the service without upstreams. One that was
    draining has left.
    """
    if now >= grace_until:
        return False
    if lease.listed.state is not sources.UpstreamState.READY:
        return False
    service = lease.listed.service
    gone = sum(other.listed.service == service for other in vanished)
    total = sum(other.listed.service == service for other in known)
    return gone > MASS_EXPIRY_SHARE * total
