"""
Pools of gateways that share the rates which upstreams take from all of them.
"""

import random

from features.steps import kernel
from spindlenotch import ids
from spindlenotch.decisions import balancer, least_latency
from spindlenotch.kernel import (
    extra_budgets,
    ownership,
    service_policy,
    shared_rate,
    upstream_pool,
    upstreams,
)

NOW = kernel.NOW
ZONE = kernel.ZONES[0]
UPSTREAMS = 300
COLD_SHARE = 1 / 3
#: Requests a second that a cold upstream bears, and for how long it is cold.
ALLOWED_PER_S, COLD_S = 4.5, 3.0


def policy() -> service_policy.ServicePolicy:
    """Return a service whose cold upstreams bear a bounded rate."""
    return service_policy.ServicePolicy(
        name=ids.ServiceName("s"),
        zones=(ZONE,),
        slots=4,
        typical_s=0.11,
        selection=least_latency.NAME,
        extra=extra_budgets.SharedWindow(share=0.0, reserve=0, window_s=10.0),
        queue_limit=100,
        eject_share=0.5,
        cold_rate_per_s=ALLOWED_PER_S,
        cold_start_s=3.0,
    )


def specs(count: int, cold_s: float) -> list[upstreams.UpstreamSpec]:
    """Return upstreams, the first third of them cold for ``cold_s`` seconds."""
    cold = int(count * COLD_SHARE)
    return [
        upstreams.UpstreamSpec(
            ids.UpstreamId(f"u{n}"),
            ZONE,
            ids.Address(""),
            1,
            4,
            ids.later(NOW, cold_s if n < cold else 0.0),
        )
        for n in range(count)
    ]


def host(number: int) -> ids.HostId:
    """Return the name of a gateway."""
    return ids.HostId(f"g{number}")


def view(*hosts: ids.HostId) -> shared_rate.View:
    """Return a view in which ``hosts`` share rates."""
    members = [ownership.Member(ZONE, one) for one in hosts]
    return shared_rate.View(tuple(members), len(members))


def pool_of(number: int) -> upstream_pool.Pool:
    """Return the pool of one gateway."""
    member = ownership.Member(ZONE, host(number))
    made = upstream_pool.Pool(policy(), member, random.Random(number))
    made.set_listed(specs(UPSTREAMS, COLD_S), NOW)
    return made


def balancer_of(count: int) -> balancer.Balancer:
    """Return the balancer of one gateway with ``count`` upstreams, none cold."""
    member = ownership.Member(ZONE, host(0))
    made = balancer.Balancer(policy(), member, random.Random(1))
    made.pool.set_listed(specs(UPSTREAMS, 0.0)[-count:], NOW)
    return made
