"""
Show that the state machines catch what they are there to catch.

Each mutant breaks one mechanism in a scratch copy of the tree, where an oracle
of the machines must then go red. A mutant that survives is printed and the exit
code is 1. Not run in CI: ``make mutants`` takes some minutes.
"""

import asyncio
import dataclasses
import pathlib
import shutil
import sys
import tempfile
from collections import abc

from tools import (
    isolation_mutants,
    late_mutants,
    limit_mutants,
    mutant_table,
    quarantine_mutants,
    restore_mutants,
)

#: Plays of each machine against a mutant, and steps of a play.
PLAYS = 200
STEPS = 40
#: Mutants that are tried side by side.
SIDE_BY_SIDE = 6
#: Longest time for one mutant, in seconds.
LIMIT_S = 500
ALL_MUTANTS = (
    *mutant_table.MUTANTS,
    *quarantine_mutants.MUTANTS,
    *late_mutants.MUTANTS,
    *limit_mutants.MUTANTS,
    *restore_mutants.MUTANTS,
    *isolation_mutants.MUTANTS,
)
#: Program that plays the machines in the scratch copy.
PLAY_PROGRAM = """
import sys, loguru
loguru.logger.remove()
from features.support import machines
for name in ("id", "measuring", "mixed-fault"):
    machines.play(name, {plays}, {steps}, shrink=False)
"""
#: Program that checks one property of the gateway there.
PROPERTY_PROGRAM = """
import sys, loguru
sys.path.append("platform")
loguru.logger.remove()
from features.steps import gateway_allowed, gateway_bad_entries, gateway_budget
from features.steps import gateway_cold, gateway_directory, gateway_evacuation
from features.steps import gateway_isolation
from features.steps import gateway_limits, gateway_overflow, gateway_reborn
from features.steps import gateway_regions, gateway_rests, gateway_turns
from features.steps import gateway_reborn_peers, gateway_restored, gateway_rollout
from features.steps import gateway_rollout_orders
from features.steps import kernel, kernel_budgets, late_properties, poison_properties
from features.steps import suspended_hosts
from spindlenotch.entry import plugins
plugins.load()
kernel.PROPERTIES.get({name!r})()
"""

#: Program that plays steps on processes there; only the one check counts.
SOAK_PROGRAM = """
import asyncio, pathlib, sys, loguru
sys.path.append("platform")
loguru.logger.remove()
from tools.soak_processes import plan, play
steps = tuple(plan.read(step) for step in {steps!r})
one = play.Play(plan.Settings(10.0, 1), steps, pathlib.Path("."))
found = asyncio.run(one.run()).violations
assert {name!r} not in [name for name, _ in found], found[0]
"""


@dataclasses.dataclass(frozen=True)
class Trial:
    """Whether a mutant survived, and the oracle's words or why not."""

    survived: bool
    reason: str


async def try_mutant(mutant: mutant_table.Mutant) -> Trial:
    """Play the machines, or check a property, on a mutated copy of the tree."""
    with tempfile.TemporaryDirectory() as scratch:
        copy = pathlib.Path(scratch)
        for tree in ("spindlenotch", "features", "platform", "standins", "tools"):
            shutil.copytree(tree, copy / tree)
        path = copy / "spindlenotch" / f"{mutant.module}.py"
        text = path.read_text()
        if text.count(mutant.old) != 1:
            return Trial(True, "the text to replace is not there exactly once")
        path.write_text(text.replace(mutant.old, mutant.new))
        program = PLAY_PROGRAM.format(plays=PLAYS, steps=STEPS)
        if mutant.steps:
            program = SOAK_PROGRAM.format(steps=mutant.steps, name=mutant.held_by)
        elif mutant.held_by:
            program = PROPERTY_PROGRAM.format(name=mutant.held_by)
        return await play(copy, program)


async def play(copy: pathlib.Path, program: str) -> Trial:
    """Run a program in ``copy``; only a failed assertion counts as caught."""
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        program,
        cwd=copy,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(LIMIT_S):
            _, errors = await child.communicate()
    except TimeoutError:
        child.kill()
        return Trial(True, f"no verdict within {LIMIT_S} s")
    text = errors.decode(errors="replace")
    lines = [line for line in text.splitlines() if "AssertionError" in line]
    if child.returncode != 0 and not lines:
        # It broke, but not by an oracle: that proves nothing.
        return Trial(True, text[-300:])
    return Trial(child.returncode == 0, lines[-1] if lines else "")


async def main(
    mutants: abc.Iterable[mutant_table.Mutant] = ALL_MUTANTS,
    side_by_side: int = SIDE_BY_SIDE,
) -> int:
    """Try all mutants, or those whose name holds a given word."""
    chosen = [m for m in mutants if not sys.argv[1:] or sys.argv[1] in m.name]
    limit = asyncio.Semaphore(side_by_side)

    async def report(mutant: mutant_table.Mutant) -> bool:
        async with limit:
            trial = await try_mutant(mutant)
        verdict = "SURVIVED" if trial.survived else "caught"
        print(f"{verdict}  {mutant.name}: {trial.reason[:160]}", flush=True)
        return trial.survived

    survivors = sum(await asyncio.gather(*(report(m) for m in chosen)))
    print(f"{len(chosen) - survivors} of {len(chosen)} mutants caught")
    return 1 if survivors else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
