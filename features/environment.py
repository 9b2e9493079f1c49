"""
Behave's hooks: one event loop and one fleet per scenario.
"""

import asyncio
import pathlib
import sys
import typing

import loguru
import uvloop

from features.support import entry_fleet
from spindlenotch.entry import plugins

# The adapter is started from its own folder; tests import it from there too.
sys.path.append(str(pathlib.Path(__file__).parents[1] / "platform"))


def before_all(context: typing.Any) -> None:
    """Load the plug-ins and keep the product's log out of the report."""
    plugins.load()
    loguru.logger.remove()
    loguru.logger.add(sys.stderr, level="CRITICAL")


def before_scenario(context: typing.Any, scenario: typing.Any) -> None:
    """Give the scenario a loop of its own."""
    context.runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
    context.fleet = entry_fleet.Fleet()


def after_scenario(context: typing.Any, scenario: typing.Any) -> None:
    """End what the scenario started."""
    platform = getattr(context, "platform", None)
    if platform is not None:
        if scenario.status.has_failed():
            platform.print_logs()
        context.runner.run(platform.close())
    context.runner.run(context.fleet.close())
    context.runner.close()
