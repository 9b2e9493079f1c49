"""
Periods that vary a little, so that gateways do not fall into step.

Pure; the loops that ask peers, the source or upstreams sleep for them.
"""

import random

#: A jittered period lies within these shares of the period.
MIN_FACTOR = 0.9
MAX_FACTOR = 1.1


def jittered(period_s: float, rng: random.Random) -> float:
    """Return a period near ``period_s``, in seconds; one draw of ``rng``."""
    return period_s * rng.uniform(MIN_FACTOR, MAX_FACTOR)
