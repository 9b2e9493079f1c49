"""
Exchanges crash records with other gateways.

A new record is sent at once to the active gateways, those of other regions included,
and goes with all gossip for some seconds. A new quarantine is announced to every
gateway by those that detected it. After that each message carries one quarantined
request in rotation, so that a gateway that was partitioned or has just started learns
all of them. Relies on ``forwarding.crash_watch`` for the crashes that this gateway
observes itself.
"""

import asyncio

from spindlenotch import events, ids
from spindlenotch.decisions import quarantine
from spindlenotch.forwarding import crash_watch
from spindlenotch.gateway import state
from spindlenotch.gateway.cluster import fleet
from spindlenotch.kernel import crash_records
from spindlenotch.peers import gossip, messages, peer_link

#: Seconds between two updates: the period of the shortest loops, which wake together.
PERIOD_S = 0.2
#: Seconds for which all messages carry a record that has changed: several gossip
#: periods, in which every member of a large fleet is contacted by several others.
RECENT_S = 5.0
#: Updates in which a quarantine is announced to every gateway, as datagrams get lost.
ANNOUNCE_ROUNDS = 2


class QuarantineSharing:
    """Sends and receives crash records; logs which requests are quarantined."""

    def __init__(
        self,
        gateway_state: state.GatewayState,
        gateway_fleet: fleet.Fleet,
        link: peer_link.PeerLink,
        crash_detector: crash_watch.CrashDetector,
    ) -> None:
        self.state = gateway_state
        self.fleet = gateway_fleet
        self.link = link
        self.crash_detector = crash_detector
        self._unsent_records: dict[ids.Fingerprint, crash_records.CrashRecord] = {}
        self._recent_until: dict[ids.Fingerprint, ids.Instant] = {}
        self._sender_by_fingerprint: dict[ids.Fingerprint, ids.HostId] = {}
        self._announce_rounds = 0
        self._next_index = 0
        crash_detector.add_listener(self._add_record)

    @property
    def known(self) -> quarantine.Quarantine:
        """Return what this gateway knows of such requests."""
        return self.state.quarantines.known

    async def run(self) -> None:
        """Update until cancelled."""
        while True:
            self.update()
            await self.state.wakeups.sleep(PERIOD_S)

    def update(self) -> None:
        """
        Expire old records, log changes and choose the records that gossip carries.
        """
        now = self.state.clock.now()
        self.known.expire(now)
        self.crash_detector.clear_false_alarms()
        self._process_changes(now)
        for fingerprint in [
            outdated for outdated, at in self._recent_until.items() if at <= now
        ]:
            del self._recent_until[fingerprint]
        self.state.gossip.crashes = self._records_to_gossip()
        if self._announce_rounds:
            self._announce_rounds -= 1
            self._send(self.state.gossip.crashes, list(self._all_addresses()))

    def message_received(
        self, message: messages.Message, handled: gossip.Handled
    ) -> None:
        """Merge the records in a peer's message."""
        now = self.state.clock.now()
        for record in message.crashes:
            if self.known.merge(record, now):
                self._sender_by_fingerprint[record.fingerprint] = message.sender.host
                self._recent_until[record.fingerprint] = ids.later(now, RECENT_S)

    def _process_changes(self, now: ids.Instant) -> None:
        for change in self.known.changes:
            fingerprint = change.record.fingerprint
            told_by = self._sender_by_fingerprint.pop(fingerprint, None)
            self._report(change, "" if told_by is None else told_by)
            self._recent_until[fingerprint] = ids.later(now, RECENT_S)
            if told_by is None:
                # Receivers do not announce it again: messages would grow with the
                # square of the fleet size.
                self._announce_rounds = ANNOUNCE_ROUNDS
        self.known.changes.clear()
        self._sender_by_fingerprint.clear()
        count = sum(1 for _ in self.known.quarantined())
        self.state.metrics.quarantined_requests.set(count)

    def _report(self, change: quarantine.Change, told_by: str) -> None:
        is_quarantined = change.status is quarantine.CrashStatus.QUARANTINED
        events.emit(
            events.Event.REQUEST_QUARANTINED
            if is_quarantined
            else events.Event.QUARANTINE_ENDED,
            fingerprint=change.record.fingerprint,
            depth=change.record.depth,
            ended=",".join(change.record.ended),
            told_by=told_by,
        )

    # Sending

    def _add_record(self, record: crash_records.CrashRecord) -> None:
        """Queue a record of this gateway, to be sent with those of the same moment."""
        if not self._unsent_records:
            asyncio.get_running_loop().call_soon(self._send_unsent_records)
        self._unsent_records[record.fingerprint] = record
        until = ids.later(self.state.clock.now(), RECENT_S)
        self._recent_until[record.fingerprint] = until

    def _send_unsent_records(self) -> None:
        records = tuple(self._unsent_records.values())
        self._unsent_records.clear()
        self._send(records, self._active_addresses())

    def _records_to_gossip(self) -> tuple[crash_records.CrashRecord, ...]:
        """Return recently changed records and one quarantined request in rotation."""
        max_records = messages.CRASH_NOTES_PER_MESSAGE - 1
        newest = list(self._recent_until)[-max_records:]
        records = {
            fingerprint: self.known.record_of(fingerprint) for fingerprint in newest
        }
        quarantined = list(self.known.quarantined())
        if quarantined:
            self._next_index = (self._next_index + 1) % len(quarantined)
            records[quarantined[self._next_index].fingerprint] = quarantined[
                self._next_index
            ]
        return tuple(records.values())

    def _active_addresses(self) -> list[ids.Address]:
        """Return the addresses of the active gateways, as far as they are known."""
        known = self.state.gossip.known_by_host
        same_region = [
            known[host].record.peer_address
            for host in self.fleet.active_zones()
            if host in known
        ]
        return same_region + self._other_region_addresses()

    def _all_addresses(self) -> list[ids.Address]:
        known = self.state.gossip.known_by_host.values()
        return [
            peer.record.peer_address for peer in known
        ] + self._other_region_addresses()

    def _other_region_addresses(self) -> list[ids.Address]:
        """Return the addresses of active gateways in the summaries of other regions."""
        links = self.state.links
        if links is None:
            return []
        return [
            gateway.peer_address
            for heard in links.received_by_region.values()
            for gateway in heard.summary.gateways
        ]

    def _send(
        self, records: tuple[crash_records.CrashRecord, ...], targets: list[ids.Address]
    ) -> None:
        if not targets:
            return
        max_records = messages.CRASH_NOTES_PER_MESSAGE
        for start in range(0, len(records), max_records):
            message = messages.Message(
                self.state.gossip.local,
                0,
                reads_source=self.state.reads_source,
                crashes=records[start : start + max_records],
            )
            self.link.send(message, targets)
