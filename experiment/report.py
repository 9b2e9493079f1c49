"""
The table and the plots of ``docs/MEASUREMENTS.md``, made by one command.

Runs all cells, several side by side, writes ``docs/measurements/policies.md``
and one plot per workload.
"""

import concurrent.futures
import dataclasses
import pathlib
import statistics

import matplotlib.figure
import numpy as np

from experiment import run, ways, workloads

OUT = pathlib.Path(__file__).parents[1] / "docs" / "measurements"
SEEDS = (1, 2, 3)
SIDE_BY_SIDE = 6
QUANTILES = (50.0, 99.0, 99.9)
KINDS_ORDER = ("urgent", "booking", "browse", "upload")
FULL_WAYS = (
    "central",
    "shortest",
    "random",
    "round-robin",
    "least-outstanding",
    "two-choices",
    "fresh-probes",
    "owned-no-hedge",
    "owned",
)
USUAL_WAYS = ("central", "shortest", "least-outstanding", "owned")


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """One workload at one size, with the ways that are compared in it."""

    workload: str
    slots: int
    load: float
    seconds: float = 5.0
    names: tuple[str, ...] = USUAL_WAYS


CELLS = (
    *(
        Cell("steady", slots, load, 5.0, FULL_WAYS if load == 0.7 else USUAL_WAYS)
        for slots in (6, 3)
        for load in (0.5, 0.7, 0.85, 0.95)
    ),
    *(
        Cell(trouble, slots, 0.7)
        for trouble in ("slow", "freeze", "failfast", "drain", "uploads")
        for slots in (6, 3)
    ),
    Cell("zone", 6, 0.5),
    Cell("campaign", 6, 0.5),
    Cell("campaign", 6, 2.0, 8.0),
    Cell("campaign", 3, 2.0, 8.0),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What one way gave in one cell with one seed."""

    cell: Cell
    name: str
    seed: int
    quantiles_by_kind: dict[str, tuple[float, ...]]
    late_p99_ms: float
    refused: float
    failed: float
    sends: float
    probes: float
    goodput: float


def one(cell: Cell, name: str, seed: int) -> Outcome:
    """Run one way once."""
    setup = workloads.Setup(
        cell.workload, 30, cell.slots, cell.load, cell.seconds, seed
    )
    totals, probes = run.run(setup, ways.WAYS.get(name))
    by_kind = {
        kind: tuple(float(q) * 1000 for q in np.percentile(values, QUANTILES))
        for kind, values in totals.latencies_by_kind.items()
    }
    late = totals.late_latencies
    answered = sum(map(len, totals.latencies_by_kind.values()))
    return Outcome(
        cell,
        name,
        seed,
        by_kind,
        float(np.percentile(late, 99)) * 1000 if late else float("nan"),
        totals.refused / totals.offered,
        totals.failed / totals.offered,
        totals.sends / totals.offered,
        probes,
        (answered - totals.failed) / totals.offered,
    )


def main() -> None:
    """Run everything and write table and plots."""
    OUT.mkdir(parents=True, exist_ok=True)
    jobs = [(c, n, s) for c in CELLS for n in c.names for s in SEEDS]
    with concurrent.futures.ProcessPoolExecutor(SIDE_BY_SIDE) as pool:
        outcomes = list(pool.map(one, *zip(*jobs, strict=True)))
    (OUT / "policies.md").write_text(table(outcomes))
    for workload in dict.fromkeys(c.workload for c in CELLS):
        plot(workload, [o for o in outcomes if o.cell.workload == workload])
    print(f"wrote {OUT.name}/policies.md and the plots")


def table(outcomes: list[Outcome]) -> str:
    """Return the table as Markdown."""
    lines = [
        "# Ways of dispatching, compared",
        "",
        "Made by `python -m experiment report`; do not edit. 18 entries, 30 workers,"
        f" seeds {', '.join(map(str, SEEDS))}. Times in ms from the arrival at the"
        " entry, mean of the seeds. `x central`: ratio to the central queue in the"
        " same cell and seed, mean (lowest-highest). `late p99`: all requests from"
        " one second after the trouble on.",
        "",
        "| workload | slots | load | way | kind | p50 | p99 | p99.9 | x central p99 |"
        " x central p99.9 | late p99 | goodput | refused | failed | sends | probes |",
        "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|",
    ]
    for cell in CELLS:
        for name in cell.names:
            lines += rows(cell, name, outcomes)
    return "\n".join(lines) + "\n"


def rows(cell: Cell, name: str, outcomes: list[Outcome]) -> list[str]:
    """Return the rows of one way in one cell, one per kind of request."""
    own = [o for o in outcomes if o.cell == cell and o.name == name]
    base = {o.seed: o for o in outcomes if o.cell == cell and o.name == "central"}
    lines = []
    for kind in KINDS_ORDER:
        if kind not in own[0].quantiles_by_kind:
            continue
        means = [
            statistics.fmean(o.quantiles_by_kind[kind][q] for o in own)
            for q in range(3)
        ]
        ratios = [
            [
                o.quantiles_by_kind[kind][q] / base[o.seed].quantiles_by_kind[kind][q]
                for o in own
            ]
            for q in (1, 2)
        ]
        lines.append(
            f"| {cell.workload} | {cell.slots} | {cell.load:g} | {name} | {kind} | "
            + " | ".join(f"{m:.1f}" for m in means)
            + " | "
            + " | ".join(_spread(r) for r in ratios)
            + f" | {statistics.fmean(o.late_p99_ms for o in own):.1f}"
            f" | {statistics.fmean(o.goodput for o in own):.2%}"
            f" | {statistics.fmean(o.refused for o in own):.2%}"
            f" | {statistics.fmean(o.failed for o in own):.2%}"
            f" | {statistics.fmean(o.sends for o in own):.3f}"
            f" | {statistics.fmean(o.probes for o in own):.2%} |"
        )
    return lines


def _spread(values: list[float]) -> str:
    return f"{statistics.fmean(values):.2f} ({min(values):.2f}-{max(values):.2f})"


def plot(workload: str, outcomes: list[Outcome]) -> None:
    """Draw p99 of reads by way and cell, with the spread of the seeds."""
    kind = "browse"
    cells = list(dict.fromkeys(o.cell for o in outcomes))
    names = [n for n in FULL_WAYS if any(n in c.names for c in cells)]
    figure = matplotlib.figure.Figure(figsize=(9, 4.5), layout="constrained")
    axes = figure.add_subplot()
    width = 0.8 / len(names)
    for number, name in enumerate(names):
        for place, cell in enumerate(cells):
            found = [
                o.quantiles_by_kind[kind][1]
                for o in outcomes
                if o.cell == cell and o.name == name
            ]
            if not found:
                continue
            middle = statistics.fmean(found)
            axes.bar(
                place + number * width,
                middle,
                width,
                color=f"C{number}",
                label=name if place == 0 else None,
                yerr=[[middle - min(found)], [max(found) - middle]],
            )
    axes.set_xticks(
        [place + 0.4 for place in range(len(cells))],
        [f"{c.slots} slots, {c.load:g}" for c in cells],
    )
    axes.set_yscale("log")
    axes.set_ylabel("p99 of reads, ms")
    axes.set_title(f"workload: {workload}")
    axes.legend(fontsize="small")
    figure.savefig(OUT / f"{workload}.png", dpi=80)
