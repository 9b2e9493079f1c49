"""
The command line of the soak of processes; see ``docs/SOAK.md``.

    python -m tools.soak_processes --seconds 30 --seed 7
"""

import asyncio
import contextlib
import json
import pathlib
import sys
import time
import typing
from collections import abc

import cyclopts
import loguru
import rich.progress
import uvloop
from cyclopts import validators

from features.support import sigterm
from tools.soak_processes import cases, faults, plan as plans, play, summary

app = cyclopts.App(help="Play faults from outside on real gateways; judge the play.")
SECONDS = cyclopts.Parameter(validator=validators.Number(gte=1, lte=3600))
GATEWAYS = cyclopts.Parameter(validator=validators.Number(gte=2, lte=8))
UPSTREAMS = cyclopts.Parameter(validator=validators.Number(gte=6, lte=24))
RATE = cyclopts.Parameter(validator=validators.Number(gt=0, lte=200))
#: Where plays leave their pages and logs, a folder for each.
OUT = pathlib.Path("target/soak")
#: Exit code of a play that was broken off, as shells have it for an interrupt.
INTERRUPTED = 130


@app.default
def run(
    *,
    seconds: typing.Annotated[float, SECONDS] = 30.0,
    seed: int | None = None,
    gateways: typing.Annotated[int, GATEWAYS] = 5,
    upstreams: typing.Annotated[int, UPSTREAMS] = 14,
    rate: typing.Annotated[float, RATE] = 80.0,
    regions: bool = False,
    without: tuple[str, ...] = (),
    out: pathlib.Path = OUT,
) -> int:
    """
    Play the plan of one seed.

    Parameters
    ----------
    seconds: during which faults begin.
    seed: decides the plan; a fresh one where it is not given.
    gateways: processes to start.
    upstreams: stand-ins, all in this process.
    rate: requests a second, but in bursts.
    regions: lay the zones out in two regions, with a route that may use one only.
    without: faults to leave out.
    out: folder for the page and the logs.
    """
    seed = time.time_ns() % 1_000_000 if seed is None else seed
    settings = plans.Settings(seconds, seed, gateways, upstreams, rate, regions)
    names = [name for name in faults.FAULTS.names() if name not in without]
    return _play(settings, plans.draw(settings, names), out / str(seed))


@app.command
def again(name: str | None = None, *, out: pathlib.Path = OUT) -> int:
    """
    Play the plans that once failed, or one of them, as they were.

    Parameters
    ----------
    name: of the case; all where it is not given.
    out: folder for the pages and the logs.
    """
    codes = [
        _play(case.settings, case.steps, out / case.name)
        for case in cases.read()
        if name in (None, case.name)
    ]
    return max(codes, default=2)


def _play(
    settings: plans.Settings, steps: tuple[plans.Step, ...], folder: pathlib.Path
) -> int:
    folder.mkdir(parents=True, exist_ok=True)
    loguru.logger.remove()
    lines = (folder / "soak.jsonl").open("w")
    loguru.logger.add(lambda message: _write(lines, message))
    if not sys.stderr.isatty():
        loguru.logger.add(lambda message: _write(sys.stderr, message))
    one = play.Play(settings, steps, folder)
    with _progress(steps), asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        try:
            outcome = runner.run(sigterm.cancelling(one.run()))
        except (asyncio.CancelledError, KeyboardInterrupt):
            print("interrupted; everything that was started has ended")
            return INTERRUPTED
    summary.write(folder, settings, outcome)
    for name, line in outcome.violations:
        print(f"VIOLATION {name}: {line}")
    result = "failed" if outcome.violations else "clean"
    loguru.logger.bind(seed=settings.seed).info("{}; see {}", result, folder)
    loguru.logger.remove()
    lines.close()
    count = len(outcome.violations)
    print(f"seed {settings.seed}: {result}, {count} violations; {folder}")
    return 1 if outcome.violations else 0


def _write(file: typing.TextIO, message: typing.Any) -> None:
    """Write a line of the log as JSON."""
    record = message.record
    line = {"at": record["time"].isoformat(), "text": record["message"]}
    file.write(json.dumps(line | record["extra"]) + "\n")
    file.flush()


@contextlib.contextmanager
def _progress(steps: abc.Sequence[plans.Step]) -> abc.Iterator[None]:
    """Show how far the play is where there is a terminal."""
    seconds = max((step.at_s + step.for_s for step in steps), default=0.0)
    if not sys.stderr.isatty():
        yield
        return
    columns = (*rich.progress.Progress.get_default_columns(),)
    with rich.progress.Progress(*columns, transient=True) as progress:
        progress.add_task(f"{len(steps)} steps, about {seconds:.0f} s", total=None)
        yield


if __name__ == "__main__":
    sys.exit(app())
