"""
Run the demo: start both deployments, send traffic, break things, report.
"""

import asyncio
import dataclasses
import sys
import time
from collections import abc

import loguru
import rich.console
import rich.live
import rich.table

from demo import deployment, plans
from spindlenotch.entry import plugins

MAX_SECONDS = 50.0
REFRESH_S = 1.0
EVENTS_SHOWN = 10


@dataclasses.dataclass(slots=True)
class Show:
    """What is on the screen: the deployments and the last events."""

    deployments: list[deployment.Deployment]
    console: rich.console.Console
    events: list[str]
    began: float

    def say(self, text: str) -> None:
        """Add an event."""
        self.events.append(f"{time.monotonic() - self.began:5.1f} s  {text}")

    def table(self) -> rich.table.Table:
        """Return the table of the moment."""
        table = rich.table.Table(title="spindlenotch demo", show_lines=False)
        for name in ("deployment", "request", "answers", "p50 ms", "p99 ms"):
            table.add_column(name)
        for one in self.deployments:
            for kind, times in one.times_by_kind.items():
                table.add_row(
                    one.plan.name,
                    kind,
                    str(times.get_total_count()),
                    f"{times.get_value_at_percentile(50) / 1000:.1f}",
                    f"{times.get_value_at_percentile(99) / 1000:.1f}",
                )
            share = one.probe_share(max(1.0, time.monotonic() - self.began))
            table.add_row(
                one.plan.name,
                "bundle in force",
                ", ".join(map(str, one.versions())),
                "probes",
                f"{share:.3%}",
            )
        table.caption = "\n".join(self.events[-EVENTS_SHOWN:])
        table.caption_justify = "left"
        return table


async def main(seconds: float, *, plain: bool = False) -> int:
    """Run the demo; return the exit code."""
    if not 5.0 <= seconds <= MAX_SECONDS:
        print(f"--seconds: a number from 5 to {MAX_SECONDS:g}", file=sys.stderr)
        return 2
    loguru.logger.remove()
    plugins.load()
    show = Show(
        [deployment.Deployment(plans.TUUL_STEPPE), deployment.Deployment(plans.DAKAR)],
        rich.console.Console(),
        [],
        time.monotonic(),
    )
    loguru.logger.add(
        lambda message: show.say(message.record["message"]),
        level="INFO",
        filter=_worth_showing,
    )
    show.console.print("starting two deployments with 72 upstreams, 6 entries ...")
    await asyncio.gather(*(d.start() for d in show.deployments))
    show.began = time.monotonic()
    until = show.began + seconds
    work = [d.send(kind, until) for d in show.deployments for kind in d.plan.traffic]
    work.append(_faults(show, seconds))
    await _watch(show, work, plain=plain)
    code = _summary(show, time.monotonic() - show.began)
    await asyncio.gather(*(d.stop() for d in show.deployments))
    return code


def _worth_showing(record: "loguru.Record") -> bool:
    return bool(record["extra"].get("event", 0) in (201, 401, 402, 403, 502))


async def _watch(
    show: Show, work: list[abc.Coroutine[None, None, None]], *, plain: bool
) -> None:
    task = asyncio.gather(*work)
    if plain or not show.console.is_terminal:
        shown = 0
        while not task.done():
            await asyncio.sleep(REFRESH_S)
            for line in show.events[shown:]:
                print(line, flush=True)
            shown = len(show.events)
    else:
        with rich.live.Live(show.table(), console=show.console) as live:
            while not task.done():
                await asyncio.sleep(REFRESH_S)
                live.update(show.table())
    await task


async def _faults(show: Show, seconds: float) -> None:
    """One failure, one drain, one bundle change, and the recovery."""
    tuul, dakar = show.deployments
    await asyncio.sleep(seconds * 0.2)
    broken = dakar.upstream_by_name["carothek-03"]
    show.say("FAULT  carothek-03 fails everything at once")
    broken.behaviour.fail_fast = True
    await asyncio.sleep(seconds * 0.2)
    leaving = tuul.upstream_by_name["resv-core-07"]
    show.say("FAULT  resv-core-07 starts to drain; the host list does not say so")
    leaving.behaviour.draining = True
    await asyncio.sleep(seconds * 0.2)
    show.say("CHANGE an operator publishes version 2 for tuul")
    text = (deployment.BUNDLES / tuul.plan.bundle).read_text()
    began = time.monotonic()
    await tuul.publish(text.replace("typical_ms = 40.0", "typical_ms = 45.0"))
    while set(tuul.versions()) != {tuul.version}:
        await asyncio.sleep(0.005)
    took_ms = (time.monotonic() - began) * 1000
    show.say(f"CHANGE in force on every entry {took_ms:.0f} ms after it was begun")
    broken.behaviour.fail_fast = False
    show.say("HEALED carothek-03 works again")


def _summary(show: Show, elapsed_s: float) -> int:
    show.console.print(show.table())
    good = True
    for one in show.deployments:
        twice = one.ran_twice()
        good &= not twice
        answers = ", ".join(f"{k} {n}" for k, n in sorted(one.outcomes.items()))
        show.console.print(f"{one.plan.name}: {answers}", highlight=False)
        show.console.print(
            f"{one.plan.name}: {len(one.sent_unrepeatable)} requests that may not be"
            f" repeated, {len(twice)} ran twice;"
            f" probes took {one.probe_share(elapsed_s):.3%} of upstream capacity",
            highlight=False,
        )
    return 0 if good else 1
