"""
Confirming that the bundle held here is the newest, at start and after a pause.

An entry becomes ready only here: after the store has answered with a bundle
or, while the store is out, after every peer that answers was asked. Relies on
``readiness`` for the phases and on ``Confirmation.pause_detected`` being
called after each pause.
"""

import asyncio

from spindlenotch import events, ids, ports
from spindlenotch.entry import (
    document_relay,
    entry_state,
    host_list_reader,
    membership_loop,
    store_reader,
)
from spindlenotch.kernel import hostlist

#: Seconds between two attempts.
ATTEMPT_PERIOD_S = 0.3
#: Least and greatest factor of that wait, so that a fleet that starts together does not
#: call the store at once.
JITTER = (0.7, 1.3)


class Confirmation:
    """Brings an entry to readiness, again after each pause."""

    def __init__(
        self,
        state: entry_state.EntryState,
        membership: membership_loop.MembershipLoop,
        relay: document_relay.DocumentRelay,
        bundle_reader: store_reader.StoreReader,
        hosts_reader: host_list_reader.HostListReader,
    ) -> None:
        self.state = state
        self.membership = membership
        self.relay = relay
        self.bundle_reader = bundle_reader
        self.hosts_reader = hosts_reader
        self._needed = asyncio.Event()

    async def run(self) -> None:
        """Confirm whenever it is needed, until cancelled."""
        while True:
            if not self.state.readiness.confirmed:
                await self._attempt()
            if self.state.readiness.confirmed:
                self._needed.clear()
                await self._needed.wait()
            else:
                factor = self.state.rng.uniform(*JITTER)
                await asyncio.sleep(ATTEMPT_PERIOD_S * factor)

    def pause_detected(self) -> None:
        """Begin to check the bundle after this process was paused."""
        self.state.counters.pauses += 1
        events.emit(events.Event.PAUSE_DETECTED)
        self.state.publish_status()
        self._needed.set()

    async def _attempt(self) -> None:
        if self.state.documents.hosts is None:
            await self.hosts_reader.fetch()
        stored = await self.bundle_reader.read()
        if isinstance(stored, ports.Stored):
            found_bundle = stored.revision > 0
        else:
            found_bundle = await self.relay.fetch_from_all(self._peer_addresses())
        if found_bundle and self.state.documents.opened and self.state.documents.hosts:
            self._confirm()

    def _peer_addresses(self) -> list[ids.Address]:
        """Return the peers of this zone, of all zones where none is set or known."""
        own = self.state.gossip.local.peer_address
        found = set(self.state.config.peers)
        for known in self.state.gossip.known_by_host.values():
            if known.record.zone == self.state.config.zone or not found:
                found.add(known.record.peer_address)
        if self.state.documents.hosts is not None:
            for host in hostlist.entries(self.state.documents.hosts):
                if host.zone == self.state.config.zone and host.peer_address:
                    found.add(ids.Address(host.peer_address))
        return sorted(found - {own})

    def _confirm(self) -> None:
        if not self.state.readiness.confirm():
            return
        self.state.publish_status()
        event = events.Event.READY
        if self.state.counters.pauses:
            event = events.Event.BUNDLE_CONFIRMED
        events.emit(event, host=self.state.config.host)
        self.state.members_changed()
        self.membership.send_to_some()
