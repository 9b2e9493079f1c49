"""
Hosts that give a process a share of a processor only, as a quota does.

``python -m features.support.slow_hosts SHARE PID...`` lets processes run for that share
of each tenth of a second, until its standard input ends. Then they run on.
"""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
import threading
import time
from collections import abc

from features.support import processes

#: Period of the quota, in seconds.
PERIOD_S = 0.1
NS_PER_S = 1e9


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds; 0: it ended."""
    try:
        text = pathlib.Path(f"/proc/{pid}/schedstat").read_text()
    except OSError:
        return 0.0
    return int(text.split()[0]) / NS_PER_S


@contextlib.asynccontextmanager
async def slowed(pids: abc.Iterable[int], share: float) -> abc.AsyncIterator[None]:
    """Let processes run for ``share`` of the time while the context lasts."""
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "features.support.slow_hosts", str(share)),
        *map(str, pids),
        cwd=processes.ROOT,
        stdin=asyncio.subprocess.PIPE,
    )
    assert child.stdin is not None
    try:
        yield
    finally:
        child.stdin.close()
        await child.wait()


def _signal(pids: abc.Iterable[int], number: signal.Signals) -> None:
    for pid in pids:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, number)


def _slow(pids: abc.Sequence[int], share: float) -> None:
    over = threading.Event()
    threading.Thread(target=lambda: (sys.stdin.read(), over.set())).start()
    due = time.monotonic()
    while not over.is_set():
        _signal(pids, signal.SIGCONT)
        time.sleep(max(0.0, due + share * PERIOD_S - time.monotonic()))
        _signal(pids, signal.SIGSTOP)
        due += PERIOD_S
        time.sleep(max(0.0, due - time.monotonic()))
    _signal(pids, signal.SIGCONT)


if __name__ == "__main__":
    _slow([int(pid) for pid in sys.argv[2:]], float(sys.argv[1]))
