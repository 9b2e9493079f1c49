"""
Play the project's own days on the users' sites; fail on a broken rule.

The users' bench is not part of this project: its program and the site files
are arguments (`make days BENCH=... SITES="..."`).
"""

import argparse
import json
import pathlib
import subprocess
import sys
import tempfile

DAYS = pathlib.Path("deploy/days")


def play(bench: str, site: str, day: pathlib.Path) -> tuple[str, bool]:
    """Play one day; return what to print of it and whether it is clean."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [bench, "run", site, str(day), "--why", f"own day {day.stem}"]
        done = subprocess.run(
            [*command, "--report", str(report)], capture_output=True, text=True
        )
        if not report.exists():
            last = (done.stdout + done.stderr).strip().splitlines()[-1:]
            return f"{day.stem}: not played: {last}", False
        found = json.loads(report.read_text())
    breaks, fault = found["breaks"], found["fault"]
    text = f"{day.stem}: worth {found['G']}, served in aim {found['served']}"
    if breaks or fault:
        text += f", broken {breaks}, fault {fault}, first {found['first']}"
    return text, not breaks and not fault


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
