"""
Run every check and every feature; print one closing line for CI.

Each check and each scenario counts once. A scenario listed in KNOWN-RED.txt
is printed, and counts neither as passed nor as failed when it fails.
"""

import concurrent.futures
import dataclasses
import json
import pathlib
import subprocess
import sys
import tempfile
import typing
from collections import abc

BIN = pathlib.Path(sys.executable).parent
KNOWN_RED = pathlib.Path("KNOWN-RED.txt")
#: Features run side by side; each starts up to a dozen processes.
SIDE_BY_SIDE = 3
#: Longest time of one feature, in seconds.
FEATURE_LIMIT_S = 900
FAILED_STATUSES = ("failed", "error", "undefined")

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

#: A part of behave's JSON report.
Element = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """One check or scenario; ``report`` is what to print where it failed."""

    name: str
    passed: bool
    report: str


def run_check(name: str) -> list[Result]:
    """Run one static check."""
    done = subprocess.run(CHECKS[name], capture_output=True, text=True)
    return [Result(name, done.returncode == 0, done.stdout + done.stderr)]


def run_feature(path: str) -> list[Result]:
    """Run one feature file; return a result for each scenario."""
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
            return [Result(path, False, f"not over within {FEATURE_LIMIT_S} s")]
        text = pathlib.Path(out.name).read_text()
    if not text.strip():
        return [Result(path, False, done.stdout + done.stderr)]
    return [
        scenario_result(feature["name"], element)
        for feature in json.loads(text)
        for element in feature["elements"]
        if element["type"] == "scenario"
    ]


def scenario_result(feature_name: str, scenario: Element) -> Result:
    """Return the result of one scenario of behave's report."""
    report = []
    for step in scenario["steps"]:
        result = step.get("result", {})
        if result.get("status") in FAILED_STATUSES:
            report.append(f"{step['keyword']} {step['name']}")
            message = result.get("error_message", "")
            report.append(message if isinstance(message, str) else "\n".join(message))
    # behave ends the name of an example without a name in a space.
    name = f"{feature_name}: {scenario['name']}".strip()
    return Result(name, scenario["status"] == "passed", "\n".join(report))


def known_red() -> list[str]:
    """Return the names of the scenarios that are known to fail."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line.split("|")[0].strip() for line in lines if "|" in line]


def run_all(features: list[str], *, with_checks: bool) -> list[Result]:
    """Run features side by side, after the static checks if asked for."""
    results = []
    with concurrent.futures.ThreadPoolExecutor(SIDE_BY_SIDE) as pool:
        if with_checks:
            for outcome in pool.map(run_check, CHECKS):
                results += outcome
        for outcome in pool.map(run_feature, features):
            results += outcome
    return results


def print_results(results: abc.Iterable[Result], red: abc.Container[str]) -> int:
    """Print all results and the closing line; return the exit code."""
    passed = failed = 0
    for result in results:
        listed = result.name in red and not result.passed
        verdict = "ok" if result.passed else "KNOWN RED" if listed else "FAILED"
        print(f"{verdict}  {result.name}")
        if not result.passed:
            print(result.report)
        passed += result.passed
        failed += not result.passed and not listed
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


def main() -> int:
    """Run the features given as arguments, or everything."""
    chosen = sys.argv[1:]
    features = chosen or [
        str(path) for path in sorted(pathlib.Path("features").glob("*.feature"))
    ]
    results = run_all(features, with_checks=not chosen)
    return print_results(results, known_red())


if __name__ == "__main__":
    sys.exit(main())
