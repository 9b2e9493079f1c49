"""
Which gateway decides on an order, and which status it writes.

Performs no I/O and reads no clock. The decider is the first by rendezvous hashing of
the ready gateways, standby ones before active ones. Different views may give two
deciders for a while, which does no harm: status writes are conditional, and states only
move forward.
"""

import random
from collections import abc

from spindlenotch import ids
from spindlenotch.gateway.cluster import fleet
from spindlenotch.gateway.source import sources
from spindlenotch.kernel import ownership, rendezvous
from spindlenotch.peers import rollout_notes

#: Salt of the hash, on which gateways of two releases must agree to choose alike.
SALT = "rollout"
#: Number of candidates: the decider and those that take over from it.
CANDIDATE_COUNT = 3
#: Gateways besides the decider that are sent a record each round, drawn anew each time:
#: in a small fleet each gateway soon has the evidence, and the messages that one
#: gateway sends do not grow with the fleet.
OTHERS_PER_ROUND = 2
#: Zone of all candidates, as the choice does not depend on their zone.
ANY_ZONE = ids.ZoneName("")


def candidates(service: ids.ServiceName, view: fleet.View) -> list[ids.HostId]:
    """Return the decider of a service's order, followed by its successors."""
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
    Return the gateways to which a gateway sends its counts in this round.

    Records are cumulative: a new decider has all counts within one round.
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
    """Return the state to be written after the ``known`` one, None for no write."""
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
    return rendezvous.assigned_hosts(members, ANY_ZONE, f"{SALT}/{service}", count)
