"""
Plays an experiment: each variant in a scratch worktree, some plays at a time.

The bench's journal entries are copied back into this tree, those of plays that failed
too. Starts only the bench, and ends what it started by its own handle.
"""

import asyncio
import pathlib
import shutil

import loguru
import rich.progress

from tools.experiment import plan as plans, results

JOURNAL = "journal"


class Runner:
    """Plays what a plan says and keeps what came of it."""

    def __init__(
        self, plan: plans.Plan, bench: pathlib.Path, folder: pathlib.Path
    ) -> None:
        self.plan = plan
        self.bench = bench
        self.folder = folder
        self.kept = results.Kept(folder / "results.jsonl")
        self._turns = asyncio.Semaphore(plan.at_once)

    async def run(self) -> results.Kept:
        """Play what has not been played yet."""
        for variant in self.plan.variants:
            await self._prepare(variant)
        wanted = [p for p in plans.plays(self.plan) if p.key not in self.kept.by_key]
        with rich.progress.Progress() as progress:
            task = progress.add_task("plays", total=len(wanted))

            async def one(play: plans.Play) -> None:
                async with self._turns:
                    await self._play(play)
                progress.advance(task)

            await asyncio.gather(*(one(play) for play in wanted))
        return self.kept

    def _tree(self, variant: str) -> pathlib.Path:
        return self.folder / "trees" / variant

    async def _prepare(self, variant: plans.Variant) -> None:
        """Lay a variant's worktree and let the bench build it."""
        tree = self._tree(variant.name)
        if tree.exists():
            return
        await _call("git", "clone", "--quiet", ".", str(tree))
        await _call("git", "-C", str(tree), "checkout", "--quiet", variant.revision)
        if variant.patch is not None:
            patch = pathlib.Path(variant.patch).resolve()
            await _call("git", "-C", str(tree), "apply", str(patch))
        shutil.rmtree(tree / JOURNAL, ignore_errors=True)
        await _call(str(self.bench), "build", cwd=tree)

    async def _play(self, play: plans.Play) -> None:
        report = self.folder / f"{play.key}.json"
        command = [str(self.bench), "run", play.site, play.day]
        command += ["--report", str(report), "--why", f"{self.plan.why}: {play.key}"]
        if play.seed:
            command += ["--seed", str(play.seed)]
        if self.plan.small:
            command.append("--small")
        if not self.plan.processor:
            command.append("--no-cpu")
        tree = self._tree(play.variant)
        try:
            async with asyncio.timeout(self.plan.limit_s):
                await _call(*command, cwd=tree)
        except TimeoutError:
            loguru.logger.warning("{}: not over in time", play.key)
        self._copy_journal(tree)
        if not report.exists():
            loguru.logger.warning("{}: not played", play.key)
            return
        result = results.from_report(
            play.key, play.variant, play.site, play.day, play.seed, report
        )
        self.kept.add(result)
        loguru.logger.info(
            "{}: worth {} broken {}", play.key, result.worth, result.broken
        )

    def _copy_journal(self, tree: pathlib.Path) -> None:
        """Copy the entries that the bench wrote back into this tree."""
        if (tree / JOURNAL).exists():
            shutil.copytree(tree / JOURNAL, JOURNAL, dirs_exist_ok=True)


async def _call(*command: str, cwd: pathlib.Path | None = None) -> int:
    """Run a program to its end, or end it when this task is cancelled."""
    process = await asyncio.create_subprocess_exec(
        *command,
        cwd=cwd,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
    )
    try:
        return await process.wait()
    except asyncio.CancelledError:
        process.terminate()
        await process.wait()
        raise
