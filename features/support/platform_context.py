"""
What the steps on the platform's stand-ins share: the scenario's fleet and loop.
"""

import typing

from features.support import platform_fleet

Fleet = platform_fleet.PlatformFleet


def run(context: typing.Any, work: typing.Any) -> typing.Any:
    """Run a coroutine in the scenario's loop."""
    return context.runner.run(work)


def fleet_of(context: typing.Any) -> Fleet:
    """Return the scenario's fleet."""
    return typing.cast(Fleet, context.platform)


def living(context: typing.Any) -> list[str]:
    """Return the nodes whose processes run."""
    processes = fleet_of(context).process_by_node
    return [node for node, p in processes.items() if p.returncode is None]
