"""
One entry: state, data path, control loops and ports put together.

Owns the order in which the parts start and stop, and the planned stop. Control
work runs in the same process and loop as the data path; see ``docs/DESIGN.md``
for why. ``daemon`` runs an entry as a process, the demo and tests run several
in one loop.
"""

import asyncio

from spindlenotch import clock, events, ids, ports
from spindlenotch.entry import (
    caller_port,
    claims,
    control,
    entry_state,
    front,
    once_path,
    operator_port,
    plugins,
    prober,
    settings,
)
from spindlenotch.forwarding import data_path
from spindlenotch.peers import peer_link

#: Seconds added to the time that callers keep an answer, for the last answer to arrive
#: and for all peers to learn of the stop.
STOP_ALLOWANCE_S = 1.0
#: Registered names of what the daemon runs on.
DRIVER = "http"
CLOCK = "boottime"


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
        self.prober = prober.Prober(
            state, store, upstream_port, self.control.spread_drain_notice
        )
        self.operator_address = ids.Address("")

    async def start(self) -> None:
        """Open all ports and start the loops."""
        config = self.state.config
        listen = await self.callers.start(*peer_link.split_host_port(config.listen))
        self.state.set_addresses(listen, config.peer_listen)
        self.operator_address = await self.operators.start(
            *peer_link.split_host_port(config.operator_listen)
        )
        peer_listen = await self.control.start()
        self.state.set_addresses(listen, peer_listen)
        self.prober.start()
        events.emit(
            events.Event.STARTED,
            host=config.host,
            listen=listen,
            incarnation=self.state.incarnation,
        )

    async def stop(self) -> None:
        """
        Make a planned stop: no request in flight is cut off.

        Callers are no longer given the entry's address. It serves until the
        addresses given out have expired, then takes no new connections and
        waits for the requests in flight, without a limit unless the operator
        set one.
        """
        config = self.state.config
        events.emit(events.Event.LEAVING, host=config.host)
        self.control.announce_leaving()
        await asyncio.sleep(config.hand_out_s + STOP_ALLOWANCE_S)
        await self.callers.stop_listening()
        limit_s = config.drain_limit_s or None
        try:
            async with asyncio.timeout(limit_s):
                await caller_port.drained(self.callers)
                await self.once_path.drained()
        except TimeoutError:
            events.emit(events.Event.STOP_FORCED, in_flight=self.callers.in_flight)
        await self.close()

    async def close(self) -> None:
        """Close everything now."""
        await self.callers.close()
        await self.prober.stop()
        await self.control.stop()
        await self.operators.close()
        await self.upstream_port.close()
        await self.store.close()
        await self.host_list.close()
        events.emit(events.Event.STOPPED, host=self.state.config.host)


def create(config: settings.EntrySettings) -> Entry:
    """Build an entry with the drivers that the daemon uses."""
    plugins.load(config.plugins)
    state = entry_state.EntryState(config, clock.CLOCKS.get(CLOCK)())
    return Entry(
        state=state,
        store=ports.STORES.get(DRIVER)(config.store),
        host_list=ports.HOST_LISTS.get(DRIVER)(config.host_list),
        upstream_port=ports.UPSTREAM_PORTS.get(DRIVER)(),
    )
