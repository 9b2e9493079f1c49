"""
Run a gateway as a process on a uvloop loop.

``aiomisc`` is left out here: the process lives by its memory, and loop,
signals and stop are a few lines (see docs/DESIGN.md).
"""

import asyncio
import dataclasses
import gc
import os
import signal
from collections import abc

import uvloop

from spindlenotch import events
from spindlenotch.gateway import gateway, log_sink, settings

#: Young objects die with their request; look at the rest seldom.
GC_THRESHOLDS = (20_000, 20, 100)
#: How often the settings file is looked at; it may change without a signal.
LOOKED_AT_S = 1.0
EXIT_SETTINGS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsSource:
    """Where settings come from; ``path`` is the file behind them, if any."""

    read: abc.Callable[[], "settings.GatewaySettings | list[settings.Fault]"]
    path: str | None

    def stamp(self) -> int | None:
        """Return what changes whenever the file does; None without one."""
        if self.path is None:
            return None
        try:
            return os.stat(self.path).st_mtime_ns
        except OSError:
            return None


def run(source: SettingsSource) -> int:
    """Run until SIGTERM or SIGINT, then stop as planned; return the exit code."""
    log_sink.install()
    config = source.read()
    if isinstance(config, list):
        _refuse(config)
        return EXIT_SETTINGS
    uvloop.run(_serve(config, source))
    return 0


async def _serve(config: settings.GatewaySettings, source: SettingsSource) -> None:
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    running = gateway.create(config)
    loop.add_signal_handler(signal.SIGHUP, _reload, running, source)
    await running.start()
    watching = asyncio.ensure_future(_watch_file(running, source))
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    await stopped.wait()
    watching.cancel()
    await running.stop()


async def _watch_file(running: gateway.Gateway, source: SettingsSource) -> None:
    """Read the settings again when their file has changed."""
    seen = source.stamp()
    while True:
        await asyncio.sleep(LOOKED_AT_S)
        stamp = source.stamp()
        if stamp is not None and stamp != seen:
            seen = stamp
            _reload(running, source)


def _reload(running: gateway.Gateway, source: SettingsSource) -> None:
    """Take in changed settings; those that can't be used change nothing."""
    config = source.read()
    if isinstance(config, list):
        _refuse(config)
        return
    running.state.take_settings(config)
    events.emit(events.Event.SETTINGS_RELOADED, host=config.host)


def _refuse(faults: list[settings.Fault]) -> None:
    for fault in faults:
        events.emit(events.Event.SETTINGS_REFUSED, fault=str(fault))
