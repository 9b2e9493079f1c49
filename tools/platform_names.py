"""
Check that only the adapter knows the names of the users' platform.

Prints each place outside ``platform/`` that has one and exits with 1 where
there is any. Tests of the adapter and its deploy files may know them.
"""

import pathlib
import re
import sys

ROOTS = ("spindlenotch", "standins", "demo")
NAMES = (
    r"X-Spindlenotch-",
    r"kv-(key|range|watch|txn|lease|keep)",
    r"op/config",
    r"[\"']servers/",
    r"pathPrefix|healthPath|maxAttempts|targetLatencyS|timeoutS|maxConns|coldLeftS",
    r"/readiness|/resolve\b|ttlS|portRange|retryBudgetRatio|probesPerS|graceS",
    r"fleetbench|spindlenotch_platform",
)
PATTERN = re.compile("|".join(NAMES))


def breaches(path: pathlib.Path) -> list[str]:
    """Return the places in one file that name the platform's things."""
    lines = path.read_text().splitlines()
    return [
        f"{path}:{number}: {line.strip()}"
        for number, line in enumerate(lines, 1)
        if PATTERN.search(line)
    ]


def main() -> int:
    """Check the whole product; the adapter must show that the check can fail."""
    paths = [p for root in ROOTS for p in sorted(pathlib.Path(root).rglob("*.py"))]
    found = [line for path in paths for line in breaches(path)]
    adapter = sorted(pathlib.Path("platform").rglob("*.py"))
    if not any(breaches(path) for path in adapter):
        found.append("no name was found in the adapter either: the check is blind")
    print("\n".join(found) or f"no platform name in {len(paths)} files")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
