"""
Run a gateway as a process on a uvloop loop.

Owns the process: signals and reloads of the settings file. ``aiomisc`` is not used:
it adds memory to every gateway, and the event loop, signal handlers and shutdown
take only a few lines.
"""

import asyncio
import os
import signal
from collections import abc

import msgspec
import uvloop

from spindlenotch import clock, collector, events, ids
from spindlenotch.gateway import gateway, log_sink, settings
from spindlenotch.settings import schema

#: Seconds between checks of the settings file, which may change without a SIGHUP.
SETTINGS_CHECK_S = 1.0
#: Exit code when the settings are invalid.
EXIT_SETTINGS = 2


class SettingsSource(msgspec.Struct, frozen=True):
    """
    The source of the process's settings.

    ``read`` returns the settings, or all faults in them; ``path`` is the settings
    file, None without one.
    """

    read: abc.Callable[[], "settings.GatewaySettings | list[schema.Fault]"]
    path: str | None

    def modified_at_ns(self) -> int | None:
        """Return the file's modification time in ns; None without a readable file."""
        if self.path is None:
            return None
        try:
            return os.stat(self.path).st_mtime_ns
        except OSError:
            # The file may be absent for a moment while it is being replaced. The
            # settings in force are kept, and the next check finds the new file.
            return None


def run(source: SettingsSource, begun_at: ids.Instant | None = None) -> int:
    """
    Run until SIGTERM or SIGINT, then stop gracefully; return the exit code.

    ``begun_at`` is when the process began its imports, on the clock that gateways
    use; None if unknown.
    """
    log_sink.install()
    config = source.read()
    if isinstance(config, list):
        _log_faults(config)
        return EXIT_SETTINGS
    uvloop.run(_serve(config, source, begun_at))
    return 0


async def _serve(
    config: settings.GatewaySettings,
    source: SettingsSource,
    begun_at: ids.Instant | None,
) -> None:
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    running = gateway.create(config, _startup_duration_s(begun_at))
    loop.add_signal_handler(signal.SIGHUP, _reload, running, source)
    await running.start()
    file_watcher = asyncio.ensure_future(_watch_file(running, source))
    collector.tune()
    await stop_requested.wait()
    file_watcher.cancel()
    await running.stop()


def _startup_duration_s(begun_at: ids.Instant | None) -> float:
    if begun_at is None:
        return 0.0
    return clock.CLOCKS.get("boottime")().now() - begun_at


async def _watch_file(running: gateway.Gateway, source: SettingsSource) -> None:
    """Reload the settings whenever their file has been modified."""
    seen_ns = source.modified_at_ns()
    while True:
        await running.state.wakeups.sleep(SETTINGS_CHECK_S)
        modified_ns = source.modified_at_ns()
        if modified_ns is not None and modified_ns != seen_ns:
            seen_ns = modified_ns
            _reload(running, source)


def _reload(running: gateway.Gateway, source: SettingsSource) -> None:
    """Apply changed settings, or none of them if any is invalid."""
    config = source.read()
    if isinstance(config, list):
        _log_faults(config)
        return
    running.state.apply_settings(config)
    events.emit(events.Event.SETTINGS_RELOADED, host=config.host)


def _log_faults(faults: list[schema.Fault]) -> None:
    for fault in faults:
        events.emit(events.Event.SETTINGS_REFUSED, fault=str(fault))
