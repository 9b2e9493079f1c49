"""
Run an entry as a process: an aiomisc service on a uvloop loop.
"""

import gc
import sys
import typing

import aiomisc
import loguru

from spindlenotch.entry import entry, settings

#: aiomisc gives up a stop after this long. A planned stop has no limit unless
#: the operator set one, so this is only "very long".
LONGEST_STOP_S = 30 * 24 * 3600.0
#: Young objects die with their request; look at the rest seldom.
GC_THRESHOLDS = (20_000, 20, 100)


class EntryService(aiomisc.Service):
    """Starts the entry with the loop and stops it as planned on a signal."""

    config: settings.EntrySettings
    running: entry.Entry | None = None

    async def start(self) -> None:
        """Start the entry; return once its ports are open."""
        self.running = entry.create(self.config)
        await self.running.start()
        _settle_memory()
        self.start_event.set()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the entry, cutting nothing."""
        if self.running is not None:
            await self.running.stop()


def _settle_memory() -> None:
    """
    Keep the garbage collector away from what lives as long as the process.

    Modules and start-up state are some hundred thousand objects; a full
    collection that walks them stops the loop for tens of milliseconds.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def run(config: settings.EntrySettings) -> None:
    """Run until SIGTERM or SIGINT, then stop as planned."""
    loguru.logger.remove()
    loguru.logger.add(sys.stderr, serialize=True, level="INFO")
    service = EntryService(config=config)
    with aiomisc.entrypoint(
        typing.cast(aiomisc.Service, service),
        pool_size=1,
        log_config=False,
        shutdown_timeout=LONGEST_STOP_S,
    ) as loop:
        loop.run_forever()
