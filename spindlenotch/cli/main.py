"""
The program ``spindlenotch``: puts the commands of all modules under one name.
"""

import importlib
import sys

import cyclopts
import uvloop

import spindlenotch
from spindlenotch.cli import (
    bundle_commands,
    daemon_commands,
    explain_commands,
    load_commands,
)

app = cyclopts.App(
    name="spindlenotch",
    help="A load balancer for servers whose load shifts in milliseconds.",
    version=spindlenotch.__version__,
)
app.command(bundle_commands.app, name="bundle")
app.command(load_commands.app, name="caller")
app.command(daemon_commands.run_entry, name="entry", help=daemon_commands.ENTRY_HELP)
app.command(
    daemon_commands.run_gateway, name="gateway", help=daemon_commands.GATEWAY_HELP
)
app.command(explain_commands.run_explain, name="explain")


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
