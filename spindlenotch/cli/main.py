"""
The command line: one command per role, each a thin wrapper.
"""

import importlib
import os
import pathlib
import sys
from collections import abc

import cyclopts
import msgspec
import rich.console
import uvloop

import spindlenotch
from spindlenotch.cli import bundle_commands, load_commands, explain_entry, explain_logs
from spindlenotch.entry import daemon, settings
from spindlenotch.gateway import daemon as gateway_daemon, settings as gateway_settings

EXIT_USAGE = 2
EXIT_FAILED = 1

app = cyclopts.App(
    name="spindlenotch",
    help="A load balancer for servers whose load shifts in milliseconds.",
    version=spindlenotch.__version__,
)
app.command(bundle_commands.app, name="bundle")
app.command(load_commands.app, name="caller")


def _help(head: str, table: abc.Iterable[settings.Setting]) -> str:
    lines = [head, "", "Settings, as flag or variable:"]
    for s in table:
        default = "required" if s.default is None else f"default {s.default or 'empty'}"
        lines.append(
            f"* `{s.flag}` / `{s.variable}`: {s.meaning} ({s.kind.allowed}; {default})"
        )
    return "\n".join(lines)


def _unknown(
    flags: abc.Mapping[str, str], table: abc.Iterable[settings.Setting]
) -> list[settings.Fault]:
    known = {s.name for s in table}
    return [
        settings.Fault(f"--{name.replace('_', '-')}", value, "a known setting")
        for name, value in flags.items()
        if name not in known
    ]


@app.command(
    name="entry", help=_help("Run the daemon of an entry host.", settings.SETTINGS)
)
def run_entry(**flags: str) -> None:
    """Check all settings, then run until a signal."""
    flags = {name.replace("-", "_"): value for name, value in flags.items()}
    faults = _unknown(flags, settings.SETTINGS)
    config = settings.read(flags, os.environ)
    if isinstance(config, list):
        faults += config
    if faults:
        for fault in faults:
            print(fault, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    assert isinstance(config, settings.EntrySettings)
    daemon.run(config)


GATEWAY_HELP = (
    "Run a gateway, for callers that run nothing of ours. A flag goes before a"
    " variable, that before the file of `--settings-file`."
)


@app.command(name="gateway", help=_help(GATEWAY_HELP, gateway_settings.SETTINGS))
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
    given = {name.replace("-", "_"): value for name, value in flags.items()}
    faults = _unknown(given, gateway_settings.SETTINGS)

    def read() -> gateway_settings.GatewaySettings | list[settings.Fault]:
        values = gateway_settings.read_file(settings_file) if settings_file else {}
        if isinstance(values, list):
            return values
        return gateway_settings.read(given, os.environ, values)

    config = read()
    if isinstance(config, list):
        faults += config
    for fault in faults:
        print(fault, file=sys.stderr)
    if faults:
        sys.exit(EXIT_USAGE)
    if not check:
        source = gateway_daemon.SettingsSource(read, settings_file)
        sys.exit(gateway_daemon.run(source))


@app.command(name="explain")
def run_explain(
    operator: str = "",
    *,
    service: str = "",
    call: str = "",
    json: bool = False,
    logs: list[pathlib.Path] | None = None,
    request: str = "",
    upstream: str = "",
    config: str = "",
) -> None:
    """
    Say why an entry decides as it does, or why a gateway did so.

    Parameters
    ----------
    operator: IP:port of the entry's operator port.
    service: Show who could take a request of this service now, and why.
    call: Show what was decided on this request id.
    json: Print JSON only.
    logs: Files with log lines of gateways; repeat the flag for each file.
    request: With --logs: tell the story of this request id.
    upstream: With --logs: tell what was believed of this upstream.
    config: With --logs: tell when this version of the configuration came.
    """
    if logs:
        _explain_logs(logs, request, upstream, config)
        return
    if bool(service) == bool(call):
        print("give exactly one of --service and --call", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    found = uvloop.run(explain_entry.fetch(operator, service, call))
    if isinstance(found, str):
        print(found, file=sys.stderr)
        sys.exit(EXIT_FAILED)
    if json:
        print(msgspec.json.format(msgspec.json.encode(found)).decode())
        return
    console = rich.console.Console()
    for line in explain_entry.lines(found):
        console.print(line, highlight=False, markup=False)


def _explain_logs(
    logs: list[pathlib.Path], request: str, upstream: str, config: str
) -> None:
    asked = [
        explain_logs.Subject(field, value)
        for field, value in (
            ("request", request),
            ("upstream", upstream),
            ("version", config),
        )
        if value
    ]
    if len(asked) != 1:
        print("give exactly one of --request, --upstream, --config", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    try:
        story = explain_logs.tell(logs, asked[0])
    except OSError as error:
        print(f"--logs: {error.filename}: {error.strerror}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    for line in explain_logs.describe(story):
        print(line)
    if not story.lines:
        sys.exit(EXIT_FAILED)


@app.command(name="demo")
def run_demo(*, seconds: float = 30.0, plain: bool = False) -> None:
    """
    Show the whole system in one process, with faults, and stop by itself.

    Parameters
    ----------
    seconds: How long the traffic lasts.
    plain: Print lines in place of a live table.
    """
    # Imported here: the demo needs the stand-ins, the daemons do not.
    demo = importlib.import_module("demo.main")
    sys.exit(uvloop.run(demo.main(seconds, plain=plain)))


def main() -> None:
    """Run the command line."""
    app()
