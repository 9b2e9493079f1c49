"""Ends what runs in this process when it gets SIGTERM, as an interrupt does."""

import asyncio
import signal
import typing
from collections import abc

Result = typing.TypeVar("Result")


async def cancelling(work: abc.Coroutine[typing.Any, typing.Any, Result]) -> Result:
    """Return the result of ``work``; SIGTERM cancels it."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await work
