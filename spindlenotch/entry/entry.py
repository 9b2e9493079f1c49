"""
One entry: state, data path, control loops and ports put together.

Control work lives in the same process and loop as the data path; see
``docs/DESIGN.md`` for why. ``daemon`` runs this as a process, the demo and
tests run several in one loop.
"""

import asyncio

from spindlenotch import clock, events, ids, ports
from spindlenotch.entry import (
    caller_port,
    claims,
    control,
    entry_state,
    front,
    measuring,
    once_path,
    operator_port,
    plugins,
    settings,
)
from spindlenotch.forwarding import data_path
from spindlenotch.peers import peer_link

#: Added to the time answers are kept, for the way of a last answer and for
#: the news of the stop to reach every peer.
STOP_ALLOWANCE_S = 1.0


class Entry:
    """
    The parts of one entry and their order of starting and stopping.

    Invariant: ports open before the entry can become ready, and the callers'
    port closes last.
    """

    def __init__(
        self,
        state: entry_state.EntryState,
        store: ports.Store,
        host_list: ports.HostList,
        upstream_port: ports.UpstreamPort,
    ) -> None:
        self.state = state
        self.store = store
        self.host_list = host_list
        self.upstream_port = upstream_port
        self.control = control.Control(state, store, host_list)
        self.path = data_path.DataPath(
            state,
            upstream_port,
            on_drain_notice=self.control.spread_drain_notice,
        )
        self.once_path = once_path.OncePath(
            state, self.path, claims.Claims(state, store)
        )
        self.front = front.Front(state, self.path, self.once_path, self.control.paused)
        self.callers = caller_port.CallerPort(state, self.front)
        self.operators = operator_port.OperatorPort(state)
        self.measuring = measuring.Measuring(
            state, store, upstream_port, self.control.spread_drain_notice
        )
        self.operator_address = ids.Address("")

    async def start(self) -> None:
        """Open all ports and start the loops."""
        config = self.state.config
        host, port = peer_link.split(config.listen)
        listen = await self.callers.start(host, port)
        self.state.set_addresses(listen, config.peer_listen)
        operator_host, operator_bind = peer_link.split(config.operator_listen)
        self.operator_address = await self.operators.start(operator_host, operator_bind)
        peer_listen = await self.control.start()
        self.state.set_addresses(listen, peer_listen)
        self.measuring.start()
        events.emit(
            events.Event.STARTED,
            host=config.host,
            listen=listen,
            incarnation=self.state.incarnation,
        )

    async def stop(self) -> None:
        """
        Stop as planned: nothing in flight is cut off.

        The entry is no longer named, serves until every answer that names it
        has expired, then takes no new connections and waits for the requests
        in flight, without a limit unless the operator set one.
        """
        config = self.state.config
        events.emit(events.Event.LEAVING, host=config.host)
        self.control.announce_leaving()
        await asyncio.sleep(config.hand_out_s + STOP_ALLOWANCE_S)
        await self.callers.stop_listening()
        limit = config.drain_limit_s or None
        try:
            async with asyncio.timeout(limit):
                await caller_port.drained(self.callers)
                await self.once_path.drained()
        except TimeoutError:
            events.emit(events.Event.STOP_FORCED, in_flight=self.callers.in_flight)
        await self.close()

    async def close(self) -> None:
        """Close everything now."""
        await self.callers.close()
        await self.measuring.stop()
        await self.control.stop()
        await self.operators.close()
        await self.upstream_port.close()
        await self.store.close()
        await self.host_list.close()
        events.emit(events.Event.STOPPED, host=self.state.config.host)


def create(config: settings.EntrySettings, drivers: str = "http") -> Entry:
    """Build an entry from settings with the drivers of that name."""
    plugins.load(config.plugins)
    state = entry_state.EntryState(config, clock.CLOCKS.get("boottime")())
    return Entry(
        state,
        ports.STORES.get(drivers)(config.store),
        ports.HOST_LISTS.get(drivers)(config.host_list),
        ports.UPSTREAM_PORTS.get(drivers)(),
    )
