"""
Tasks that run beside the caller's own work until they end or are stopped.

Owns the references that keep asyncio from collecting a running task, and the rule
for a loop that fails. Each part that starts tasks of its own holds one
``BackgroundTasks``.
"""

import asyncio
from collections import abc

from spindlenotch import events

#: Seconds before a loop that failed is begun anew: short beside the time after which
#: peers suspect a process, long enough not to fill the log.
RESTART_PAUSE_S = 0.2


class BackgroundTasks:
    """
    The running background tasks of one part.

    The error of a failed task is not raised here: asyncio's exception handler
    logs it when the task is collected.
    """

    def __init__(self) -> None:
        self.running: set[asyncio.Task[None]] = set()

    def spawn(self, work: abc.Coroutine[None, None, None]) -> None:
        """Run ``work`` as a task."""
        task = asyncio.ensure_future(work)
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in list(self.running):
            task.cancel()
        await asyncio.gather(*self.running, return_exceptions=True)


async def restart_on_error(loop: abc.Callable[[], abc.Awaitable[None]]) -> None:
    """
    Run a loop that never ends; log a failure and begin it anew.

    A process without one of its loops would serve from a state that nobody updates.
    """
    while True:
        try:
            await loop()
        except Exception as error:
            events.emit(events.Event.LOOP_FAILED, error=repr(error))
            await asyncio.sleep(RESTART_PAUSE_S)
