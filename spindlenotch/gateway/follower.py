"""
Keeps the beliefs in step with the source of configuration and upstreams.

While it is this gateway's turn to read (see ``relay``): read everything, then
follow what changes. The wait of one call is bounded, so that an answer that
was lost on the way blinds the gateway for a known time only.
"""

import asyncio
from collections import abc

from spindlenotch import events
from spindlenotch.gateway import sources, state as states
from spindlenotch.kernel import backoff

#: Longest wait of one call; also bounds how long a lost answer goes unseen.
WAIT_S = 2.4
#: Changes that come within this time of each other are fetched by one call.
GATHER_S = 0.1
#: How often a gateway that does not read looks whether it must.
OFF_DUTY_S = 0.2
BACKOFF_LEAST_S = 0.15
BACKOFF_MOST_S = 0.8


class Follower:
    """
    Follows one source.

    Invariant: after a fault nothing that was in force is dropped; what
    changed meanwhile is read when the source answers again.
    """

    def __init__(
        self,
        state: states.GatewayState,
        source: sources.Source,
        must_read: abc.Callable[[], bool],
        publish: abc.Callable[[int], None],
    ) -> None:
        self.state = state
        self.source = source
        self.must_read = must_read
        self.publish = publish
        self.revision: int | None = None
        self.lost = False
        self._backoff = backoff.Backoff(state.rng, BACKOFF_LEAST_S, BACKOFF_MOST_S)

    async def run(self) -> None:
        """Follow the source until cancelled."""
        while True:
            if not self.must_read():
                # What changes meanwhile comes from peers.
                self.state.reads_source = False
                self.revision = None
                await asyncio.sleep(OFF_DUTY_S)
                continue
            fault = await self._step()
            self.state.reads_source = fault is None
            if fault is None:
                self._backoff.reset()
                self._note(lost=False, reason="")
            elif fault is sources.SourceFault.HISTORY_GONE:
                self.revision = None
            else:
                self.state.listing.note_fault(self.state.clock.now())
                self._note(lost=True, reason=fault.value)
                await asyncio.sleep(self._backoff.next())

    async def _step(self) -> sources.SourceFault | None:
        if self.revision is None:
            self.state.metrics.store_calls.labels("read").inc()
            snapshot = await self.source.read()
            if isinstance(snapshot, sources.SourceFault):
                return snapshot
            self.revision = snapshot.revision
            self.state.apply_snapshot(snapshot)
            self.publish(snapshot.revision)
            return None
        self.state.metrics.store_calls.labels("follow").inc()
        changes = await self.source.follow(self.revision, WAIT_S)
        if isinstance(changes, sources.SourceFault):
            return changes
        self.revision = max(self.revision, changes.revision)
        if self.state.apply_changes(changes):
            self.publish(changes.revision)
            await asyncio.sleep(GATHER_S)
        return None

    def _note(self, *, lost: bool, reason: str) -> None:
        if lost == self.lost:
            return
        self.lost = lost
        if lost:
            events.emit(events.Event.STORE_LOST, reason=reason)
        else:
            events.emit(events.Event.STORE_BACK)
