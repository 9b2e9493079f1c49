"""
Reports when the event loop of this process was late, and whether the process ran then.

A gateway that refuses late has either computed for too long, or it was not run by its
host. The processor time that the process used in the meantime tells which.
"""

import asyncio
import time

from spindlenotch import events, ids

#: Lateness in seconds from which it is reported: refusals are due within that time.
MIN_LATE_S = 0.05
#: Decimal places of the reported times.
DIGITS = 3


class LoopLateness:
    """Compares when a periodic task wakes up with when it was due."""

    def __init__(self) -> None:
        self._due_at = ids.NEVER
        self._ran_s = 0.0

    def will_sleep(self, seconds: float) -> None:
        """Record that the task is about to sleep."""
        self._due_at = ids.later(_loop_now(), seconds)
        self._ran_s = time.process_time()

    def woke(self) -> None:
        """Report how late the task woke up, if it was late."""
        late_s = _loop_now() - self._due_at
        if late_s >= MIN_LATE_S:
            ran_s = time.process_time() - self._ran_s
            events.emit(
                events.Event.LOOP_LATE,
                late_s=round(late_s, DIGITS),
                ran_s=round(ran_s, DIGITS),
            )


def _loop_now() -> ids.Instant:
    return ids.Instant(asyncio.get_running_loop().time())
