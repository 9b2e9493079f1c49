"""Processor time that processes have used and waited for, as the kernel counts it."""

import pathlib

NS_PER_S = 1e9


def used_s(pid: int) -> float:
    """Return how long a process has run, in seconds; 0: it ended."""
    return _schedstat(pid)[0]


def waited_s(pid: int) -> float:
    """Return how long a process was ready and did not run, in seconds; 0: it ended."""
    return _schedstat(pid)[1]


def _schedstat(pid: int) -> tuple[float, float]:
    try:
        text = pathlib.Path(f"/proc/{pid}/schedstat").read_text()
    except OSError:
        return 0.0, 0.0
    used, waited, _ = text.split()
    return int(used) / NS_PER_S, int(waited) / NS_PER_S
