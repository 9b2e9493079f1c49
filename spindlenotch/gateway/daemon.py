"""
Run a gateway as a process on a uvloop loop.

``aiomisc`` is left out here: the process lives by its memory, and loop,
signals and stop are a few lines (see docs/DESIGN.md).
"""

import asyncio
import gc
import signal
from collections import abc

import uvloop

from spindlenotch import events
from spindlenotch.gateway import gateway, log_sink, settings

#: Young objects die with their request; look at the rest seldom.
GC_THRESHOLDS = (20_000, 20, 100)

ReadSettings = abc.Callable[[], "settings.GatewaySettings | list[settings.Fault]"]


def run(read: ReadSettings) -> int:
    """Run until SIGTERM or SIGINT, then stop as planned; return the exit code."""
    log_sink.install()
    config = read()
    if isinstance(config, list):
        for fault in config:
            events.emit(events.Event.SETTINGS_REFUSED, fault=str(fault))
        return 2
    uvloop.run(_serve(config, read))
    return 0


async def _serve(config: settings.GatewaySettings, read: ReadSettings) -> None:
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    running = gateway.create(config)
    loop.add_signal_handler(signal.SIGHUP, _reload, running, read)
    await running.start()
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    await stopped.wait()
    await running.stop()


def _reload(running: gateway.Gateway, read: ReadSettings) -> None:
    """Take in changed settings; those that can't be used change nothing."""
    config = read()
    if isinstance(config, list):
        for fault in config:
            events.emit(events.Event.SETTINGS_REFUSED, fault=str(fault))
        return
    running.state.take_settings(config)
    events.emit(events.Event.SETTINGS_RELOADED, host=config.host)
