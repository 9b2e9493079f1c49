"""
Reads configuration and upstreams from the source while this gateway is the reader.

Reads a full snapshot once, then follows changes by long polling. Changes are applied
to the state and published to the peers that do not read (see ``relay``). Each call has
a time limit, so that a lost response delays updates for a bounded time only.
"""

import asyncio
import contextlib
import time
import typing
from collections import abc

from spindlenotch import events, ids
from spindlenotch.gateway import state
from spindlenotch.gateway.source import lease_expiry, sources
from spindlenotch.kernel import backoff

#: Seconds that the first call after a failed one waits for changes; it shows soon
#: whether the source is back.
CHECK_TIMEOUT_S = 0.1
#: Seconds that a full read usually takes at most.
READ_S = 0.4
#: Seconds by which a response is late before this gateway stops to count as a reader,
#: in addition to twice the last delay: a slow source is not an unreachable one.
OVERDUE_S = 0.3
DELAY_FACTOR = 2.0
#: Seconds to wait after a change before the next call, so that changes in quick
#: succession are fetched together. The number of calls is in docs/CAPACITY.md, "The
#: gateway on the grown site".
BATCH_WINDOW_S = 0.1
#: Seconds between checks of whether this gateway must read. Most gateways are on
#: standby, and frequent checks would waste processor time.
STANDBY_CHECK_S = 0.2
#: Minimum and maximum backoff in seconds after a failed call.
MIN_BACKOFF_S = 0.15
MAX_BACKOFF_S = 0.8


class Publisher(typing.Protocol):
    """Decides whether this gateway reads, and distributes what was read to peers."""

    def must_read(self) -> bool:
        """Tell whether this gateway has to read the source itself."""

    def start_wait_left_s(self) -> float:
        """Return for how many more seconds to wait for a peer before the first read."""

    def announce_reading(self) -> None:
        """Announce to the zone that this gateway reads the source from now on."""

    async def wait_for_takeover(self, limit_s: float) -> None:
        """Wait ``limit_s`` seconds, or until this gateway takes over as reader."""

    def announce_lost_source(self) -> None:
        """Announce to the zone that this gateway does not read the source any more."""

    def follow_wait_s(self, unix_s: float) -> float:
        """Return how many seconds to wait for changes, from a time of day on."""

    def publish(self, revision: int, era: int | None) -> None:
        """Offer the peers what was read up to ``revision`` of the source."""


