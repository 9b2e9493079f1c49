"""
Jittered periods, which keep gateways from synchronizing with each other.

Pure. Used by the loops that poll peers, the source or upstreams.
"""

import random

#: Bounds of a jittered period, as factors of the nominal period.
MIN_FACTOR = 0.9
MAX_FACTOR = 1.1


def jittered(period_s: float, rng: random.Random) -> float:
    """Return ``period_s`` with jitter, in seconds; draws once from ``rng``."""
    return period_s * rng.uniform(MIN_FACTOR, MAX_FACTOR)
