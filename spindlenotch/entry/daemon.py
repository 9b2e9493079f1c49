"""
The entry daemon: an entry as a process, an aiomisc service on a uvloop loop.

Owns the log's sink, the signals' handling (through aiomisc) and the settings
of the garbage collector. Everything else is in ``entry``.
"""

import gc
import sys
import typing

import aiomisc
import loguru

from spindlenotch.entry import entry, settings

#: Seconds after which aiomisc gives up a stop. A planned stop has no limit unless
#: the operator set one, so this only has to be longer than any; 30 days.
LONGEST_STOP_S = 30 * 24 * 3600.0
#: Objects of the youngest generation die with their request, so full collections
#: are made rare. The values are chosen; their effect together with
#: ``_settle_memory`` is in docs/MEASUREMENTS.md, "What an entry adds".
GC_THRESHOLDS = (20_000, 20, 100)


class EntryService(aiomisc.Service):
    """Starts the entry with the loop; a signal begins a planned stop."""

    config: settings.EntrySettings
    running: entry.Entry | None = None

    async def start(self) -> None:
        """Start the entry; return once its ports are open."""
        self.running = entry.create(self.config)
        await self.running.start()
        _settle_memory()
        self.start_event.set()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the entry after the requests in flight have ended."""
        if self.running is not None:
            await self.running.stop()


def _settle_memory() -> None:
    """
    Keep the garbage collector away from what lives as long as the process.

    A full collection that walks modules and start-up state stops the loop for
    tens of milliseconds (docs/MEASUREMENTS.md, "What an entry adds").
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def run(config: settings.EntrySettings) -> None:
    """Run until SIGTERM or SIGINT, then make a planned stop."""
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
