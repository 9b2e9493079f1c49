"""Properties of gateways that reach no upstream, without processes."""

import asyncio

import msgspec

from features.steps import kernel
from features.support import free_ports, served_gateway, started_gateway
from spindlenotch import clock, ids, ports
from spindlenotch.drivers import upstream_http
from spindlenotch.gateway import state as states
from spindlenotch.gateway.cluster import fleet as fleets, isolation, observed_port
from spindlenotch.kernel import reachability, target_trials
from spindlenotch.peers import messages

START = ids.Instant(100.0)
UPSTREAMS = [ids.Address(f"127.0.0.1:{number}") for number in range(1, 5)]
PEERS = ("p1", "p2")


def ready_fleet() -> tuple[states.GatewayState, fleets.Fleet]:
    """Return a gateway that is ready, with two ready peers of its zone."""
    state, relay = started_gateway.gateway(started_gateway.SEED)
    for name in PEERS:
        started_gateway.peer(state, name, messages.Status.READY)
    state.gossip.set_status(messages.Status.READY, 1)
    return state, relay.fleet


def hear_isolated(state: states.GatewayState, host: str) -> None:
    """Let the gateway hear that a peer reaches no upstream."""
    record = state.gossip.known_by_host[ids.HostId(host)].record
    later = msgspec.structs.replace(
        record, heartbeat=record.heartbeat + 1, is_isolated=True
    )
    state.gossip.handle(messages.Message(later, 2), state.clock.now())


def isolated_links() -> reachability.Reachability:
    """Return the links of a process that has just become isolated."""
    links = reachability.Reachability(START)
    began_at, ended_at = ids.later(START, 0.1), ids.later(START, 0.35)
    assert links.checked(began_at, ended_at, can_connect=False)
    return links


@kernel.PROPERTIES.register("callers are not told of a gateway without upstreams")
def not_named() -> None:
    state, fleet = ready_fleet()
    (first,) = fleet.active_zones()
    if first in PEERS:
        hear_isolated(state, first)
    else:
        state.gossip.set_isolated(is_isolated=True)
    assert first not in fleet.active_zones()
    assert len(fleet.active_addresses()) == 1


@kernel.PROPERTIES.register("callers are told of some where none reaches an upstream")
def still_named() -> None:
    state, fleet = ready_fleet()
    before = fleet.active_zones()
    for name in PEERS:
        hear_isolated(state, name)
    state.gossip.set_isolated(is_isolated=True)
    assert fleet.active_zones() == before
    assert not fleet.view().isolated
    assert not fleet.handover_addresses()


@kernel.PROPERTIES.register("a gateway without upstreams probes none for others")
def probes_none() -> None:
    state, fleet = ready_fleet()
    state.gossip.set_isolated(is_isolated=True)
    local = state.local_member
    assert local.host not in fleet.view().probing_by_zone[local.zone]
    # It reaches the source, and may go on reading it.
    assert local.host in fleet.view().standby_by_zone[local.zone]
    assert fleet.handover_addresses()


@kernel.PROPERTIES.register("failures of several upstreams call for a check of links")
def failures_suspect() -> None:
    links = reachability.Reachability(START)
    for address in UPSTREAMS[:2] * 3:
        links.lost(address)
    assert not links.is_suspect()
    links.lost(UPSTREAMS[2])
    assert links.is_suspect()
    assert links.is_check_due(START, others_isolated=False)
    links.heard(START, new_connection=False)
    assert not links.is_suspect()


@kernel.PROPERTIES.register("open connections do not hide that new ones are refused")
def refused_suspect() -> None:
    links = reachability.Reachability(START)
    for address in UPSTREAMS[:3]:
        links.connect_failed(address)
        links.heard(START, new_connection=False)
    assert links.is_suspect()
    began_at, ended_at = ids.later(START, 0.1), ids.later(START, 0.2)
    links.heard(ended_at, new_connection=False)
    assert links.checked(began_at, ended_at, can_connect=False) and links.is_isolated
    links = reachability.Reachability(START)
    for address in UPSTREAMS[:3]:
        links.connect_failed(address)
    links.heard(START, new_connection=True)
    assert not links.is_suspect()


