"""
``spindlenotch entry`` and ``spindlenotch gateway``: check settings, then run.

The settings are given as flags, whose names are in the settings tables; every
fault among them is printed before the process ends.
"""

import os
import sys
import typing
from collections import abc

from spindlenotch.cli import reports
from spindlenotch.entry import daemon, settings
from spindlenotch.gateway import daemon as gateway_daemon, settings as gateway_settings
from spindlenotch.settings import schema


def help_text(head: str, table: abc.Iterable[schema.Setting]) -> str:
    """Return the help of a daemon: ``head`` and its settings."""
    lines = [head, "", "Settings, as flag or variable:"]
    for s in table:
        default = "required" if s.default is None else f"default {s.default or 'empty'}"
        lines.append(
            f"* `{s.flag}` / `{s.variable}`: {s.meaning} ({s.kind.allowed}; {default})"
        )
    return "\n".join(lines)


ENTRY_HELP = help_text("Run the daemon of an entry host.", settings.SETTINGS)
GATEWAY_HELP = help_text(
    "Run a gateway, for callers that run nothing of ours. A flag goes before a"
    " variable, that before the file of `--settings-file`.",
    gateway_settings.SETTINGS,
)


def run_entry(**flags: str) -> None:
    """Check all settings, then run until a signal."""
    text_by_name = _by_setting_name(flags)
    faults = _unknown_flags(text_by_name, settings.SETTINGS)
    config = settings.read(text_by_name, os.environ)
    if isinstance(config, list):
        _end_with(faults + config)
    if faults:
        _end_with(faults)
    daemon.run(config)


def run_gateway(
    *, settings_file: str | None = None, check: bool = False, **flags: str
) -> None:
    """
    Check all settings, then run until a signal.

    Parameters
    ----------
    settings_file: TOML file of settings, by the names of the flags.
    check: Check the settings and stop.
    """
    text_by_name = _by_setting_name(flags)

    def read() -> gateway_settings.GatewaySettings | list[schema.Fault]:
        # The gateway calls this again when it is to reload its settings.
        values = gateway_settings.read_file(settings_file) if settings_file else {}
        if isinstance(values, list):
            return values
        return gateway_settings.read(text_by_name, os.environ, values)

    faults = _unknown_flags(text_by_name, gateway_settings.SETTINGS)
    config = read()
    if isinstance(config, list):
        faults += config
    if faults:
        _end_with(faults)
    if not check:
        source = gateway_daemon.SettingsSource(read, settings_file)
        sys.exit(gateway_daemon.run(source))


def _by_setting_name(flags: abc.Mapping[str, str]) -> dict[str, str]:
    return {name.replace("-", "_"): text for name, text in flags.items()}


def _unknown_flags(
    text_by_name: abc.Mapping[str, str], table: abc.Iterable[schema.Setting]
) -> list[schema.Fault]:
    known = {setting.name for setting in table}
    return [
        schema.Fault(f"--{name.replace('_', '-')}", text, "a known setting")
        for name, text in text_by_name.items()
        if name not in known
    ]


def _end_with(faults: abc.Iterable[schema.Fault]) -> typing.NoReturn:
    for fault in faults:
        print(fault, file=sys.stderr)
    sys.exit(reports.ExitCode.BAD_INPUT)
