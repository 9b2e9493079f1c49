"""
Periodic work on the entry's own state, without any input or output.

Each function is one loop that runs until it is cancelled.
"""

import asyncio
from collections import abc

from spindlenotch.entry import entry_state, readiness

#: Seconds between two rounds of ``update_balancers``.
UPDATE_PERIOD_S = 0.25


async def watch_for_pauses(
    state: entry_state.EntryState, on_pause: abc.Callable[[], None]
) -> None:
    """Observe that the process runs; call ``on_pause`` after each pause."""
    while True:
        now = state.clock.now()
        if state.readiness.observe(now) is readiness.Gap.PAUSE:
            on_pause()
        await asyncio.sleep(readiness.OBSERVED_EVERY_S)


async def update_balancers(state: entry_state.EntryState) -> None:
    """Let ejections expire and report changes of upstreams."""
    while True:
        state.tick(state.clock.now())
        await asyncio.sleep(UPDATE_PERIOD_S)
