"""
Sizes, timing and the straight line through measured points.
"""

import time
from collections import abc

import numpy as np

from spindlenotch import ids

#: Sizes that are measured: members, upstreams of a pool, services of a bundle,
#: remembered ids.
FLEETS = (18, 50, 150, 450)
POOLS = (30, 90, 225, 450)
SERVICES = (2, 6, 12, 18)
RECORDS = (1_000, 5_000, 20_000)
#: Key of the peers in a measurement.
KEY = b"a key for measuring"
#: The time of a measurement, on the simulated clock.
NOW = ids.Instant(1000.0)


def fit(sizes: abc.Sequence[float], values: abc.Sequence[float]) -> tuple[float, float]:
    """Return slope and intercept of the straight line through the points."""
    slope, intercept = np.polyfit(sizes, values, 1)
    return float(slope), float(intercept)


def show(
    title: str, unit: str, sizes: abc.Sequence[int], values: abc.Sequence[float]
) -> None:
    """Print one table and its line."""
    slope, intercept = fit(sizes, values)
    row = ", ".join(f"{s}: {v:.4g}" for s, v in zip(sizes, values, strict=True))
    print(
        f"| {title} | {row} | {slope:.4g} x size + {intercept:.4g} {unit} |", flush=True
    )


def timed(action: abc.Callable[[], object], repeat: int) -> float:
    """Return processor seconds per call, the best of three."""
    best = float("inf")
    for _ in range(3):
        started = time.process_time()
        for _ in range(repeat):
            action()
        best = min(best, (time.process_time() - started) / repeat)
    return best
