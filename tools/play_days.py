"""
Play the project's own days on the users' sites; fail on a broken rule.

The users' bench is not part of this project: its program and the site files
are arguments (`make days BENCH=... SITES="..."`). A kind of request that a day names
and a site has not is replaced by one that the site has. With ``--vary SEED`` moments
and shares of the faults are drawn anew around those of the day.
"""

import argparse
import dataclasses
import json
import pathlib
import random
import re
import subprocess
import sys
import tempfile
import tomllib

DAYS = pathlib.Path("deploy/days")
#: What varied moments are later by at most, in seconds, and shares larger by.
MOST_LATER_S, MOST_LARGER = 6.0, 2.0
#: Kind of requests that may run again.
REPEATABLE = "safe"


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What to print of a day, and whether no rule was broken."""

    text: str
    clean: bool


def adapted(day: str, site: str) -> str:
    """Return the text of a day with kinds of request that the site has."""
    classes = tomllib.loads(site)["classes"]
    names = {one["name"] for one in classes}
    repeatable = [one["name"] for one in classes if one["kind"] == REPEATABLE]

    def known(found: re.Match[str]) -> str:
        name = found[1] if found[1] in names else repeatable[0]
        return f'class = "{name}"'

    return re.sub(r'class = "([^"]+)"', known, day)


def varied(day: str, seed: int | None) -> str:
    """Return the text of a day with other moments and shares; None: the same."""
    if seed is None:
        return day
    rng = random.Random(seed)

    def later(found: re.Match[str]) -> str:
        return f"at = {float(found[1]) + rng.uniform(0.0, MOST_LATER_S):.2f}"

    def larger(found: re.Match[str]) -> str:
        return (
            f"share = {min(1.0, float(found[1]) * rng.uniform(0.3, MOST_LARGER)):.3f}"
        )

    return re.sub(r"share = ([0-9.]+)", larger, re.sub(r"at = ([0-9.]+)", later, day))


def play(bench: str, site: str, day: pathlib.Path, seed: int | None) -> Outcome:
    """Play one day on one site."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        text = adapted(day.read_text(), pathlib.Path(site).read_text())
        played = pathlib.Path(folder) / day.name
        played.write_text(varied(text, seed))
        why = f"own day {day.stem}" + ("" if seed is None else f", varied by {seed}")
        command = [bench, "run", site, str(played), "--why", why]
        done = subprocess.run(
            [*command, "--report", str(report)], capture_output=True, text=True
        )
        if not report.exists():
            last = (done.stdout + done.stderr).strip().splitlines()[-1:]
            return Outcome(f"{day.stem}: not played: {last}", False)
        result = json.loads(report.read_text())
    breaks, fault = result["breaks"], result["fault"]
    text = f"{day.stem}: worth {result['G']}, served in aim {result['served']}"
    if breaks or fault:
        text += f", broken {breaks}, fault {fault}, first {result['first']}"
    return Outcome(text, not breaks and not fault)


def main() -> int:
    """Play each day on each site, one after the other."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--day", help="the stem of one day; else all are played")
    parser.add_argument("--vary", type=int, help="a seed for moments and shares")
    arguments = parser.parse_args()
    clean = True
    for site in arguments.sites:
        for day in sorted(DAYS.glob(f"{arguments.day or '*'}.toml")):
            outcome = play(arguments.bench, site, day, arguments.vary)
            clean &= outcome.clean
            verdict = "ok    " if outcome.clean else "BROKEN"
            print(f"{verdict} {pathlib.Path(site).stem} {outcome.text}")
    return 0 if clean else 1


if __name__ == "__main__":
    sys.exit(main())