class SourceReader:
    """
    Reads one source and follows its changes.

    Invariants: this gateway counts as a reader only while no response is overdue and
    at most one call in a row has failed; a fault of the source drops nothing that was
    in force; changes made in the meantime are read when the source is reachable again.
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
        self._has_failed = False
        self._responded_at = ids.Instant(float("-inf"))
        self._due_at = ids.NEVER
        self._delay_s = 0.0
        self._backoff = backoff.Backoff(gateway_state.rng, MIN_BACKOFF_S, MAX_BACKOFF_S)

    async def run(self) -> None:
        """Read and follow the source whenever this gateway is the reader."""
        while True:
            if self.publisher.must_read():
                await self._read_or_wait()
            else:
                # On standby, changes arrive from peers.
                self.state.reads_source = False
                self.revision = None
                await self._wait_on_standby()

    async def _wait_on_standby(self) -> None:
        """
        Wait until the next check of whether this gateway must read.

        Wakes up no later than the wait for a first peer ends: with checks only every
        ``STANDBY_CHECK_S``, a fleet that had lost power served its first request 0.2 s
        later than it could have.
        """
        start_wait_s = self.publisher.start_wait_left_s()
        if 0.0 < start_wait_s < STANDBY_CHECK_S:
            await asyncio.sleep(start_wait_s)
        else:
            limit_s = self.state.wakeups.delay_s(STANDBY_CHECK_S)
            await self.publisher.wait_for_takeover(limit_s)

    async def _read_or_wait(self) -> None:
        """Make one call to the source; back off if it fails."""
        fault = await self._call()
        if fault is None:
            if not self.state.reads_source:
                self.state.reads_source = True
                self.publisher.announce_reading()
            self._has_failed = False
            self._backoff.reset()
            self._report(is_unreachable=False, reason="")
        elif fault is sources.SourceFault.HISTORY_GONE:
            # The source has discarded changes since the last revision: read a snapshot.
            self.revision = None
        else:
            # A call may be cut off at any time; the next one shows more.
            if self._has_failed:
                self._note_lost_source()
            self._has_failed = True
            self._report(is_unreachable=True, reason=fault.value)
            await asyncio.sleep(self._backoff.next())

    async def _call(self) -> sources.SourceFault | None:
        try:
            if self.revision is None:
                return await self._read()
            return await self._follow(self.revision)
        except Exception as error:
            # Following from the same revision would fail in the same way each time.
            if not self.is_unreachable:
                events.emit(events.Event.LOOP_FAILED, error=repr(error))
            self.revision = None
            return sources.SourceFault.UNAVAILABLE

    async def _read(self) -> sources.SourceFault | None:
        self.state.metrics.store_calls.labels("read").inc()
        listing = self.state.listing
        before = (listing.era, listing.revision)
        with self._expected_within(READ_S):
            snapshot = await self.source.read()
        if isinstance(snapshot, sources.SourceFault):
            return snapshot
        self._note_response()
        self.revision = snapshot.revision
        self.era = snapshot.era
        # Only if a peer's list was applied during the call: otherwise a lower revision
        # means that the source was reset, and its snapshot is valid.
        is_stale = (
            listing.era,
            listing.revision,
        ) != before and listing.is_newer_than(snapshot.revision, snapshot.era)
        self.state.apply_snapshot(snapshot, is_stale=is_stale)
        self.publisher.publish(snapshot.revision, snapshot.era)
        return None

    async def _follow(self, after: int) -> sources.SourceFault | None:
        self.state.metrics.store_calls.labels("follow").inc()
        wait_s = CHECK_TIMEOUT_S
        if not self._has_failed:
            wait_s = self.publisher.follow_wait_s(time.time())
        with self._expected_within(wait_s):
            changes = await self.source.follow(after, wait_s)
        if isinstance(changes, sources.SourceFault):
            return changes
        self._note_response()
        if changes.era != self.era:
            # The source was restored: changes up to revision ``after`` would be missed.
            return sources.SourceFault.HISTORY_GONE
        self.revision = max(after, changes.revision)
        if self.state.apply_changes(changes):
            self.publisher.publish(changes.revision, changes.era)
            await asyncio.sleep(BATCH_WINDOW_S)
        return None

    @contextlib.contextmanager
    def _expected_within(self, limit_s: float) -> abc.Iterator[None]:
        """Stop to count as a reader if the response to a call is overdue."""
        self._due_at = ids.later(self.state.clock.now(), limit_s)
        overdue_s = OVERDUE_S + DELAY_FACTOR * self._delay_s
        loop = asyncio.get_running_loop()
        timer = loop.call_later(limit_s + overdue_s, self._note_lost_source)
        try:
            yield
        finally:
            timer.cancel()

    def _note_lost_source(self) -> None:
        """Stop to count as a reader, so that the next in rank reads."""
        if self.state.reads_source:
            self.state.reads_source = False
            self.publisher.announce_lost_source()

    def _note_response(self) -> None:
        """
        Record a response of the source, and whether it ends an outage.

        A reader that has had none before can't tell how long the source was away.
        """
        now = self.state.clock.now()
        self._delay_s = max(0.0, now - self._due_at)
        silent_s = now - self._responded_at
        if self._has_failed and silent_s >= lease_expiry.MIN_OUTAGE_S:
            self.state.listing.note_outage_end(now)
        self._responded_at = now

    def _report(self, *, is_unreachable: bool, reason: str) -> None:
        """Log when the source becomes unreachable or reachable again."""
        if is_unreachable == self.is_unreachable:
            return
        self.is_unreachable = is_unreachable
        if is_unreachable:
            events.emit(events.Event.STORE_LOST, reason=reason)
        else:
            events.emit(events.Event.STORE_BACK)
