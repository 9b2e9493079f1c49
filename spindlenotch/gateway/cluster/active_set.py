"""
Which gateways callers are sent to: the active ones; the others are standby.

Pure: equal views give equal sets. Few gateways see most of what an upstream
does, so there are as few as can carry the demand; but callers spread evenly
over the addresses that they are given, so that the weakest active gateway
limits what all can carry.
"""

import math
from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import rendezvous
from spindlenotch.peers import workload

#: Salt of the hash that orders equally strong hosts. Part of the choice:
#: gateways of two releases in one fleet must agree on it.
TIE_SALT = "entries"
#: Share of a host's processor that callers' requests may take on average.
PROCESSOR_SHARE = 0.7
#: Share of a host's link that they may take on average; uploads come in bursts, which a
#: link carries one after the other.
LINK_SHARE = 0.25
#: Requests a second that one processor core carries, with room for a burst.
REQUESTS_PER_CORE = 700.0
#: Bytes a second in one Mbit/s.
BYTES_PER_MBIT = 125_000.0
#: Bytes of a request by which hosts are compared in strength.
BYTES_PER_REQUEST = 8_000.0
#: Hosts within the same power of this factor count as equally strong.
TIER_FACTOR = 1.5
#: Requests or bytes a second that a host carries at least; keeps the shares
#: finite where a peer reports no capacity or nonsense.
MIN_CAPACITY = 1e-9


class Candidate(msgspec.Struct, frozen=True):
    """A ready gateway and what it can carry."""

    host: ids.HostId
    zone: ids.ZoneName
    capacity: workload.Work


def capacity_of(cores: float, link_mbps: float) -> workload.Work:
    """Return what a host can carry for callers all the time."""
    return workload.Work(
        PROCESSOR_SHARE * REQUESTS_PER_CORE * cores,
        LINK_SHARE * BYTES_PER_MBIT * link_mbps,
    )


class Ranking(msgspec.Struct, frozen=True):
    """
    The candidates in the order in which they become active.

    The first ``min_count`` always are: the strongest of each zone. The others
    follow by strength, whatever their zone.
    """

    ordered: list[Candidate]
    min_count: int

    def active(self, demand: workload.Work) -> list[Candidate]:
        """
        Return the active ones: the first few that carry an even share of ``demand``.

        Where no number is enough, the one with the least overload is taken. Each
        candidate is looked at once, the weakest so far kept: summed anew for each
        number, a choice among 312 took 34.8 ms when more was asked than all can
        carry, and takes 1.0 ms (mean of 50, whole core).
        """
        best_count, best_load = self.min_count, math.inf
        max_hosts_needed = 0.0
        for count, candidate in enumerate(self.ordered, 1):
            max_hosts_needed = max(max_hosts_needed, _hosts_needed(candidate, demand))
            load = max_hosts_needed / count
            if count >= self.min_count and load < best_load:
                best_count, best_load = count, load
            if best_load <= 1.0:
                break
        return self.ordered[:best_count]


def choose(
    candidates: abc.Iterable[Candidate], demand: workload.Work, min_per_zone: int
) -> list[Candidate]:
    """
    Return the active gateways.

    Each zone gives its ``min_per_zone`` strongest; the next strongest of all
    zones follow while an even share of ``demand`` is more than the weakest
    chosen one can carry.
    """
    return rank(candidates, min_per_zone).active(demand)


def rank(candidates: abc.Iterable[Candidate], min_per_zone: int) -> Ranking:
    """Return the candidates in the order in which they become active."""
    chosen, rest = _split(candidates, min_per_zone)
    return Ranking(chosen + rest, len(chosen))


def precedence(host: ids.HostId) -> float:
    """Return which share of equally strong hosts becomes active before this one."""
    score, _ = rendezvous.score(TIE_SALT, host)
    return 1.0 - score / rendezvous.SCORES


def _split(
    candidates: abc.Iterable[Candidate], min_per_zone: int
) -> tuple[list[Candidate], list[Candidate]]:
    """Return the strongest of each zone and the rest, both strongest first."""
    count_by_zone: dict[ids.ZoneName, int] = {}
    chosen: list[Candidate] = []
    rest: list[Candidate] = []
    for candidate in sorted(candidates, key=_strength, reverse=True):
        count = count_by_zone.get(candidate.zone, 0)
        count_by_zone[candidate.zone] = count + 1
        (chosen if count < min_per_zone else rest).append(candidate)
    return chosen, rest


def _strength(candidate: Candidate) -> tuple[int, tuple[int, str]]:
    """Order by capacity in tiers, and by rendezvous hashing within a tier."""
    capacity = 1.0 / _hosts_needed(candidate, workload.Work(1.0, BYTES_PER_REQUEST))
    tier = math.floor(math.log(capacity, TIER_FACTOR))
    return tier, rendezvous.score(TIE_SALT, candidate.host)


def _hosts_needed(candidate: Candidate, demand: workload.Work) -> float:
    """Return how many such hosts the demand needs."""
    capacity = candidate.capacity
    return max(
        demand.requests_per_s / max(MIN_CAPACITY, capacity.requests_per_s),
        demand.bytes_per_s / max(MIN_CAPACITY, capacity.bytes_per_s),
    )
