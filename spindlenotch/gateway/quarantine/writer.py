"""
Writes quarantined requests to the source, for a fleet that is started anew.

Only gateways that read the source write, each after a random delay, so that usually a
single one does: the number of calls grows with such requests and not with hosts. A
write that conflicts with another gateway's changes nothing; the other's record arrives
with the next read.
"""

from collections import abc

from spindlenotch import events, ids
from spindlenotch.gateway import state
from spindlenotch.gateway.source import sources

#: Seconds between two checks for records to be written.
CHECK_PERIOD_S = 0.4
#: Upper bound of a reader's delay in seconds, so that another reader's record may
#: arrive first: a change is read about 0.1 s after it was written.
MAX_WAIT_S = 1.2
#: Seconds between two attempts to write while they fail.
RETRY_S = 2.0


class QuarantineWriter:
    """
    Writes the records that the source lacks.

    Invariant: one write at a time, and none before ``_write_at``.
    """

    def __init__(
        self,
        gateway_state: state.GatewayState,
        source: sources.Source,
        is_reader: abc.Callable[[], bool],
    ) -> None:
        self.state = gateway_state
        self.source = source
        self.is_reader = is_reader
        self._write_at = ids.NEVER

    async def run(self) -> None:
        """Write missing records until cancelled."""
        while True:
            await self.state.wakeups.sleep(CHECK_PERIOD_S)
            await self.check()

    async def check(self) -> None:
        """Write the missing records once the delay has passed."""
        now = self.state.clock.now()
        missing = self.state.quarantines.unstored()
        if not (missing and self.state.reads_source and self.is_reader()):
            self._write_at = ids.NEVER
            return
        if self._write_at == ids.NEVER:
            wait_s = self.state.rng.uniform(0.0, MAX_WAIT_S)
            self._write_at = ids.later(now, wait_s)
        if now >= self._write_at:
            for quarantine in missing:
                await self._write(quarantine)

    async def _write(self, quarantine: sources.StoredQuarantine) -> None:
        self._write_at = ids.later(self.state.clock.now(), RETRY_S)
        self.state.metrics.store_calls.labels("quarantine").inc()
        fault = await self.source.write_quarantine(quarantine)
        events.emit(
            events.Event.QUARANTINE_WRITTEN,
            fingerprint=quarantine.note.fingerprint,
            revision=quarantine.revision,
            outcome="written" if fault is None else fault.value,
        )
