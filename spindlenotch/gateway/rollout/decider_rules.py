"""
Who decides on an order, and what is to become of its status.

Pure. The decider is the first by rendezvous hashing of the gateways that are ready,
standby ones before active ones; differing views give two for a while, which do no harm:
a status is written under a condition, and states only go forward.
"""

import random
from collections import abc

from spindlenotch import ids
from spindlenotch.gateway.cluster import fleet
from spindlenotch.gateway.source import sources
from spindlenotch.kernel import ownership, rendezvous
from spindlenotch.peers import rollout_notes

#: Salt of the hash; part of the choice, so gateways of two releases must agree on it.
SALT = "rollout"
#: The decider and those that take over from it.
CANDIDATE_COUNT = 3
#: Gateways beside the decider that get a record each round, drawn anew each time: so
#: each may judge for itself soon in a small fleet, and what one sends does not grow.
OTHERS_PER_ROUND = 2
#: The decider is chosen among all gateways, whatever their zone.
ANY_ZONE = ids.ZoneName("")


def candidates(service: ids.ServiceName, view: fleet.View) -> list[ids.HostId]:
    """Return who decides on a service's order, and who would next."""
    ready = {record.host for record in view.ready}
    standby = ready - view.active_zones.keys()
    chosen = _chosen(service, standby, CANDIDATE_COUNT)
    missing = CANDIDATE_COUNT - len(chosen)
    return chosen + _chosen(service, ready - standby, missing)


def recipients(
    active: abc.Collection[ids.HostId],
    known_candidates: abc.Sequence[ids.HostId],
    rng: random.Random,
) -> list[ids.HostId]:
    """
    Return who is told in this round what a gateway counted.

    Records are cumulative: the next decider gets all of it within one round.
    """
    decider = known_candidates[:1]
    others = sorted({*active, *known_candidates} - {*decider})
    return [*decider, *rng.sample(others, min(OTHERS_PER_ROUND, len(others)))]


def next_state(
    known: sources.RolloutState | None,
    phase: rollout_notes.Phase,
    *,
    is_complete: bool,
) -> sources.RolloutState | None:
    """Return what is to be written after the ``known`` state; None: nothing."""
    if known in (sources.RolloutState.COMPLETED, sources.RolloutState.ROLLED_BACK):
        return None
    if phase is rollout_notes.Phase.ROLLED_BACK:
        return sources.RolloutState.ROLLED_BACK
    if is_complete:
        return sources.RolloutState.COMPLETED
    if known is None:
        return sources.RolloutState.RUNNING
    return None


def _chosen(
    service: ids.ServiceName, hosts: abc.Iterable[ids.HostId], count: int
) -> list[ids.HostId]:
    members = [ownership.Member(ANY_ZONE, host) for host in sorted(hosts)]
    return rendezvous.chosen(members, ANY_ZONE, f"{SALT}/{service}", count)
