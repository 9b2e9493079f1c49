"""
Whether a service is overloaded, or fails a large share of its calls.

Two rules on the pool's running means. Under overload, ``owned_slots`` queues calls in
the entry rather than at the upstreams; ``retrying`` and ``hedging`` send no extra
requests to a failing service.
"""

from spindlenotch.kernel import upstream_pool

#: Share of recently offered calls refused above which a service is overloaded.
MAX_REFUSED_SHARE = 0.05
#: Queued calls per owned slot above which a service is overloaded.
MAX_QUEUED_PER_SLOT = 5.0
#: Share of recent answers that are failures above which retries and hedges would only
#: add load.
MAX_FAILED_SHARE = 0.3


def is_overloaded(pool: upstream_pool.Pool) -> bool:
    """Return whether too many calls are being refused or queued."""
    if pool.refused_share.value > MAX_REFUSED_SHARE:
        return True
    return pool.waiting > MAX_QUEUED_PER_SLOT * pool.owned_total


def is_failing(pool: upstream_pool.Pool) -> bool:
    """Return whether so many calls fail that extra ones only add load."""
    return pool.failed_share.value > MAX_FAILED_SHARE
