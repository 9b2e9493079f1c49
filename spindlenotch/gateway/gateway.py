"""
The gateway as a whole: assembles its state, background loops and ports.

Owns the order of startup and shutdown, and the tasks of the loops. ``create``
builds a gateway from settings with the drivers that they name; decisions are made
in the modules of the parts.
"""

import asyncio

from spindlenotch import clock, events, ports
from spindlenotch.drivers import upstream_http
from spindlenotch.forwarding import data_path
from spindlenotch.gateway import (
    dialect,
    limit_report,
    loop_lateness,
    retry_budget_report,
    settings,
    side_ports,
    state,
)
from spindlenotch.gateway.cluster import (
    fleet,
    isolation,
    load_exchange,
    membership,
    observed_port,
    prober,
    rate_sharers,
    region_loads,
)
from spindlenotch.gateway.quarantine import sharing, writer
from spindlenotch.gateway.rollout import loop as rollout_loop
from spindlenotch.gateway.serving import (
    handover,
    ingress,
    job_factory,
    request_processing,
)
from spindlenotch.gateway.source import discovery, relay, source_reader, sources
from spindlenotch.kernel import reachability
from spindlenotch.peers import background

#: Seconds between ticks of the state. Not shorter, since even idle loops use CPU time.
TICK_S = 0.2
#: Seconds between checks for requests in flight during a planned stop.
DRAIN_CHECK_S = 0.02
#: Minimum time for connections to close, in seconds.
MIN_CLOSE_S = 0.05


