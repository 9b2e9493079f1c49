"""
Drain notices: upstreams that said themselves that they take no new work.

Owns nothing: gossip keeps the notices and passes them on, the balancers'
pools obey them. A notice holds for one generation of an upstream and is
dropped once the host list shows a later one or no longer shows the upstream.
"""

from spindlenotch import ids
from spindlenotch.decisions import balancer
from spindlenotch.kernel import hostlist
from spindlenotch.peers import gossip, messages


class DrainNotices:
    """Keeps the pools in line with the drain notices that gossip holds."""

    def __init__(
        self,
        local_gossip: gossip.Gossip,
        balancer_by_service: dict[ids.ServiceName, balancer.Balancer],
    ) -> None:
        self.gossip = local_gossip
        self.balancer_by_service = balancer_by_service

    def add(self, notice: messages.DrainNotice, reason: str) -> bool:
        """Give an upstream no new work; tell whether that is new."""
        is_new = self.gossip.add_drain_notice(notice)
        self.apply(notice, reason)
        return is_new

    def apply(self, notice: messages.DrainNotice, reason: str) -> None:
        """Apply a notice that gossip already holds to its service's pool."""
        service = self.balancer_by_service.get(notice.service)
        if service is not None:
            service.pool.leave(notice.upstream, notice.generation, reason)

    def reapply(self, hosts: hostlist.HostTable) -> None:
        """Apply all notices to a new list; drop those it has superseded."""
        generation_by_id = {host.id: host.generation for host in hosts.hosts}
        superseded = []
        for notice in self.gossip.repeats_by_drain_notice:
            later = notice.generation + 1
            if generation_by_id.get(notice.upstream, later) > notice.generation:
                superseded.append(notice)
                continue
            self.apply(notice, "drain notice received earlier")
        self.gossip.forget_drain_notices(superseded)
