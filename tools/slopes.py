"""
Sizes, timing and the straight line through measured points.
"""

import time
from collections import abc

import numpy as np

from spindlenotch import ids

FLEETS = (18, 50, 150, 450)
POOLS = (30, 90, 225, 450)
SERVICES = (2, 6, 12, 18)
RECORDS = (1_000, 5_000, 20_000)
KEY = b"a key for measuring"
NOW = ids.Instant(1000.0)


def fit(sizes: abc.Sequence[float], values: abc.Sequence[float]) -> tuple[float, float]:
    """Return slope and start of the straight line through the points."""
    slope, start = np.polyfit(sizes, values, 1)
    return float(slope), float(start)


def show(
    title: str, unit: str, sizes: abc.Sequence[int], values: abc.Sequence[float]
) -> None:
    """Print one table and its line."""
    slope, start = fit(sizes, values)
    row = ", ".join(f"{s}: {v:.4g}" for s, v in zip(sizes, values, strict=True))
    print(f"| {title} | {row} | {slope:.4g} x size + {start:.4g} {unit} |", flush=True)


def timed(action: abc.Callable[[], object], repeat: int) -> float:
    """Return processor seconds per call, the best of three."""
    best = float("inf")
    for _ in range(3):
        began = time.process_time()
        for _ in range(repeat):
            action()
        best = min(best, (time.process_time() - began) / repeat)
    return best
