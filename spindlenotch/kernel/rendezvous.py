"""
Who carries a duty, by rendezvous hashing: the same for equal views.

Pure. Every duty assigned here must be harmless when views differ and too many or
too few hosts carry it for a while.
"""

import functools
import random
from collections import abc

from spindlenotch import ids
from spindlenotch.kernel import ownership

#: Scores that are cached.
SCORE_CACHE_SIZE = 65_536
#: Bits of a score, and how many different scores there are. Part of the choice:
#: processes of two releases in one fleet must agree on it.
SCORE_BITS = 64
SCORE_COUNT = 2**64


def assigned_hosts(
    members: abc.Iterable[ownership.Member],
    zone: ids.ZoneName,
    task: str,
    count: int,
) -> list[ids.HostId]:
    """
    Return which hosts of ``zone`` carry a duty, the same for equal views.

    Rendezvous hashing: a member that joins or leaves moves no other's duty.
    Differing views give too many or too few holders for a while; every duty
    assigned here must be harmless then.
    """
    hosts = [m.host for m in members if m.zone == zone]
    scored = sorted(hosts, key=lambda h: score(task, h), reverse=True)
    return scored[:count]


@functools.lru_cache(SCORE_CACHE_SIZE)
def score(task: str, host: ids.HostId) -> tuple[int, str]:
    """Return the rank of a host for a duty; the highest takes it on."""
    return random.Random(f"{task}/{host}").getrandbits(SCORE_BITS), host
