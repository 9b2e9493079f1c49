"""
Detects that this gateway reaches no upstream, and tells its peers.

``observed_port`` notes what requests and probes show; a check probes several upstreams,
each over a new connection, before it counts. Peers leave an isolated gateway out of the
directory and give it no probing duty, unless all are isolated (see ``fleet``).
``kernel.reachability`` has the rules.
"""

import asyncio
from collections import abc

from spindlenotch import events, ids, ports
from spindlenotch.gateway import state
from spindlenotch.gateway.cluster import observed_port
from spindlenotch.kernel import upstreams
from spindlenotch.peers import peer_link

#: Seconds between two looks at whether a check is due.
PERIOD_S = 0.2
#: Upstreams probed in a check, of different services and zones where possible.
UPSTREAMS_PER_CHECK = 3
#: Timeout of a check, in seconds.
CHECK_TIMEOUT_S = 0.25
#: Delay in seconds above which a check says nothing, as this process did not run.
MAX_CHECK_DELAY_S = 0.15
#: Peers that are told at once; gossip tells the others.
ANNOUNCED_PEERS = 16

#: What a probe finds if no connection was established.
NOT_CONNECTED = (ports.Liveness.REFUSED, ports.Liveness.UNCONNECTED)

#: An upstream to probe, with its service.
Target = tuple[ids.ServiceName, upstreams.Upstream]
#: Called when this gateway becomes isolated.
IsolationListener = abc.Callable[[], None]


class Isolation:
    """
    Checks the links to the upstreams and publishes whether this gateway is isolated.

    Invariant: at most one check is under way.
    """

    def __init__(
        self,
        gateway_state: state.GatewayState,
        port: observed_port.ObservedPort,
        link: peer_link.PeerLink,
    ) -> None:
        self.state = gateway_state
        self.port = port
        self.links = port.links
        self.link = link
        self._check: asyncio.Task[None] | None = None
        self._listeners: list[IsolationListener] = []
        self._members_revision: int | None = None
        self._isolated_peer = False
        port.on_failure = self._failure_noted

    def add_listener(self, listener: IsolationListener) -> None:
        """Call ``listener`` whenever this gateway becomes isolated."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Check the links whenever that is due, until cancelled."""
        while True:
            now = self.state.clock.now()
            others_isolated = self._has_isolated_peer()
            if self.links.is_check_due(now, others_isolated=others_isolated):
                await self._join_check()
            await self.state.wakeups.sleep(PERIOD_S)

    async def is_isolated_since(self, since: ids.Instant) -> bool:
        """
        Return whether no upstream is reached; check it unless that is known.

        It is known that this gateway is not isolated if an upstream has responded over
        a new connection after ``since``.
        """
        if self.links.is_isolated:
            return True
        if self.links.connected_at > since:
            return False
        await self._join_check()
        return self.links.is_isolated

    def _has_isolated_peer(self) -> bool:
        gossip = self.state.gossip
        if gossip.members_revision != self._members_revision:
            self._members_revision = gossip.members_revision
            self._isolated_peer = any(
                peer.record.is_isolated for peer in gossip.known_by_host.values()
            )
        return self._isolated_peer

    def _failure_noted(self) -> None:
        if self.links.is_suspect():
            self._start_check()

    def _start_check(self) -> asyncio.Task[None]:
        if self._check is None or self._check.done():
            self._check = asyncio.ensure_future(self._run_check())
        return self._check

    async def _join_check(self) -> None:
        # A caller that disconnects must not cancel the check for the others.
        await asyncio.shield(self._start_check())

    async def _run_check(self) -> None:
        targets = self._targets()
        if not targets:
            return
        now = self.state.clock.now
        began_at = now()
        if self.links.is_idle():
            # One probe nearly always suffices, and most gateways are idle.
            if await self._probe(*targets[0]) is ports.Liveness.ALIVE:
                self.links.checked(began_at, now(), can_connect=True)
                return
            began_at = now()
        found = await self._probe_all(targets)
        can_connect = any(one not in NOT_CONNECTED for one in found)
        if ports.Liveness.ALIVE not in found:
            events.emit(
                events.Event.LINKS_CHECKED,
                probed=len(found),
                connected=sum(one not in NOT_CONNECTED for one in found),
            )
        if now() - began_at > CHECK_TIMEOUT_S + MAX_CHECK_DELAY_S:
            return
        if self.links.checked(began_at, now(), can_connect=can_connect):
            self._publish()

    async def _probe_all(self, targets: list[Target]) -> list[ports.Liveness]:
        """Probe upstreams until one responds or all results are known; return these."""
        found: list[ports.Liveness] = []
        probes = [asyncio.ensure_future(self._probe(*target)) for target in targets]
        try:
            for probe in asyncio.as_completed(probes):
                found.append(await probe)
                if found[-1] is ports.Liveness.ALIVE:
                    break
        finally:
            for unfinished in probes:
                unfinished.cancel()
        return found

    def _targets(self) -> list[Target]:
        """
        Return the upstreams to check, of different services and zones.

        Those that were heard of last are preferred: one that has crashed shows nothing
        of the links.
        """
        left = [
            (name, upstream)
            for name, balancer in self.state.balancer_by_service.items()
            for upstream in balancer.pool.usable_order
        ]
        self.state.rng.shuffle(left)
        chosen: list[Target] = []
        while left and len(chosen) < UPSTREAMS_PER_CHECK:
            services = {service for service, _ in chosen}
            zones = {upstream.spec.zone for _, upstream in chosen}
            best = min(
                left,
                key=lambda one: (
                    one[0] in services,
                    one[1].spec.zone in zones,
                    -one[1].liveness.heard_at,
                ),
            )
            left.remove(best)
            chosen.append(best)
        return chosen

    async def _probe(
        self, service: ids.ServiceName, upstream: upstreams.Upstream
    ) -> ports.Liveness:
        self.state.metrics.probes.labels(service).inc()
        return await self.port.liveness(upstream.spec.address, CHECK_TIMEOUT_S)

    def _publish(self) -> None:
        """Tell peers, and undo what the isolation made this gateway believe."""
        is_isolated = self.links.is_isolated
        self.state.gossip.set_isolated(is_isolated=is_isolated)
        targets = self.state.gossip.random_targets(ANNOUNCED_PEERS)
        self.link.send(self.state.gossip.compose(), targets)
        self.state.metrics.isolated.set(is_isolated)
        host = self.state.config.host
        if is_isolated:
            events.emit(events.Event.UPSTREAMS_UNREACHABLE, host=host)
            for listener in self._listeners:
                listener()
        else:
            events.emit(events.Event.UPSTREAMS_REACHED, host=host)
            self.state.services.end_ejections(self.state.clock.now())