@kernel.PROPERTIES.register("open connections do not hide that new ones hang")
def unconnected_suspect() -> None:
    links = reachability.Reachability(START)
    links.started(START, new_connection=True)
    overdue = ids.later(START, reachability.MAX_SILENCE_S + 0.01)
    links.started(START, new_connection=False)
    links.heard(overdue, new_connection=False)
    assert links.is_check_due(overdue, others_isolated=False)
    links.heard(overdue, new_connection=True)
    assert not links.is_check_due(overdue, others_isolated=False)


@kernel.PROPERTIES.register("a slow response to a check is no isolation beside others")
def slow_response() -> None:
    links = reachability.Reachability(START)
    later = ids.later(START, 0.25)
    links.heard(later, new_connection=False)
    assert not links.checked(START, later, can_connect=True)
    assert not links.is_isolated


@kernel.PROPERTIES.register("silence calls for a check only while a response is due")
def silence_suspect() -> None:
    links = reachability.Reachability(START)
    later = ids.later(START, 1.0)
    assert not links.is_check_due(later, others_isolated=False)
    links.started(later, new_connection=False)
    in_time = ids.later(later, reachability.MAX_SILENCE_S - 0.01)
    assert not links.is_check_due(in_time, others_isolated=False)
    overdue = ids.later(later, reachability.MAX_SILENCE_S + 0.01)
    assert links.is_check_due(overdue, others_isolated=False)
    links.ended(new_connection=False)
    assert not links.is_check_due(overdue, others_isolated=False)
    idle = ids.later(START, reachability.MAX_IDLE_NEAR_ISOLATED_S + 0.01)
    assert links.is_check_due(idle, others_isolated=True)


@kernel.PROPERTIES.register("links that come and go end an isolation late")
def ends_late() -> None:
    links = isolated_links()
    now = ids.later(START, 1.0)
    for is_good in (True, False, True):
        if is_good:
            links.heard(now, new_connection=True)
        assert not links.checked(now, now, can_connect=is_good) and links.is_isolated
        now = ids.later(now, 0.5)
    links.heard(now, new_connection=True)
    assert links.checked(now, now, can_connect=True) and not links.is_isolated


def trial_count(trials: target_trials.TargetTrials, for_s: float) -> int:
    """Return how many trials begin in a time in which no target responds."""
    count, now = 0, START
    end = ids.later(START, for_s)
    while now < end:
        count += trials.begin_trial(UPSTREAMS, now) is not None
        now = ids.later(now, 0.01)
    return count


@kernel.PROPERTIES.register("few requests are handed over while nobody serves them")
def few_trials() -> None:
    trials = target_trials.TargetTrials()
    for_s = 60.0
    assert 5 <= trial_count(trials, for_s) <= for_s / 2 + 5
    assert not trials.serving(UPSTREAMS)


@kernel.PROPERTIES.register("a gateway that does not respond holds up no other trial")
def trial_of_silent() -> None:
    trials = target_trials.TargetTrials()
    silent = trials.begin_trial(UPSTREAMS, START)
    later = ids.later(START, target_trials.MIN_INTERVAL_S)
    assert trials.begin_trial(UPSTREAMS, later) not in (silent, None)


@kernel.PROPERTIES.register("a gateway that serves is used until it fails")
def used_until_failed() -> None:
    trials = target_trials.TargetTrials()
    first = trials.begin_trial(UPSTREAMS, START)
    assert first is not None
    trials.succeeded(first)
    assert trials.serving(UPSTREAMS) == [first]
    later = ids.later(START, target_trials.MIN_INTERVAL_S)
    second = trials.begin_trial(UPSTREAMS, later)
    assert second not in (first, None)
    trials.failed(first, later)
    assert not trials.serving(UPSTREAMS)
    latest = ids.later(later, target_trials.MAX_INTERVAL_S)
    assert trials.begin_trial(UPSTREAMS, latest) not in (first, second, None)
    # One that has left the fleet in the meantime is tried anew.
    trials.succeeded(UPSTREAMS[0])
    assert not trials.serving(UPSTREAMS[1:]) and not trials.serving(UPSTREAMS)


