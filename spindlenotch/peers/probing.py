"""
Selection of the members to probe in each period, and detection of overdue replies.

Members are probed in a shuffled round robin, as in SWIM, so that each one is probed
within a bounded time and no two members use the same order. A member that missed a
reply is probed first in the next period. ``membership`` decides what follows from a
missed reply.
"""

import random
from collections import abc

from spindlenotch import ids
from spindlenotch.peers import known_peer

#: Members probed in each period. The cost of three is in docs/CAPACITY.md,
#: "Slopes".
FANOUT = 3


class _RoundRobin:
    """Iterates over hosts in shuffled order, and reshuffles after each pass."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self._remaining: list[ids.HostId] = []

    def next(self, hosts: abc.Collection[ids.HostId]) -> ids.HostId:
        """Return the next of ``hosts``, of which there is at least one."""
        while self._remaining:
            host = self._remaining.pop()
            if host in hosts:
                return host
        self._remaining = list(hosts)
        self.rng.shuffle(self._remaining)
        return self._remaining.pop()


class ProbeSchedule:
    """
    Shuffled round robin over the known members, and the deadlines of their replies.

    ``near_zone`` is the zone of most probes, or None for no preference: with 312
    members in five zones, gossip messages were most of the bytes between zones.
    Invariant: ``reply_due_by_host`` holds the earliest deadline of a probed
    member until it replies or the deadline passes.
    """

    def __init__(
        self, rng: random.Random, reply_s: float, near_zone: ids.ZoneName | None
    ) -> None:
        self.reply_s = reply_s
        self.near_zone = near_zone
        self.reply_due_by_host: dict[ids.HostId, ids.Instant] = {}
        self._everyone = _RoundRobin(rng)
        self._near = _RoundRobin(rng)

    def next_hosts(
        self, known_by_host: abc.Mapping[ids.HostId, known_peer.Peer], now: ids.Instant
    ) -> list[ids.HostId]:
        """Return the members to probe this period, and set their reply deadlines."""
        hosts = [host for host, peer in known_by_host.items() if peer.missed][:1]
        near_hosts = self._near_hosts(known_by_host)
        while len(hosts) < min(FANOUT - 1, len(near_hosts)):
            self._add_next(hosts, self._near, near_hosts)
        while len(hosts) < min(FANOUT, len(known_by_host)):
            self._add_next(hosts, self._everyone, known_by_host.keys())
        for host in hosts:
            self.reply_due_by_host.setdefault(host, ids.later(now, self.reply_s))
        return hosts

    def reply_arrived(self, host: ids.HostId) -> None:
        """Clear the deadline of a member that has sent a message itself."""
        self.reply_due_by_host.pop(host, None)

    def pop_overdue(self, now: ids.Instant) -> list[ids.HostId]:
        """Return the members whose replies are overdue, and clear their deadlines."""
        overdue = [host for host, due in self.reply_due_by_host.items() if due <= now]
        for host in overdue:
            del self.reply_due_by_host[host]
        return overdue

    def cancel(self) -> None:
        """Discard all reply deadlines."""
        self.reply_due_by_host.clear()

    def _near_hosts(
        self, known_by_host: abc.Mapping[ids.HostId, known_peer.Peer]
    ) -> abc.Collection[ids.HostId]:
        if self.near_zone is None:
            return ()
        return known_peer.hosts_in_zone(known_by_host, self.near_zone)

    def _add_next(
        self,
        hosts: list[ids.HostId],
        order: _RoundRobin,
        candidates: abc.Collection[ids.HostId],
    ) -> None:
        host = order.next(candidates)
        if host not in hosts:
            hosts.append(host)
