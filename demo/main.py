"""
Run the demo: start both deployments, send traffic, break things, report.
"""

import asyncio
import sys
import time

import loguru

from demo import deployment, incidents, plans, screen, traffic
from spindlenotch.entry import plugins

#: Bounds of ``--seconds``: all incidents fit in, and one runs it without care.
MIN_SECONDS = 5.0
MAX_SECONDS = 50.0
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2


async def main(seconds: float, *, plain: bool = False) -> int:
    """Run the demo; return the exit code, 1 where a request ran twice."""
    if not MIN_SECONDS <= seconds <= MAX_SECONDS:
        allowed = f"a number from {MIN_SECONDS:g} to {MAX_SECONDS:g}"
        print(f"--seconds: {allowed}", file=sys.stderr)
        return EXIT_BAD_INPUT
    loguru.logger.remove()
    plugins.load()
    tuul = deployment.Deployment(plans.TUUL_STEPPE)
    dakar = deployment.Deployment(plans.DAKAR)
    callers = (traffic.Callers(tuul), traffic.Callers(dakar))
    shown = screen.Screen(callers)
    loguru.logger.add(
        lambda message: shown.add_event(message.record["message"]),
        level="INFO",
        filter=_is_shown,
    )
    shown.console.print("starting two deployments with 72 upstreams, 6 entries ...")
    await asyncio.gather(tuul.start(), dakar.start())
    shown.restart_clock()
    until = time.monotonic() + seconds
    work = [c.send(kind, until) for c in callers for kind in c.target.plan.traffic]
    work.append(incidents.run(tuul, dakar, shown, seconds))
    task = asyncio.gather(*work)
    await shown.follow(task, plain=plain)
    await task
    shown.summarize()
    failed = any(c.ran_twice() for c in callers)
    await asyncio.gather(*(_stop(c) for c in callers))
    return EXIT_FAILED if failed else 0


def _is_shown(record: "loguru.Record") -> bool:
    return record["extra"].get("event", 0) in screen.EVENT_NUMBERS


async def _stop(callers: traffic.Callers) -> None:
    await callers.close()
    await callers.target.stop()
