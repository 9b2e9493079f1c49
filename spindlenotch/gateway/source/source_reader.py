"""
Reads the source of configuration and upstreams while it is this gateway's duty.

Reads everything once, then follows what changes; what changed is put into the
state and published to the peers that do not read (see ``relay``). The wait of
one call is bounded, so that an answer that was lost on the way blinds the
gateway for a known time only.
"""

import asyncio
import typing

from spindlenotch import events
from spindlenotch.gateway import state
from spindlenotch.gateway.source import sources
from spindlenotch.kernel import backoff

#: Longest wait of one call; also bounds how long a lost answer goes unseen. A longer
#: wait costs fewer calls.
FOLLOW_TIMEOUT_S = 2.4
#: Changes within this time of each other are fetched by one call. Docs/CAPACITY.md,
#: "The gateway on the grown site", has the calls.
BATCH_WINDOW_S = 0.1
#: Time between two looks whether this gateway must read: most of a fleet need not,
#: and idle loops take processor time.
STANDBY_CHECK_S = 0.2
#: Bounds of the wait after a call that failed.
MIN_BACKOFF_S = 0.15
MAX_BACKOFF_S = 0.8


class Publisher(typing.Protocol):
    """What decides who reads, and passes on to peers what was read."""

    def must_read(self) -> bool:
        """Tell whether this gateway has to read the source itself."""

    def start_wait_left_s(self) -> float:
        """Return for how many seconds yet a peer may spare the first reading."""

    def announce_reading(self) -> None:
        """Let the zone know that this gateway reads the source from now on."""

    def publish(self, revision: int, era: int | None) -> None:
        """Offer what was read up to ``revision`` of the source to the peers."""


class SourceReader:
    """
    Follows one source.

    Invariant: after a fault nothing that was in force is dropped; what
    changed meanwhile is read when the source answers again.
    """

    def __init__(
        self,
        gateway_state: state.GatewayState,
        source: sources.Source,
        publisher: Publisher,
    ) -> None:
        self.state = gateway_state
        self.source = source
        self.publisher = publisher
        self.revision: int | None = None
        self.era: int | None = None
        self.is_unreachable = False
        self._backoff = backoff.Backoff(gateway_state.rng, MIN_BACKOFF_S, MAX_BACKOFF_S)

    async def run(self) -> None:
        """Read and follow the source, while it is this gateway's duty."""
        while True:
            if self.publisher.must_read():
                await self._read_or_wait()
            else:
                # What changes meanwhile comes from peers.
                self.state.reads_source = False
                self.revision = None
                await self._wait_on_standby()

    async def _wait_on_standby(self) -> None:
        """
        Wait until it may be this gateway's duty to read.

        A first reading that a peer may spare is not put off for longer: checked only
        every ``STANDBY_CHECK_S``, a fleet that had lost power served its first request
        0.2 s later than it could.
        """
        start_wait_s = self.publisher.start_wait_left_s()
        if 0.0 < start_wait_s < STANDBY_CHECK_S:
            await asyncio.sleep(start_wait_s)
        else:
            await self.state.wakeups.sleep(STANDBY_CHECK_S)

    async def _read_or_wait(self) -> None:
        """Make one call; wait a while after one that failed."""
        fault = await self._call()
        is_starting = fault is None and not self.state.reads_source
        self.state.reads_source = fault is None
        if is_starting:
            self.publisher.announce_reading()
        if fault is None:
            self._backoff.reset()
            self._report(is_unreachable=False, reason="")
        elif fault is sources.SourceFault.HISTORY_GONE:
            # Changes since the last revision are no longer held: read anew.
            self.revision = None
        else:
            self.state.listing.note_fault(self.state.clock.now())
            self._report(is_unreachable=True, reason=fault.value)
            await asyncio.sleep(self._backoff.next())

    async def _call(self) -> sources.SourceFault | None:
        if self.revision is None:
            return await self._read()
        return await self._follow(self.revision)

    async def _read(self) -> sources.SourceFault | None:
        self.state.metrics.store_calls.labels("read").inc()
        listing = self.state.listing
        before = (listing.era, listing.revision)
        snapshot = await self.source.read()
        if isinstance(snapshot, sources.SourceFault):
            return snapshot
        self.revision = snapshot.revision
        self.era = snapshot.era
        # Only where a peer's list came meanwhile: a source that was set back counts.
        is_overtaken = (
            listing.era,
            listing.revision,
        ) != before and listing.is_newer_than(snapshot.revision, snapshot.era)
        self.state.apply_snapshot(snapshot, is_overtaken=is_overtaken)
        self.publisher.publish(snapshot.revision, snapshot.era)
        return None

    async def _follow(self, after: int) -> sources.SourceFault | None:
        self.state.metrics.store_calls.labels("follow").inc()
        changes = await self.source.follow(after, FOLLOW_TIMEOUT_S)
        if isinstance(changes, sources.SourceFault):
            return changes
        if changes.era != self.era:
            # After a restore, changes at revisions up to ``after`` would be missed.
            return sources.SourceFault.HISTORY_GONE
        self.revision = max(after, changes.revision)
        if self.state.apply_changes(changes):
            self.publisher.publish(changes.revision, changes.era)
            await asyncio.sleep(BATCH_WINDOW_S)
        return None

    def _report(self, *, is_unreachable: bool, reason: str) -> None:
        """Log when the source was lost or answers again."""
        if is_unreachable == self.is_unreachable:
            return
        self.is_unreachable = is_unreachable
        if is_unreachable:
            events.emit(events.Event.STORE_LOST, reason=reason)
        else:
            events.emit(events.Event.STORE_BACK)
