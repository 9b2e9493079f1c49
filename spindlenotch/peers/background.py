"""
Tasks that run beside the caller's own work until they end or are stopped.

Owns the references that keep asyncio from collecting a running task. Each
part that starts tasks of its own holds one ``BackgroundTasks``.
"""

import asyncio
from collections import abc


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
