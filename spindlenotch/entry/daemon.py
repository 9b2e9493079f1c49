"""
The entry daemon: an entry as a process, an aiomisc service on a uvloop loop.

Owns the log's sink and the signals' handling (through aiomisc). Everything else
is in ``entry``.
"""

import sys
import typing

import aiomisc
import loguru

from spindlenotch import collector
from spindlenotch.entry import entry, settings

#: Seconds after which aiomisc gives up a stop. A planned stop has no limit unless
#: the operator set one, so this only has to be longer than any; 30 days.
LONGEST_STOP_S = 30 * 24 * 3600.0


class EntryService(aiomisc.Service):
    """Starts the entry with the loop; a signal begins a planned stop."""

    config: settings.EntrySettings
    running: entry.Entry | None = None

    async def start(self) -> None:
        """Start the entry; return once its ports are open."""
        self.running = entry.create(self.config)
        await self.running.start()
        collector.tune()
        self.start_event.set()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the entry after the requests in flight have ended."""
        if self.running is not None:
            await self.running.stop()


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
