"""
Whether a service gets more calls than it can carry, or fails most of them.

Two rules on the pool's running means. ``owned_slots`` queues in the entry rather
than at the upstreams under overload; ``retrying`` and ``hedging`` send nothing
extra to a service that fails.
"""

from spindlenotch.kernel import upstream_pool

#: Share of recently offered calls refused above which a service is overloaded.
REFUSED_SHARE = 0.05
#: Calls queued per own slot above which it is overloaded.
QUEUED_PER_SLOT = 5.0
#: Share of recent answers that are failures above which retries and hedges would only
#: add load.
FAILED_SHARE = 0.3


def is_overloaded(pool: upstream_pool.Pool) -> bool:
    """Tell whether calls are being refused, or queue in number."""
    if pool.refused_share.value > REFUSED_SHARE:
        return True
    return pool.waiting > QUEUED_PER_SLOT * pool.owned_total


def is_failing(pool: upstream_pool.Pool) -> bool:
    """Tell whether so many calls fail that extra ones only add load."""
    return pool.failed_share.value > FAILED_SHARE
