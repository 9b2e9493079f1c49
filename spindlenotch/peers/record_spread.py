"""
Which member records the next gossip messages carry.

Changed records go first, newest change first, each in as many messages as it takes
to reach the fleet. Owns how often each is still to be sent; ``membership`` holds the
records themselves.
"""

import math
import random
from collections import abc

from spindlenotch import ids
from spindlenotch.peers import messages

#: Messages that a changed record goes into first, for each doubling of the fleet.
REPEATS_PER_DOUBLING = 1


class RecordSpread:
    """The members whose records have changed, the newest change last."""

    def __init__(self) -> None:
        self.repeats_by_host: dict[ids.HostId, int] = {}

    def changed(self, host: ids.HostId, fleet_size: int) -> None:
        """Let the next messages carry a member's record first."""
        self.repeats_by_host[host] = REPEATS_PER_DOUBLING * doublings(fleet_size)

    def forget(self, host: ids.HostId) -> None:
        """Send no more of a member that is gone."""
        self.repeats_by_host.pop(host, None)

    def next_hosts(self) -> list[ids.HostId]:
        """Return whose records the next message carries; they count as sent."""
        hosts = list(self.repeats_by_host)[-messages.MEMBERS_PER_MESSAGE :]
        for host in hosts:
            self.repeats_by_host[host] -= 1
            if self.repeats_by_host[host] <= 0:
                del self.repeats_by_host[host]
        return hosts

    def next_hosts_filled(
        self, everyone: abc.Collection[ids.HostId], rng: random.Random
    ) -> list[ids.HostId]:
        """Return these and random other members, as many as a message may carry."""
        hosts = self.next_hosts()
        room = messages.MAX_MEMBERS_PER_MESSAGE - len(hosts)
        hosts += rng.sample(list(everyone), min(room, len(everyone)))
        return list(dict.fromkeys(hosts))


def doublings(fleet_size: int) -> int:
    """Return how often one member doubles until the fleet is this large."""
    return math.ceil(math.log2(fleet_size + 1))
