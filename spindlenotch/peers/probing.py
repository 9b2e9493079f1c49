"""
Which members are probed in each period, and whose replies are overdue.

Members are probed in a shuffled round robin, as in SWIM, so that each one is
probed within a bounded time and no two members keep the same order. A member
that missed a reply is probed first in the next period. What that means is
decided in ``membership``.
"""

import random
from collections import abc

from spindlenotch import ids
from spindlenotch.peers import known_peer

#: Members that are probed in a period. Chosen, not measured; the cost of
#: three is in docs/CAPACITY.md, "Slopes".
FANOUT = 3


class ProbeSchedule:
    """
    Shuffled round robin over the known members, and the replies they owe.

    Invariant: ``reply_due_by_host`` holds the earliest deadline of a probed
    member until it replies or the deadline passes.
    """

    def __init__(self, rng: random.Random, reply_s: float) -> None:
        self.rng = rng
        self.reply_s = reply_s
        self.reply_due_by_host: dict[ids.HostId, ids.Instant] = {}
        self._remaining: list[ids.HostId] = []

    def next_hosts(
        self, known_by_host: abc.Mapping[ids.HostId, known_peer.Peer], now: ids.Instant
    ) -> list[ids.HostId]:
        """Return whom to probe this period; their replies are due from now on."""
        hosts = [host for host, peer in known_by_host.items() if peer.missed][:1]
        while len(hosts) < min(FANOUT, len(known_by_host)):
            host = self._next_in_order(known_by_host)
            if host not in hosts:
                hosts.append(host)
        for host in hosts:
            self.reply_due_by_host.setdefault(host, ids.later(now, self.reply_s))
        return hosts

    def reply_arrived(self, host: ids.HostId) -> None:
        """Note a message from the member itself: it owes no reply."""
        self.reply_due_by_host.pop(host, None)

    def pop_overdue(self, now: ids.Instant) -> list[ids.HostId]:
        """Return the members whose replies are overdue; they owe none then."""
        overdue = [host for host, due in self.reply_due_by_host.items() if due <= now]
        for host in overdue:
            del self.reply_due_by_host[host]
        return overdue

    def cancel(self) -> None:
        """Forget all replies that are due."""
        self.reply_due_by_host.clear()

    def _next_in_order(
        self, known_by_host: abc.Mapping[ids.HostId, known_peer.Peer]
    ) -> ids.HostId:
        while self._remaining:
            host = self._remaining.pop()
            if host in known_by_host:
                return host
        self._remaining = list(known_by_host)
        self.rng.shuffle(self._remaining)
        return self._remaining.pop()
