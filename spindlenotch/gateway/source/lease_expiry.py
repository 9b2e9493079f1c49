"""
Tells leases that expired in an outage of the source from upstreams that left.

Pure. In an outage the upstreams are alive but can't renew their leases, which expire.
``Listing`` keeps such upstreams for ``GRACE_S``.
"""

from collections import abc

from spindlenotch import ids
from spindlenotch.gateway.source import leases, sources

#: Seconds after the source was last unreachable in which a lease that vanishes may have
#: expired because it could not be renewed.
OUTAGE_WINDOW_S = 4.0
#: Seconds for which an upstream whose lease expired in an outage still gets work. Live
#: ones are listed again about two seconds after the source is back, according to its
#: operators.
GRACE_S = 2.2
#: More than this share of a service's leases must vanish at once to count as expired in
#: the outage; if fewer do, their upstreams have left.
MASS_EXPIRY_SHARE = 0.3


def is_in_outage(
    lease: leases.Lease,
    vanished: abc.Collection[leases.Lease],
    known: abc.Collection[leases.Lease],
    fault_at: ids.Instant,
    now: ids.Instant,
) -> bool:
    """
    Tell whether a lease expired in an outage of the source and its upstream is alive.

    ``vanished`` are all leases of ``known`` that vanished at once; ``fault_at`` is when
    the source was last unreachable. If many upstreams of one service vanish together
    right after an outage, they more likely failed to renew their leases than left, and
    dropping them would leave the service without upstreams. One that was draining has
    left.
    """
    if now - fault_at >= OUTAGE_WINDOW_S:
        return False
    if lease.listed.state is not sources.UpstreamState.READY:
        return False
    service = lease.listed.service
    gone = sum(other.listed.service == service for other in vanished)
    total = sum(other.listed.service == service for other in known)
    return gone > MASS_EXPIRY_SHARE * total
