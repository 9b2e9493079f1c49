"""
Whether leases expired because they could not be renewed.

Pure. Answers an outage of the source: its upstreams live, but their leases run out
meanwhile. ``Listing`` asks, and keeps such upstreams for ``GRACE_S``.
"""

from collections import abc

from spindlenotch import ids
from spindlenotch.gateway.source import leases, sources

#: Leases that vanish this soon after the source was out of reach may have expired
#: because they could not be renewed.
OUTAGE_WINDOW_S = 4.0
#: How long an upstream whose lease expired in an outage still gets work. Those
#: that live are listed again about two seconds after the source's return, as its
#: operators say.
GRACE_S = 2.2
#: More than this share of a service must vanish at once to count as expired in the
#: outage; fewer have left.
MASS_EXPIRY_SHARE = 0.3


def is_in_outage(
    lease: leases.Lease,
    vanished: abc.Collection[leases.Lease],
    known: abc.Collection[leases.Lease],
    fault_at: ids.Instant,
    now: ids.Instant,
) -> bool:
    """
    Tell whether a lease expired in an outage of the source and its upstream lives.

    ``vanished`` are all leases of ``known`` that vanished at once; ``fault_at`` is when
    the source was out of reach last. Many of one service that vanish together right
    after an outage could more likely not renew their leases than left; to drop them
    would leave the service without upstreams. One that was draining has left.
    """
    if now - fault_at >= OUTAGE_WINDOW_S:
        return False
    if lease.listed.state is not sources.UpstreamState.READY:
        return False
    service = lease.listed.service
    gone = sum(one.listed.service == service for one in vanished)
    total = sum(one.listed.service == service for one in known)
    return gone > MASS_EXPIRY_SHARE * total
