"""
Assignment of tasks to hosts by rendezvous hashing.

Performs no I/O and reads no clock. Processes with the same view of the members compute
the same assignment. While views differ, too many or too few hosts may have a task:
every task that is assigned here must be harmless then.
"""

import functools
import random
from collections import abc

from spindlenotch import ids
from spindlenotch.kernel import ownership

#: Most scores that are cached.
SCORE_CACHE_SIZE = 65_536
#: Bits of a score, and the number of different scores. Changing them changes the
#: assignment, and processes of two releases in one fleet must agree on it.
SCORE_BITS = 64
SCORE_COUNT = 2**64


def assigned_hosts(
    members: abc.Iterable[ownership.Member],
    zone: ids.ZoneName,
    task: str,
    count: int,
) -> list[ids.HostId]:
    """
    Return the ``count`` hosts of ``zone`` with the highest scores for a task.

    The result is the same for equal ``members``. A member that joins or leaves does
    not change the order of the others, so it moves only its own assignments.
    """
    hosts = [member.host for member in members if member.zone == zone]
    scored = sorted(hosts, key=lambda host: score(task, host), reverse=True)
    return scored[:count]


@functools.lru_cache(SCORE_CACHE_SIZE)
def score(task: str, host: ids.HostId) -> tuple[int, str]:
    """Return the score of a host for a task; the highest ones are assigned it."""
    return random.Random(f"{task}/{host}").getrandbits(SCORE_BITS), host
