"""
Background tasks that run until they end or are cancelled.

Holds references to running tasks, because asyncio itself keeps only weak ones and a
task could be garbage-collected, and restarts loops that fail. Each part that starts
tasks of its own has one ``BackgroundTasks``.
"""

import asyncio
from collections import abc

from spindlenotch import events

#: Seconds before a failed loop is restarted: short compared with the time after which
#: peers suspect a process, long enough not to flood the log.
RESTART_PAUSE_S = 0.2


class BackgroundTasks:
    """
    The running background tasks of one part.

    The error of a failed task is not raised here: asyncio's exception handler
    logs it when the task is garbage-collected.
    """

    def __init__(self) -> None:
        self.running: set[asyncio.Task[None]] = set()

    def spawn(self, work: abc.Coroutine[None, None, None]) -> None:
        """Start a task that runs ``work``."""
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
    Run a loop that never ends; if it fails, log the error and restart it.

    Without one of its loops, the process would serve from state that is not updated.
    """
    while True:
        try:
            await loop()
        except Exception as error:
            events.emit(events.Event.LOOP_FAILED, error=repr(error))
            await asyncio.sleep(RESTART_PAUSE_S)
