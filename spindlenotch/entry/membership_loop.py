"""
The entry's part in gossip: heartbeats, dead members, urgent messages.

Owns no state: members, drain notices and versions are those of
``peers.gossip``, which decides; this module sends what it composes and
reports its changes to the log and to the balancers. Sends at most a fixed
number of messages a second, whatever the size of the fleet.
"""

import asyncio

from spindlenotch import events, ids
from spindlenotch.entry import entry_state
from spindlenotch.kernel import hostlist
from spindlenotch.peers import gossip, messages, peer_link, probing, timing

#: Least and greatest factor of the wait between heartbeats, so that members do not fall
#: into step.
JITTER = (0.9, 1.1)


class MembershipLoop:
    """Keeps members, drain notices and versions the same on all entries."""

    def __init__(self, state: entry_state.EntryState, link: peer_link.PeerLink) -> None:
        self.state = state
        self.link = link

    async def run(self) -> None:
        """Send heartbeats until cancelled, and do what is due as often."""
        state = self.state
        while True:
            self._send_heartbeats()
            self._drop_dead_members()
            state.follow_day()
            state.once.sweep(state.clock.now())
            await asyncio.sleep(timing.PERIOD_S * state.rng.uniform(*JITTER))

    def receive(self, message: messages.Message) -> gossip.Handled:
        """Take in a peer's message, reply to it and apply what it changed."""
        state = self.state
        handled = state.gossip.handle(message, state.clock.now())
        if handled.reply is not None:
            self.link.send(handled.reply, [message.sender.peer_address])
        if handled.members_changed:
            events.emit(events.Event.PEER_SEEN, host=message.sender.host)
            state.members_changed()
        for notice in handled.drain_notices:
            state.drain_notices.apply(notice, "drain notice from a peer")
        if handled.drain_notices:
            self.send_to_some()
        return handled

    def send_to_some(self) -> None:
        """Send the current view to a few random members at once."""
        targets = self.state.gossip.random_targets(probing.FANOUT)
        self.link.send(self.state.gossip.compose(), targets)

    def send_to_all(self) -> None:
        """Send the current view to every known member at once."""
        everyone = [
            known.record.peer_address
            for known in self.state.gossip.known_by_host.values()
        ]
        self.link.send(self.state.gossip.compose(), everyone)

    def _send_heartbeats(self) -> None:
        """Send to the members next in order, and to a seed where few are known."""
        seeds = list(self.state.config.peers)
        if self.state.documents.hosts is not None:
            listed = hostlist.entries(self.state.documents.hosts)
            self.state.gossip.expected_members = len(listed)
            seeds += [ids.Address(h.peer_address) for h in listed if h.peer_address]
        targets = self.state.gossip.targets(seeds, self.state.clock.now())
        self.link.send(self.state.gossip.compose(wants_reply=True), targets)

    def _drop_dead_members(self) -> None:
        dead = self.state.gossip.sweep(self.state.clock.now())
        for member in dead:
            events.emit(events.Event.PEER_GONE, host=member.host)
        if dead:
            self.state.members_changed()
