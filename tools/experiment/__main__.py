"""
The command line of the experiment tool.

    python -m tools.experiment PLAN.toml --bench PROGRAM --folder SCRATCH --page PAGE.md
"""

import asyncio
import pathlib
import sys

import cyclopts
import loguru

from tools.experiment import plan as plans, plays, report, results

app = cyclopts.App(help="Compare variants of the product by plays of the bench.")


@app.default
def main(
    settings: pathlib.Path,
    *,
    bench: pathlib.Path,
    folder: pathlib.Path,
    page: pathlib.Path | None = None,
    only_report: bool = False,
) -> int:
    """
    Play a plan, or go on with it, and write its page.

    Parameters
    ----------
    settings: the plan, a TOML file.
    bench: the users' program.
    folder: where worktrees, reports and results lie; must not be below /tmp.
    page: where the page goes; standard output where it is not given.
    only_report: play nothing, write the page of what was played.
    """
    try:
        plan = plans.read(settings)
    except plans.PlanError as error:
        loguru.logger.error("{}", error)
        return 2
    folder.mkdir(parents=True, exist_ok=True)
    kept = results.Kept(folder / "results.jsonl")
    if not only_report:
        runner = plays.Runner(plan, bench.resolve(), folder.resolve())
        kept = asyncio.run(runner.run())
    text = report.page(plan, kept.by_key.values())
    if page is None:
        print(text)
    else:
        page.write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(app())