class Gateway:
    """
    The parts of one gateway and their order of startup and shutdown.

    Invariant: all ports are open before the gateway can become ready, and the port
    for callers closes last.
    """

    def __init__(
        self,
        gateway_state: state.GatewayState,
        source: sources.Source,
        port: ports.UpstreamPort,
        gateway_dialect: dialect.Dialect,
        startup_s: float = 0.0,
    ) -> None:
        self.state = gateway_state
        self.source = source
        links = reachability.Reachability(gateway_state.clock.now())
        self.port = observed_port.ObservedPort(port, links, gateway_state.clock)
        self.peer_port = upstream_http.HttpPeerPort(gateway_dialect.upstream)
        self.fleet = fleet.Fleet(gateway_state)
        self.membership = membership.Membership(gateway_state)
        link = self.membership.link
        self.isolation = isolation.Isolation(gateway_state, self.port, link)
        gateway_state.add_end_listener(
            lambda ended: self.port.close_idle(ended.address)
        )
        path = data_path.DataPath(
            gateway_state,
            self.port,
            job_factory.labels(gateway_dialect),
            known=gateway_state.quarantines.known,
            links=self.isolation,
        )
        self.handover = handover.Handover(
            gateway_state,
            gateway_dialect,
            self.peer_port,
            self.isolation,
            self.fleet,
        )
        self.isolation.add_listener(self.handover.interrupt)
        processor = request_processing.RequestProcessor(
            gateway_state, path, gateway_dialect, self.handover
        )
        self.ingress = ingress.Ingress(gateway_state, processor)
        self.rate_sharers = rate_sharers.RateSharers(gateway_state, self.fleet)
        self.region_loads = region_loads.RegionLoads(gateway_state)
        self.retry_budget_report = retry_budget_report.RetryBudgetReport(
            gateway_state.metrics
        )
        self.limit_report = limit_report.LimitReport()
        self.loop_lateness = loop_lateness.LoopLateness()
        self.side_ports = side_ports.SidePorts(
            gateway_state, self.fleet, gateway_dialect
        )
        self.relay = relay.Relay(gateway_state, self.fleet, link, startup_s)
        self.source_reader = source_reader.SourceReader(
            gateway_state, source, self.relay
        )
        self.discovery = discovery.DiscoveryWriter(
            gateway_state, source, self.relay.is_reader
        )
        self.prober = prober.Prober(gateway_state, self.fleet, self.port)
        self.load_exchange = load_exchange.LoadExchange(
            gateway_state, self.fleet, link, self.prober.task_by_id.keys()
        )
        self.rollout = rollout_loop.RolloutLoop(gateway_state, self.fleet, link, source)
        self.quarantine_sharing = sharing.QuarantineSharing(
            gateway_state, self.fleet, link, path.crash_detector
        )
        self.quarantine_writer = writer.QuarantineWriter(
            gateway_state, source, self.relay.is_reader
        )
        self.membership.add_listener(self.quarantine_sharing)
        self.membership.add_listener(self.relay)
        self.membership.add_listener(self.rollout)
        self.membership.add_listener(self.load_exchange)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Open all ports and start the background loops."""
        await self.ingress.start()
        await self.side_ports.start()
        await self.membership.start()
        loops = (
            self.membership.run,
            self.relay.run,
            self.source_reader.run,
            self.discovery.run,
            self.prober.run,
            self.isolation.run,
            self.load_exchange.run,
            self.rollout.run,
            self.quarantine_sharing.run,
            self.quarantine_writer.run,
            self._tick,
        )
        for loop in loops:
            self._tasks.append(asyncio.ensure_future(background.restart_on_error(loop)))
        events.emit(
            events.Event.STARTED,
            host=self.state.config.host,
            listen=self.state.config.listen,
        )

    async def stop(self) -> None:
        """
        Stop gracefully: requests in flight complete, within the limit of a stop.

        The directory stops listing this gateway at once, but requests are accepted
        until callers' cached directory responses that list it have expired; after some
        seconds only those whose deadline is before the end of the stop. Requests still
        in flight shortly before the limit are aborted.
        """
        config = self.state.config
        events.emit(events.Event.LEAVING, host=config.host)
        schedule = self.state.leave()
        self.membership.announce()
        now = self.state.clock.now
        await asyncio.sleep(schedule.listen_until - now())
        self.ingress.stop_listening()
        self.ingress.processor.handover.withdraw_waiting(
            lambda job: not schedule.covers(job.call.deadline)
        )
        while self.ingress.in_flight and now() < schedule.end:
            await asyncio.sleep(DRAIN_CHECK_S)
        if self.ingress.in_flight:
            events.emit(events.Event.STOP_FORCED, in_flight=self.ingress.in_flight)
        await self.ingress.stop(max(MIN_CLOSE_S, schedule.end - now()))
        await self.close()

    async def close(self) -> None:
        """Cancel the loops and close all ports immediately."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.side_ports.stop()
        await self.membership.stop()
        await self.port.close()
        await self.peer_port.close()
        await self.source.close()
        events.emit(events.Event.STOPPED, host=self.state.config.host)

    async def _tick(self) -> None:
        while True:
            self._log_suspension()
            self.fleet.update_size()
            if self.state.tick() and self.state.reads_source:
                self.relay.publish_expiry()
            self.rate_sharers.update()
            self.region_loads.update()
            services = self.state.balancer_by_service.values()
            self.retry_budget_report.update(services, self.state.clock.now())
            self.limit_report.update(services, self.state.clock.now())
            self.loop_lateness.will_sleep(TICK_S)
            await self.state.wakeups.sleep(TICK_S)
            self.loop_lateness.woke()

    def _log_suspension(self) -> None:
        suspended_s = self.state.deadlines.check()
        if suspended_s:
            events.emit(events.Event.HOST_SUSPENDED, seconds=round(suspended_s, 3))


def create(config: settings.GatewaySettings, startup_s: float = 0.0) -> Gateway:
    """
    Build a gateway from settings with the drivers that they name.

    ``startup_s`` is the time since the process started, in seconds.
    """
    gateway_dialect = dialect.DIALECTS.get(config.dialect)()
    gateway_state = state.GatewayState(config, clock.CLOCKS.get("boottime")())
    return Gateway(
        gateway_state,
        sources.SOURCES.get(config.source_driver)(config.source),
        upstream_http.HttpUpstreamPort(gateway_dialect.upstream),
        gateway_dialect,
        startup_s,
    )
