"""
Writes the status of one order to the source, one write at a time.

A write whose response is lost may have been applied, or be applied later: it is retried
under the same condition until the source refuses it or its effect is seen, and until
then nothing that contradicts it is written. Retries back off, so that a source that is
down or refuses is called a few times only.
"""

from spindlenotch import events, ids
from spindlenotch.gateway import state
from spindlenotch.gateway.source import sources
from spindlenotch.kernel import backoff
from spindlenotch.peers import background

#: Lower bound of the back-off before a write is retried, in seconds: half a second is
#: far above a store's usual response time.
MIN_BACKOFF_S = 0.3
#: Upper bound of that back-off, in seconds: some retries fit into an order's last
#: seconds.
MAX_BACKOFF_S = 2.0
#: Seconds in which a written status should be read back from the source before it is
#: written again, which would only cause a conflict.
READ_BACK_S = 3.0
#: Faults that mean that a write was not applied: rejected by a limit or refused.
NOT_APPLIED_FAULTS = (
    sources.SourceFault.OVER_LIMIT,
    sources.SourceFault.HISTORY_GONE,
    sources.SourceFault.CONFLICT,
)


class StatusWriter:
    """
    Writes the status of one order.

    Invariant: ``_pending`` is a write whose outcome is not known, None if there is
    none; it counts until the status that it was to replace has changed.
    """

    def __init__(
        self,
        gateway_state: state.GatewayState,
        source: sources.Source,
        order: sources.RolloutOrder,
        tasks: background.BackgroundTasks,
    ) -> None:
        self.state = gateway_state
        self.source = source
        self.order = order
        self._pending: sources.RolloutStatus | None = None
        self._tasks = tasks
        self._is_writing = False
        self._next_at = ids.Instant(float("-inf"))
        self._pauses = backoff.Backoff(gateway_state.rng, MIN_BACKOFF_S, MAX_BACKOFF_S)

    @property
    def pending_state(self) -> sources.RolloutState | None:
        """Return the state of a write of unknown outcome, None if there is none."""
        if self._pending is None or self._pending.revision != self._known_revision():
            # The status to be replaced has changed: it was applied, or never will be.
            return None
        return self._pending.state

    def write(self, wanted: sources.RolloutState, now: ids.Instant) -> None:
        """Begin to write a state, unless a write is in progress or was just made."""
        if self._is_writing or now < self._next_at:
            return
        self._is_writing = True
        earlier = None if self.pending_state is None else self._pending
        # It replaces the status known at the time of the decision, none read since.
        status = sources.RolloutStatus(
            self.order.service, self.order.target, wanted, self._known_revision()
        )
        self._pending = status
        self._tasks.spawn(self._write(status, earlier))

    def _known_revision(self) -> int:
        known = self.state.rollouts.orders.status_by_service.get(self.order.service)
        return 0 if known is None else known.revision

    async def _write(
        self, status: sources.RolloutStatus, earlier: sources.RolloutStatus | None
    ) -> None:
        try:
            self.state.metrics.store_calls.labels("rollout").inc()
            outcome = await self.source.write_rollout_status(self.order, status)
            if outcome in NOT_APPLIED_FAULTS:
                # An earlier write under the same condition may still be applied.
                self._pending = earlier
            self._handle_outcome(status, outcome)
        finally:
            self._is_writing = False

    def _handle_outcome(
        self, status: sources.RolloutStatus, outcome: int | sources.SourceFault
    ) -> None:
        now = self.state.clock.now()
        if isinstance(outcome, sources.SourceFault):
            self._next_at = ids.later(now, self._pauses.next())
            self._report_fault(status, outcome)
            return
        self._pending = None
        self._pauses.reset()
        self._next_at = ids.later(now, READ_BACK_S)
        written = sources.RolloutStatus(
            status.service, status.target, status.state, outcome
        )
        events.emit(
            events.Event.ROLLOUT_STATUS_WRITTEN,
            service=status.service,
            target=status.target,
            state=status.state.value,
            revision=outcome,
        )
        if outcome:
            self._next_at = now
            self.state.apply_rollout_status(written)

    def _report_fault(
        self, status: sources.RolloutStatus, fault: sources.SourceFault
    ) -> None:
        events.emit(
            events.Event.ROLLOUT_STATUS_FAILED,
            service=status.service,
            target=status.target,
            state=status.state.value,
            expected=status.revision,
            reason=fault.value,
        )
