"""
The control plane of an entry: all of its loops, started and stopped together.

Owns the peer link and the loops' tasks. Each loop is in a module of its own:
membership, reading the store and the host list, confirmation, upkeep. All are
cheap and bounded per second whatever the size of the fleet.
"""

import functools
from collections import abc

from spindlenotch import ids, ports
from spindlenotch.entry import (
    confirmation,
    document_relay,
    entry_state,
    host_list_reader,
    membership_loop,
    store_reader,
    upkeep,
)
from spindlenotch.peers import (
    background,
    capnp_codec,
    documents,
    messages,
    peer_link,
    peer_seal,
)

#: The link that entries of the daemon speak over.
CAPNP_LINK = functools.partial(peer_link.PeerLink, codec=capnp_codec.CAPNP)


class Control:
    """The control loops of one entry, and what the data path asks of them."""

    def __init__(
        self,
        state: entry_state.EntryState,
        store: ports.Store,
        host_list: ports.HostList,
        make_link: abc.Callable[..., peer_link.PeerLink] = CAPNP_LINK,
    ) -> None:
        self.state = state
        self.link = make_link(
            peer_seal.Sealer(state.config.peer_keys),
            state.metrics,
            on_gossip=self._on_gossip,
            on_frame=self._on_frame,
        )
        self._tasks = background.BackgroundTasks()
        self.membership = membership_loop.MembershipLoop(state, self.link)
        self.relay = document_relay.DocumentRelay(
            state, self.link, self.membership, self._tasks
        )
        self.bundle_reader = store_reader.StoreReader(state, store, self.relay)
        self.hosts_reader = host_list_reader.HostListReader(
            state, host_list, self.relay
        )
        self.confirmation = confirmation.Confirmation(
            state=state,
            membership=self.membership,
            relay=self.relay,
            bundle_reader=self.bundle_reader,
            hosts_reader=self.hosts_reader,
        )

    async def start(self) -> ids.Address:
        """Open the peer link and start all loops; return the link's address."""
        address = await self.link.start(self.state.config.peer_listen)
        for loop in (
            self.membership.run,
            functools.partial(upkeep.watch_for_pauses, self.state, self.paused),
            functools.partial(upkeep.update_balancers, self.state),
            self.bundle_reader.run,
            self.hosts_reader.run,
            self.confirmation.run,
        ):
            self._tasks.spawn(background.restart_on_error(loop))
        return address

    async def stop(self) -> None:
        """Stop all loops and close the peer link."""
        await self._tasks.stop()
        await self.link.stop()

    def paused(self) -> None:
        """Begin to check the bundle after this process was paused."""
        self.confirmation.pause_detected()

    def announce_leaving(self) -> None:
        """Tell every known peer at once that this entry is being stopped."""
        self.state.readiness.leave()
        self.state.publish_status()
        self.membership.send_to_all()

    def spread_drain_notice(self) -> None:
        """Pass on a new drain notice at once."""
        self.membership.send_to_some()

    def _on_gossip(self, message: messages.Message) -> None:
        handled = self.membership.receive(message)
        self.relay.fetch_newer(message.sender.peer_address, handled.newer)

    def _on_frame(self, frame: messages.DocumentFrame) -> documents.Document:
        return self.relay.answer(frame)
