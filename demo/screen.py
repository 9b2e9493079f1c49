"""
What the demo shows: a table of the deployments, the last events, a summary.
"""

import asyncio
import time
from collections import abc

import rich.console
import rich.live
import rich.table

from demo import traffic
from spindlenotch import events

REFRESH_S = 1.0
EVENTS_SHOWN = 10
COLUMNS = ("deployment", "request", "answers", "p50 ms", "p99 ms")
#: Events of the product that are shown among the demo's own.
EVENT_NUMBERS = frozenset(
    event.value.number
    for event in (
        events.Event.BUNDLE_APPLIED,
        events.Event.UPSTREAM_EJECTED,
        events.Event.UPSTREAM_BACK,
        events.Event.UPSTREAM_LEAVING,
        events.Event.OUTCOME_UNKNOWN,
    )
)


class Screen:
    """The console with the state of all deployments; times count from ``began``."""

    def __init__(self, callers: abc.Sequence[traffic.Callers]) -> None:
        self.callers = callers
        self.console = rich.console.Console()
        self.events: list[str] = []
        self.began = time.monotonic()

    def restart_clock(self) -> None:
        """Count times from now on."""
        self.began = time.monotonic()

    def elapsed_s(self) -> float:
        """Return seconds since ``began``."""
        return time.monotonic() - self.began

    def add_event(self, text: str) -> None:
        """Add an event to those shown."""
        self.events.append(f"{self.elapsed_s():5.1f} s  {text}")

    async def follow(self, task: "asyncio.Future[list[None]]", *, plain: bool) -> None:
        """Show what happens until ``task`` is done; ``plain``: as lines."""
        if plain or not self.console.is_terminal:
            await self._print_events(task)
        else:
            await self._update_table(task)

    def summarize(self) -> None:
        """Print the table and what became of all requests."""
        elapsed_s = self.elapsed_s()
        self.console.print(self._table())
        for callers in self.callers:
            for line in _summary(callers, elapsed_s):
                self.console.print(line, highlight=False)

    async def _print_events(self, task: "asyncio.Future[list[None]]") -> None:
        shown = 0
        while not task.done():
            await asyncio.sleep(REFRESH_S)
            for line in self.events[shown:]:
                print(line, flush=True)
            shown = len(self.events)

    async def _update_table(self, task: "asyncio.Future[list[None]]") -> None:
        with rich.live.Live(self._table(), console=self.console) as live:
            while not task.done():
                await asyncio.sleep(REFRESH_S)
                live.update(self._table())

    def _table(self) -> rich.table.Table:
        table = rich.table.Table(title="spindlenotch demo", show_lines=False)
        for name in COLUMNS:
            table.add_column(name)
        for callers in self.callers:
            for row in _rows(callers, max(1.0, self.elapsed_s())):
                table.add_row(*row)
        table.caption = "\n".join(self.events[-EVENTS_SHOWN:])
        table.caption_justify = "left"
        return table


def _rows(callers: traffic.Callers, elapsed_s: float) -> abc.Iterator[tuple[str, ...]]:
    deployment = callers.target
    for kind, recorded in callers.latencies_by_kind.items():
        yield (
            deployment.plan.name,
            kind,
            str(recorded.count()),
            f"{recorded.percentile_ms(50):.1f}",
            f"{recorded.percentile_ms(99):.1f}",
        )
    yield (
        deployment.plan.name,
        "bundle in force",
        ", ".join(map(str, deployment.versions())),
        "probes",
        f"{deployment.probe_share(elapsed_s):.3%}",
    )


def _summary(callers: traffic.Callers, elapsed_s: float) -> abc.Iterator[str]:
    deployment = callers.target
    name = deployment.plan.name
    counts = sorted(callers.count_by_outcome.items())
    yield f"{name}: " + ", ".join(f"{outcome} {count}" for outcome, count in counts)
    yield (
        f"{name}: {len(callers.sent_unrepeatable)} requests that may not be"
        f" repeated, {len(callers.ran_twice())} ran twice;"
        f" probes took {deployment.probe_share(elapsed_s):.3%} of upstream capacity"
    )
