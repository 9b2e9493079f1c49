"""
Selection of the member records that the next gossip messages carry.

Changed records take precedence, the newest change first, each in as many messages
as it takes to reach the fleet. Owns how often each is still to be sent;
``membership`` holds the records themselves.
"""

import math
import random
from collections import abc

from spindlenotch import ids
from spindlenotch.peers import messages

#: Messages in which a changed record takes precedence, per doubling of the fleet.
REPEATS_PER_DOUBLING = 1


class RecordSpread:
    """The members whose records have changed, the newest change last."""

    def __init__(self) -> None:
        self.repeats_by_host: dict[ids.HostId, int] = {}

    def changed(self, host: ids.HostId, fleet_size: int) -> None:
        """Give a member's changed record precedence in the next messages."""
        self.repeats_by_host[host] = REPEATS_PER_DOUBLING * doublings(fleet_size)

    def forget(self, host: ids.HostId) -> None:
        """Stop sending the record of a dropped member."""
        self.repeats_by_host.pop(host, None)

    def next_hosts(self) -> list[ids.HostId]:
        """Return the hosts whose records come next, and count these as sent."""
        hosts = list(self.repeats_by_host)[-messages.MEMBERS_PER_MESSAGE :]
        for host in hosts:
            self.repeats_by_host[host] -= 1
            if self.repeats_by_host[host] <= 0:
                del self.repeats_by_host[host]
        return hosts

    def next_hosts_filled(
        self, everyone: abc.Collection[ids.HostId], rng: random.Random
    ) -> list[ids.HostId]:
        """Return these and random hosts of ``everyone``, up to the message limit."""
        hosts = self.next_hosts()
        room = messages.MAX_MEMBERS_PER_MESSAGE - len(hosts)
        hosts += rng.sample(list(everyone), min(room, len(everyone)))
        return list(dict.fromkeys(hosts))


def doublings(fleet_size: int) -> int:
    """Return the number of doublings from one member to a fleet of this size."""
    return math.ceil(math.log2(fleet_size + 1))
