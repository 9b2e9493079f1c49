"""
Run every check and every feature; print one closing line for CI.

Each check and each scenario counts once. A scenario listed in KNOWN-RED.txt
is printed, and counts as failed only where it is not the failure listed.
"""

import concurrent.futures
import json
import pathlib
import subprocess
import sys
import tempfile

BIN = pathlib.Path(sys.executable).parent
KNOWN_RED = pathlib.Path("KNOWN-RED.txt")
#: Features run side by side; each starts up to a dozen processes.
SIDE_BY_SIDE = 3
FEATURE_LIMIT_S = 900

CHECKS = {
    "ruff format": [str(BIN / "ruff"), "format", "--check", "."],
    "ruff check": [str(BIN / "ruff"), "check", "."],
    "mypy": [str(BIN / "mypy")],
    "import layers": [str(BIN / "lint-imports")],
    "import rule": [sys.executable, "tools/import_rule.py"],
    "platform names": [sys.executable, "tools/platform_names.py"],
    "constants": [sys.executable, "-m", "tools.constants"],
    "docs": [sys.executable, "-m", "tools.docs_check"],
}


def run_check(name: str) -> list[tuple[str, bool, str]]:
    """Run one static check."""
    done = subprocess.run(CHECKS[name], capture_output=True, text=True)
    return [(name, done.returncode == 0, done.stdout + done.stderr)]


def run_feature(path: str) -> list[tuple[str, bool, str]]:
    """Run one feature file; return name, verdict and report per scenario."""
    with tempfile.NamedTemporaryFile(suffix=".json") as out:
        command = [sys.executable, "-m", "behave", "-f", "json", "-o", out.name]
        try:
            done = subprocess.run(
                [*command, "--no-summary", path],
                capture_output=True,
                text=True,
                timeout=FEATURE_LIMIT_S,
            )
        except subprocess.TimeoutExpired:
            return [(path, False, f"not over within {FEATURE_LIMIT_S} s")]
        text = pathlib.Path(out.name).read_text()
    if not text.strip():
        return [(path, False, done.stdout + done.stderr)]
    return [
        scenario_result(feature, element)
        for feature in json.loads(text)
        for element in feature["elements"]
        if element["type"] == "scenario"
    ]


def scenario_result(
    feature: dict[str, object], element: dict[str, object]
) -> tuple[str, bool, str]:
    """Return name, verdict and error text of one scenario."""
    steps = element["steps"]
    assert isinstance(steps, list)
    report = []
    for step in steps:
        result = step.get("result", {})
        if result.get("status") in ("failed", "error", "undefined"):
            report.append(f"{step['keyword']} {step['name']}")
            message = result.get("error_message", "")
            report.append(message if isinstance(message, str) else "\n".join(message))
    name = f"{feature['name']}: {element['name']}"
    return name, element["status"] == "passed", "\n".join(report)


def known_red() -> list[str]:
    """Return the names of the scenarios that are known to fail."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line.split("|")[0].strip() for line in lines if "|" in line]


def main() -> int:
    """Run all; the exit code is that of the closing line."""
    features = sys.argv[1:] or [
        str(p) for p in sorted(pathlib.Path("features").glob("*.feature"))
    ]
    results = []
    with concurrent.futures.ThreadPoolExecutor(SIDE_BY_SIDE) as pool:
        if not sys.argv[1:]:
            for outcome in pool.map(run_check, CHECKS):
                results += outcome
        for outcome in pool.map(run_feature, features):
            results += outcome
    red = known_red()
    passed = failed = 0
    for name, good, report in results:
        listed = name in red and not good
        print(f"{'ok' if good else 'KNOWN RED' if listed else 'FAILED'}  {name}")
        if not good:
            print(report)
        passed += good
        failed += not good and not listed
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
