"""Which load reports a gateway passes on to the others, and how often."""

import math

from features.steps import kernel
from features.support import started_gateway
from spindlenotch import clock, ids
from spindlenotch.gateway.cluster import load_exchange, report_filter
from spindlenotch.gateway.source import routing, sources
from spindlenotch.kernel import upstreams
from spindlenotch.peers import messages

UPSTREAM = ids.UpstreamId("u")
SERVICE = ids.ServiceName("s")
#: Seconds between two probes of one upstream.
PROBE_S = 1 / 15


class Sharing:
    """A gateway that probes one upstream, and what it sends of that."""

    def __init__(self) -> None:
        state, relayed = started_gateway.gateway(started_gateway.SEED)
        assert isinstance(state.clock, clock.ManualClock)
        self.clock = state.clock
        started_gateway.peer(state, "active", messages.Status.READY)
        listed = sources.ListedUpstream(
            id=UPSTREAM,
            service=SERVICE,
            address=ids.Address("127.0.0.1:9"),
            zone=ids.ZoneName(started_gateway.ZONE),
            slots=6,
            state=sources.UpstreamState.READY,
            cold_s=0.0,
        )
        configuration = routing.Configuration(
            1,
            (),
            {SERVICE: routing.ServiceSpec(SERVICE, "/health", 100)},
            routing.Limits(),
        )
        state.apply_snapshot(sources.Snapshot(1, configuration, {UPSTREAM: listed}))
        self.pool = state.balancer_by_service[SERVICE].pool
        self.sharing = load_exchange.LoadExchange(
            state, relayed.fleet, relayed.link, {UPSTREAM}
        )
        self.sent: list[int] = []
        relayed.link.send = lambda message, targets: self.sent.extend(  # type: ignore[method-assign]
            load.running for load in message.loads
        )

    def probe(self, running: int, slowdown: float = 1.0) -> None:
        """Let time pass until the next probe, and send what it reports."""
        self.clock.advance(PROBE_S)
        report = upstreams.LoadReport(running, 0, slowdown)
        upstream = self.pool.upstream_by_id[UPSTREAM]
        self.pool.reported(upstream, report, self.clock.now())
        for _ in range(2):
            self.sharing._send(self.sharing.fleet.active_zones())


@kernel.PROPERTIES.register("a load report that tells nothing new is sent now and then")
def repeated() -> None:
    playing = Sharing()
    for _ in range(15):
        playing.probe(2)
    seconds = 15 * PROBE_S
    most = math.ceil(seconds / report_filter.REPEAT_S)
    assert most - 2 <= len(playing.sent) <= most, playing.sent
    for running in (3, 4, 5):
        playing.probe(running)
        assert playing.sent[-1] == running
    playing.probe(5, slowdown=7.0)
    assert playing.sent[-2:] == [5, 5]


@kernel.PROPERTIES.register("that an upstream is full or slowed is sent each time")
def full() -> None:
    for running, slowdown in ((6, 1.0), (0, 7.0)):
        playing = Sharing()
        for _ in range(15):
            playing.probe(running, slowdown)
        assert len(playing.sent) == 15, playing.sent


@kernel.PROPERTIES.register("nothing is kept of the reports of upstreams that are gone")
def forgotten() -> None:
    filtered = report_filter.ReportFilter()
    for number in range(200):
        spec = upstreams.UpstreamSpec(
            ids.UpstreamId(f"u{number}"),
            ids.ZoneName(started_gateway.ZONE),
            ids.Address("127.0.0.1:9"),
            1,
        )
        upstream = upstreams.Upstream(spec, 6, kernel.NOW, lambda changed: None)
        assert filtered.due([upstream], kernel.NOW) == [upstream]
        assert filtered.due([upstream], kernel.NOW) == []
    assert len(filtered._sent_by_id) <= 2