class SilentPort:
    """Upstreams that never respond, whatever is asked."""

    def __init__(self) -> None:
        self.probes = 0

    async def send(
        self, request: ports.UpstreamRequest
    ) -> ports.UpstreamAnswer | ports.UpstreamFault:
        """Fail as a connection that is refused."""
        return ports.UpstreamFault.CONNECT_FAILED

    async def probe(
        self, address: ids.Address, timeout_s: float, path: str | None = None
    ) -> ports.UpstreamFault:
        """Fail after a while, during which the process stood still."""
        self.probes += 1
        return ports.UpstreamFault.CONNECTION_LOST

    async def liveness(self, address: ids.Address, timeout_s: float) -> ports.Liveness:
        """Find no process."""
        return ports.Liveness.GONE

    def close_idle(self, address: ids.Address) -> None:
        """Keep none."""

    async def close(self) -> None:
        """Do nothing."""


class CrashedPort(SilentPort):
    """Upstreams of which all but ``alive`` have crashed."""

    def __init__(self, alive: ids.Address) -> None:
        super().__init__()
        self.alive = alive

    async def liveness(self, address: ids.Address, timeout_s: float) -> ports.Liveness:
        """Refuse connections, but at the one that is alive."""
        is_alive = address == self.alive
        return ports.Liveness.ALIVE if is_alive else ports.Liveness.REFUSED


@kernel.PROPERTIES.register("a check of links does not rely on crashed upstreams")
def crashed_upstreams() -> None:
    state, relay = started_gateway.gateway(started_gateway.SEED)
    assert isinstance(state.clock, clock.ManualClock)
    state.apply_snapshot(served_gateway.snapshot(state.config.zone, upstream_count=40))
    (balancer,) = state.balancer_by_service.values()
    links = reachability.Reachability(state.clock.now())
    port = CrashedPort(ids.Address("127.0.0.1:1"))
    observed = observed_port.ObservedPort(port, links, state.clock)
    watched = isolation.Isolation(state, observed, relay.link)
    for last_heard in list(balancer.pool.usable_order)[:5]:
        state.clock.advance(1.0)
        last_heard.liveness.reported(state.clock.now())
        port.alive = last_heard.spec.address
        assert not asyncio.run(watched.is_isolated_since(state.clock.now()))
    state.clock.advance(1.0)
    port.alive = ids.Address("127.0.0.1:1")
    assert asyncio.run(watched.is_isolated_since(state.clock.now()))


@kernel.PROPERTIES.register("a check of liveness tells what becomes of a connection")
def liveness_results() -> None:
    async def check() -> None:
        port = upstream_http.HttpUpstreamPort()

        async def found(*, closes: bool) -> ports.Liveness:
            async def serve(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                if not closes:
                    await reader.read()
                writer.close()

            server = await asyncio.start_server(serve, free_ports.LOOPBACK, 0)
            host, number = server.sockets[0].getsockname()
            address = ids.Address(f"{host}:{number}")
            result = await port.liveness(address, 0.2)
            server.close()
            assert await port.liveness(address, 0.2) is ports.Liveness.REFUSED
            return result

        try:
            assert await found(closes=True) is ports.Liveness.GONE
            assert await found(closes=False) is ports.Liveness.SILENT
        finally:
            await port.close()

    asyncio.run(check())


@kernel.PROPERTIES.register("a gateway that knows no upstream is not isolated")
def knows_none() -> None:
    state, relay = started_gateway.gateway(started_gateway.SEED)
    assert isinstance(state.clock, clock.ManualClock)
    links = reachability.Reachability(state.clock.now())
    silent = SilentPort()
    observed = observed_port.ObservedPort(silent, links, state.clock)
    watched = isolation.Isolation(state, observed, relay.link)

    async def is_isolated() -> bool:
        return await watched.is_isolated_since(state.clock.now())

    assert not asyncio.run(is_isolated())
    assert silent.probes == 0
