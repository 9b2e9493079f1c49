"""
``python -m experiment``: run a table of experiments and print it.
"""

import importlib
import itertools
import statistics
import sys
import time

import cyclopts
import numpy as np

from experiment import run, ways, workloads

app = cyclopts.App(name="experiment", help="Compare ways of dispatching.")
QUANTILES = (50.0, 99.0, 99.9)


def quantiles(values: list[float]) -> list[float]:
    """Return the quantiles in milliseconds."""
    if not values:
        return [float("nan")] * len(QUANTILES)
    return [float(q) * 1000 for q in np.percentile(values, QUANTILES)]


@app.default
def table(
    *,
    workload: str = "steady",
    load: str = "0.7",
    slots: str = "6",
    way: str = "central,shortest,random,round-robin,least-outstanding,two-choices,"
    "fresh-probes,owned-no-hedge,owned",
    workers: int = 30,
    seconds: float = 6.0,
    seeds: int = 2,
    entries: int = workloads.ENTRIES,
) -> None:
    """
    Print one row per cell and way.

    Times are in ms from the arrival at the entry. The ratio is p99 (p99.9) of
    all requests over that of ``central`` in the same cell, mean of the seeds,
    with the lowest and highest seed in brackets.
    """
    print(
        "| workload | slots | load | way | kind | p50 | p99 | p99.9 |"
        " x central p99 | x central p99.9 | refused | failed | sends | probes |"
    )
    print("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
    names = way.split(",")
    for name, n_slots, n_load in itertools.product(
        workload.split(","), slots.split(","), load.split(",")
    ):
        setups = [
            workloads.Setup(
                name,
                workers,
                int(n_slots),
                float(n_load),
                seconds,
                seed,
                entries,
            )
            for seed in range(1, seeds + 1)
        ]
        cell(setups, names)


def cell(setups: list[workloads.Setup], names: list[str]) -> None:
    """Run every way on the same seeds and print its rows."""
    central: dict[tuple[str, int], list[float]] = {}
    for name in names:
        began = time.perf_counter()
        results = [run.run(setup, ways.WAYS.get(name)) for setup in setups]
        took = time.perf_counter() - began
        kinds = list(results[0][0].latencies_by_kind)
        for kind in sorted(kinds):
            per_seed = [quantiles(t.latencies_by_kind[kind]) for t, _ in results]
            if name == "central":
                for number, values in enumerate(per_seed):
                    central[kind, number] = values
            ratios = [
                [per_seed[n][q] / central[kind, n][q] for n in range(len(setups))]
                if (kind, 0) in central
                else []
                for q in (1, 2)
            ]
            print(row(setups[0], name, kind, per_seed, ratios, results), flush=True)
        print(f"{name}: {took:.1f} s", file=sys.stderr)


def row(
    setup: workloads.Setup,
    name: str,
    kind: str,
    per_seed: list[list[float]],
    ratios: list[list[float]],
    results: list[tuple[run.Totals, float]],
) -> str:
    """Word one row of the table."""
    means = [statistics.fmean(seed[q] for seed in per_seed) for q in range(3)]
    offered = sum(t.offered for t, _ in results)
    refused = sum(t.refused for t, _ in results) / offered
    failed = sum(t.failed for t, _ in results) / offered
    sends = sum(t.sends for t, _ in results) / offered
    probes = statistics.fmean(share for _, share in results)
    spread = [
        f"{statistics.fmean(r):.2f} ({min(r):.2f}-{max(r):.2f})" if r else "-"
        for r in ratios
    ]
    return (
        f"| {setup.name} | {setup.slots} | {setup.load:g} | {name} | {kind}"
        f" | {means[0]:.1f} | {means[1]:.1f} | {means[2]:.1f}"
        f" | {spread[0]} | {spread[1]}"
        f" | {refused:.2%} | {failed:.2%} | {sends:.3f} | {probes:.2%} |"
    )


@app.command(name="report")
def make_report() -> None:
    """Run all cells and write the table and the plots into docs/measurements."""
    # Imported here: plotting is slow to load and only this command draws.
    report = importlib.import_module("experiment.report")
    report.main()


if __name__ == "__main__":
    app()
