"""
Which gateways callers are sent to: as few as can carry what is asked.

Few gateways see most of what an upstream does; but callers spread evenly over
those that they are told of, so that the weakest one sets what all can carry.
Pure: equal views give equal choices.
"""

import dataclasses
import math
from collections import abc

from spindlenotch import ids
from spindlenotch.kernel import rendezvous
from spindlenotch.peers import workload

DUTY = "entries"
#: How much of a host's processor and of its link callers' requests may take on
#: average; uploads come in clumps, which a link carries one after the other.
PROCESSOR_SHARE = 0.7
LINK_SHARE = 0.25
#: Requests a second that one processor core carries (docs/CAPACITY.md).
REQUESTS_PER_CORE = 700.0
BYTES_PER_MBIT = 125_000.0
#: Bytes of a request by which hosts are compared before there is any demand.
BYTES_PER_REQUEST = 8_000.0
#: Hosts in the same power of this factor are taken for equally strong.
TIER_FACTOR = 1.5
#: What a host is taken to carry that does not say so, or says nonsense.
LEAST_CARRIED = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A gateway that could be an entry, and what it can carry."""

    host: ids.HostId
    zone: ids.ZoneName
    capacity: workload.Work


def capacity_of(cores: float, link_mbps: float) -> workload.Work:
    """Return what a host can carry for callers all the time."""
    return workload.Work(
        PROCESSOR_SHARE * REQUESTS_PER_CORE * cores,
        LINK_SHARE * BYTES_PER_MBIT * link_mbps,
    )


def choose(
    candidates: abc.Iterable[Candidate], demand: workload.Work, least_per_zone: int
) -> list[Candidate]:
    """
    Return the entries.

    Each zone gives its ``least_per_zone`` strongest; the next strongest of all
    follow while an even share is more than the weakest chosen can carry. Where
    no number is enough, the one with the least overload is taken.
    """
    ordered = sorted(candidates, key=_strength, reverse=True)
    of_zone: dict[ids.ZoneName, int] = {}
    chosen: list[Candidate] = []
    spare: list[Candidate] = []
    for candidate in ordered:
        taken = of_zone.get(candidate.zone, 0)
        of_zone[candidate.zone] = taken + 1
        (chosen if taken < least_per_zone else spare).append(candidate)
    best, best_load = len(chosen), _load(chosen, demand)
    for count in range(len(chosen) + 1, len(ordered) + 1):
        if best_load <= 1.0:
            break
        load = _load(chosen + spare[: count - len(chosen)], demand)
        if load < best_load:
            best, best_load = count, load
    return chosen + spare[: best - len(chosen)]


def _strength(candidate: Candidate) -> tuple[int, tuple[int, str]]:
    """Order by capacity in steps, and by rendezvous hashing within a step."""
    carried = 1.0 / _share(candidate, workload.Work(1.0, BYTES_PER_REQUEST))
    tier = math.floor(math.log(carried, TIER_FACTOR))
    return tier, rendezvous.score(DUTY, candidate.host)


def _load(chosen: abc.Sequence[Candidate], demand: workload.Work) -> float:
    """Return the load of the weakest, one being what it can carry."""
    shares = (_share(candidate, demand) for candidate in chosen)
    return max(shares, default=0.0) / max(1, len(chosen))


def _share(candidate: Candidate, demand: workload.Work) -> float:
    """Return how many such hosts the demand needs."""
    capacity = candidate.capacity
    return max(
        demand.requests_per_s / max(LEAST_CARRIED, capacity.requests_per_s),
        demand.bytes_per_s / max(LEAST_CARRIED, capacity.bytes_per_s),
    )
