"""
The gateways of the fleet as this one sees them, and which callers are sent to.

Members find each other by gossip (``spindlenotch.peers.gossip``) over UDP. Callers
are sent to a few gateways in each zone, the same for equal views: few
gateways see most of what an upstream does, and the others stand by.
"""

import asyncio
from collections import abc

from spindlenotch import events, ids
from spindlenotch.gateway import entry_choice, state as states
from spindlenotch.kernel import ownership
from spindlenotch.peers import (
    documents,
    gossip,
    messages,
    msgpack_codec,
    peer_link,
    peer_seal,
    workload,
)

#: A gateway that starts asks the peers of its settings so often, so far apart.
GREETINGS = 8
GREETING_PAUSE_S = 0.05
#: The choice of entries is asked for many times a second and grows with the
#: fleet; it stands for this long.
ENTRIES_KEPT_S = 0.05


class Fleet:
    """Runs the gossip of one gateway and answers who is where."""

    def __init__(self, state: states.GatewayState) -> None:
        self.state = state
        self._entries_key: tuple[int, states.Phase, int] | None = None
        self._entry_zones: dict[ids.HostId, ids.ZoneName] = {}
        self.on_message: abc.Callable[[messages.Message, gossip.Handled], None] = (
            _ignore
        )
        self.on_loads: abc.Callable[[messages.Message], None] = _no_loads
        self.on_frame: abc.Callable[[messages.DocumentFrame], documents.Document] = (
            _nothing_held
        )
        self.link = peer_link.PeerLink(
            peer_seal.Sealer(state.config.peer_keys),
            state.metrics,
            on_gossip=self._on_gossip,
            on_frame=lambda frame: self.on_frame(frame),
            codec=msgpack_codec.MSGPACK,
        )

    async def start(self) -> None:
        """Open the link to peers."""
        await self.link.start(self.state.config.peer_listen)

    async def stop(self) -> None:
        """Close the link to peers."""
        await self.link.stop()

    async def run(self) -> None:
        """Ask peers in turn until cancelled, all those in the settings first."""
        state = self.state
        await self._greet()
        while True:
            targets = state.gossip.targets(state.config.peers, state.clock.now())
            targets += self._introduced_strangers(targets)
            self.link.send(state.gossip.compose(wants_reply=True), targets)
            for news in state.gossip.sweep(state.clock.now()):
                events.emit(events.Event.PEER_GONE, host=news.host)
            period = state.gossip.timing.period_s
            await asyncio.sleep(period * state.rng.uniform(0.9, 1.1))

    async def _greet(self) -> None:
        """
        Ask the peers of the settings until one has answered, for a short time.

        Where all hosts start together, they may be up a moment later.
        """
        state = self.state
        others = [a for a in state.config.peers if a != state.config.peer_listen]
        for _ in range(GREETINGS):
            if state.gossip.known_by_host or not others:
                return
            self.link.send(state.gossip.compose(wants_reply=True), others)
            await asyncio.sleep(GREETING_PAUSE_S)

    def announce(self) -> None:
        """Tell every known peer at once what changed here."""
        everyone = [
            known.record.peer_address
            for known in self.state.gossip.known_by_host.values()
        ]
        self.link.send(self.state.gossip.compose(), everyone)

    def members(self) -> list[ownership.Member]:
        """Return the gateways that are believed to serve, this one included."""
        return [ownership.Member(one.zone, one.host) for one in self._ready_records()]

    def entries(self) -> dict[ids.HostId, ids.Address]:
        """Return the gateways that callers are sent to."""
        address_by_host = {one.host: one.address for one in self._ready_records()}
        return {
            host: address_by_host[host]
            for host in self.entry_zones()
            if host in address_by_host
        }

    def entry_zones(self) -> dict[ids.HostId, ids.ZoneName]:
        """Return the zones of the gateways that callers are sent to."""
        state = self.state
        span = int(state.clock.now() / ENTRIES_KEPT_S)
        key = (span, state.phase, len(state.gossip.known_by_host))
        if key != self._entries_key:
            self._entries_key = key
            self._entry_zones = self._choose_entries()
        return self._entry_zones

    def _choose_entries(self) -> dict[ids.HostId, ids.ZoneName]:
        news = self._ready_records()
        candidates = [
            entry_choice.Candidate(one.host, one.zone, one.capacity) for one in news
        ]
        demand = workload.Work(
            sum(one.demand.requests_per_s for one in news),
            sum(one.demand.bytes_per_s for one in news),
        )
        least = self.state.config.entries_per_zone
        chosen = entry_choice.choose(candidates, demand, least)
        return {one.host: one.zone for one in chosen}

    def readers_by_zone(self) -> dict[ids.ZoneName, list[ids.HostId]]:
        """
        Return who may read the source for its zone.

        Those that stand by; where none is ready yet, those that are starting,
        since a fleet that starts is not ready before somebody has read.
        """
        starting: dict[ids.ZoneName, list[ids.HostId]] = {}
        for one in self._records_of(messages.Status.STARTING):
            starting.setdefault(one.zone, []).append(one.host)
        return {**starting, **self.standing_by()}

    def standing_by(self) -> dict[ids.ZoneName, list[ids.HostId]]:
        """
        Return who takes on a zone's other duties: those that callers are not
        sent to, or all where there are no others.
        """
        entries = self.entry_zones()
        hosts_by_zone: dict[ids.ZoneName, list[ids.HostId]] = {}
        for member in self.members():
            hosts_by_zone.setdefault(member.zone, []).append(member.host)
        return {
            zone: sorted(h for h in hosts if h not in entries) or sorted(hosts)
            for zone, hosts in hosts_by_zone.items()
        }

    def _introduced_strangers(self, asked: list[ids.Address]) -> list[ids.Address]:
        """Return the peers that the source names and nobody else has yet."""
        gossip_state = self.state.gossip
        met = {k.record.peer_address for k in gossip_state.known_by_host.values()}
        met.update(asked, [gossip_state.local.peer_address])
        introductions = self.state.introduction_by_zone.values()
        return [
            one.peer_address for one in introductions if one.peer_address not in met
        ]

    def _ready_records(self) -> list[messages.MemberRecord]:
        """Return the news of the gateways that are believed to serve."""
        return self._records_of(messages.Status.READY)

    def _records_of(self, status: messages.Status) -> list[messages.MemberRecord]:
        """Return the news of the gateways that are believed to be in ``status``."""
        state = self.state
        found = [
            known.record
            for known in state.gossip.known_by_host.values()
            if known.record.status is status
            and not known.missed
            and not known.suspected
        ]
        return (
            [*found, state.gossip.local]
            if state.gossip.local.status is status
            else found
        )

    def _on_gossip(self, message: messages.Message) -> None:
        handled = self.state.gossip.handle(message, self.state.clock.now())
        if handled.reply is not None:
            self.link.send(handled.reply, [message.sender.peer_address])
        self.on_message(message, handled)
        if message.loads:
            self.on_loads(message)
        if handled.members_changed:
            events.emit(
                events.Event.PEER_SEEN,
                host=message.sender.host,
                status=message.sender.status.name,
            )


def _ignore(message: messages.Message, handled: gossip.Handled) -> None:
    """Stand in for a listener that is not set."""


def _no_loads(message: messages.Message) -> None:
    """Stand in for a listener that is not set."""


def _nothing_held(frame: messages.DocumentFrame) -> documents.Document:
    """Stand in for a holder of documents that is not set."""
    return documents.absent(frame.document.kind)
