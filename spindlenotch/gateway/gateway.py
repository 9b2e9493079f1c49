"""
One gateway: its beliefs, loops and ports put together.
"""

import asyncio
from collections import abc

from spindlenotch import clock, events, ports
from spindlenotch.drivers import upstream_http
from spindlenotch.forwarding import data_path
from spindlenotch.gateway import (
    dialect as dialects,
    fleet as fleets,
    follower,
    ingress,
    introducer,
    job_factory,
    prober,
    relay,
    settings,
    side_ports,
    sources,
    state as states,
)

TICK_S = 0.2
#: Callers may keep an answer this many times as long as they were told.
KEPT_FACTOR = 3.0
#: Left of the longest planned stop when nothing more is taken, so that what
#: was taken comes to its end.
CLOSING_S = 3.0
#: Left of it when the process ends whatever is in flight.
MARGIN_S = 0.4


class Gateway:
    """
    The parts of one gateway and their order of starting and stopping.

    Invariant: all ports are open before it can become ready, and that for
    callers closes last.
    """

    def __init__(
        self,
        state: states.GatewayState,
        source: sources.Source,
        port: ports.UpstreamPort,
        dialect: dialects.Dialect,
    ) -> None:
        self.state = state
        self.source = source
        self.port = port
        path = data_path.DataPath(state, port, job_factory.labels(dialect))
        self.ingress = ingress.Ingress(state, path, dialect)
        self.fleet = fleets.Fleet(state)
        self.side_ports = side_ports.SidePorts(state, self.fleet, dialect)
        self.relay = relay.Relay(state, self.fleet)
        self.follower = follower.Follower(state, source, self.relay.must_read)
        self.introducer = introducer.Introducer(state, source, self.relay.is_reader)
        self.prober = prober.Prober(state, self.fleet, port)
        self.fleet.on_loads = self.prober.take
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Open all ports and start the loops."""
        await self.ingress.start()
        await self.side_ports.start()
        await self.fleet.start()
        loops = (
            self.fleet.run,
            self.relay.run,
            self.follower.run,
            self.introducer.run,
            self.prober.run,
            self.prober.tell,
            self._tick,
        )
        for loop in loops:
            self._tasks.append(asyncio.ensure_future(_guarded(loop)))
        events.emit(
            events.Event.STARTED,
            host=self.state.config.host,
            listen=self.state.config.listen,
        )

    async def stop(self) -> None:
        """
        Stop as planned: nothing that is in flight is cut off.

        Callers are no longer sent here at once, but served until the answers
        that named this gateway are no longer kept.
        """
        config = self.state.config
        events.emit(events.Event.LEAVING, host=config.host)
        self.state.leave()
        self.fleet.announce()
        loop = asyncio.get_running_loop()
        end = loop.time() + config.stop_limit_s - MARGIN_S
        longest = config.stop_limit_s - CLOSING_S
        await asyncio.sleep(min(KEPT_FACTOR * config.hand_out_s + 0.5, longest))
        self.ingress.stop_listening()
        while self.ingress.in_flight and loop.time() < end:
            await asyncio.sleep(0.02)
        if self.ingress.in_flight:
            events.emit(events.Event.STOP_FORCED, in_flight=self.ingress.in_flight)
        await self.ingress.stop(max(0.05, end - loop.time()))
        await self.close()

    async def close(self) -> None:
        """Close everything now."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.side_ports.stop()
        await self.fleet.stop()
        await self.port.close()
        await self.source.close()
        events.emit(events.Event.STOPPED, host=self.state.config.host)

    async def _tick(self) -> None:
        while True:
            self.state.tick()
            await asyncio.sleep(TICK_S)


async def _guarded(loop: "abc.Callable[[], abc.Awaitable[None]]") -> None:
    """Run a loop that never ends; begin it anew when it fails."""
    while True:
        try:
            await loop()
        except Exception as error:
            events.emit(events.Event.LOOP_FAILED, error=repr(error))
            await asyncio.sleep(TICK_S)


def create(config: settings.GatewaySettings) -> Gateway:
    """Build a gateway from settings with the drivers that they name."""
    dialect = dialects.DIALECTS.get(config.dialect)()
    state = states.GatewayState(config, clock.CLOCKS.get("boottime")())
    return Gateway(
        state,
        sources.SOURCES.get(config.source_driver)(config.source),
        upstream_http.HttpUpstreamPort(dialect.upstream),
        dialect,
    )
