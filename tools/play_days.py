"""
Play the project's own days on the users' sites; fail on a broken rule.

The users' bench is not part of this project: its program and the site files
are arguments (`make days BENCH=... SITES="..."`).
"""

import argparse
import dataclasses
import json
import pathlib
import subprocess
import sys
import tempfile

DAYS = pathlib.Path("deploy/days")


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What to print of a day, and whether no rule was broken."""

    text: str
    clean: bool


def play(bench: str, site: str, day: pathlib.Path) -> Outcome:
    """Play one day on one site."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [bench, "run", site, str(day), "--why", f"own day {day.stem}"]
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
    arguments = parser.parse_args()
    clean = True
    for site in arguments.sites:
        for day in sorted(DAYS.glob("*.toml")):
            outcome = play(arguments.bench, site, day)
            clean &= outcome.clean
            verdict = "ok    " if outcome.clean else "BROKEN"
            print(f"{verdict} {pathlib.Path(site).stem} {outcome.text}")
    return 0 if clean else 1


if __name__ == "__main__":
    sys.exit(main())
