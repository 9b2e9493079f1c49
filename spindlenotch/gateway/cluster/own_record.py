"""
The member record of this gateway, which it sends to its peers.

Every gossip message carries it. Its status and version follow the phase of the gateway
state; ``active_set`` compares its capacity.
"""

import random

from spindlenotch import clock, ids
from spindlenotch.gateway import lifecycle, settings
from spindlenotch.gateway.cluster import active_set
from spindlenotch.peers import messages

STATUS_BY_PHASE = {
    lifecycle.Phase.STARTING: messages.Status.STARTING,
    lifecycle.Phase.SERVING: messages.Status.READY,
    lifecycle.Phase.LEAVING: messages.Status.LEAVING,
}


def initial_record(
    config: settings.GatewaySettings, rng: random.Random, gateway_clock: clock.Clock
) -> messages.MemberRecord:
    """
    Return the record of a process that is starting.

    ``epoch`` is the time of its start in milliseconds of Unix time: the records of a
    later process on the same host supersede it.
    """
    return messages.MemberRecord(
        host=config.host,
        zone=config.zone,
        incarnation=ids.Incarnation(f"{rng.getrandbits(64):016x}"),
        address=config.listen,
        peer_address=config.peer_listen,
        epoch=int(gateway_clock.unix_s() * 1000),
        heartbeat=0,
        status=messages.Status.STARTING,
        configuration_version=0,
        capacity=active_set.capacity_of(config.cores, config.link_mbps),
    )
