"""
Play the project's own days on the users' sites; fail on a broken rule.

The users' bench is not part of this project: its program and the site files
are arguments (`make days BENCH=... SITES="..."`).
"""

import argparse
import pathlib
import re
import subprocess
import sys

DAYS = pathlib.Path("deploy/days")
#: Lines of the bench that tell of a broken rule or a fault.
BROKEN = re.compile(r"^(broken|fault|rule)\b", re.IGNORECASE)
SUMMARY = "own/srv"


def play(bench: str, site: str, day: pathlib.Path) -> tuple[str, bool]:
    """Play one day; return the bench's summary line and whether it is clean."""
    why = f"own day {day.stem}"
    done = subprocess.run(
        [bench, "run", site, str(day), "--why", why], capture_output=True, text=True
    )
    lines = done.stdout.splitlines()
    at = next((n for n, line in enumerate(lines) if SUMMARY in line), None)
    if at is None:
        return (done.stdout + done.stderr).strip().splitlines()[-1], False
    broken = [line for line in lines if BROKEN.match(line.strip())]
    return "\n    ".join([lines[at + 1], *broken]), not broken


def main() -> int:
    """Play each day on each site, one after the other."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("sites", nargs="+")
    given = parser.parse_args()
    clean = True
    for site in given.sites:
        for day in sorted(DAYS.glob("*.toml")):
            line, good = play(given.bench, site, day)
            clean &= good
            print(f"{'ok    ' if good else 'BROKEN'} {pathlib.Path(site).stem} {line}")
    return 0 if clean else 1


if __name__ == "__main__":
    sys.exit(main())
