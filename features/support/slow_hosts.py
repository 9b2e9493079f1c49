"""
Hosts that give a process a share of a processor only, as a quota does.

``python -m features.support.slow_hosts SHARE PID...`` lets each process use that share
of the time, until its standard input ends. Then they run on. What other processes on
the machine use does not count: a process that was not run keeps its quota.
"""

import asyncio
import contextlib
import os
import signal
import sys
import threading
import time
from collections import abc

from features.support import processes, processor_time

#: Period whose quota a process may use at once, and between two looks, in seconds.
PERIOD_S, LOOK_EVERY_S = 0.1, 0.005


@contextlib.asynccontextmanager
async def slowed(pids: abc.Iterable[int], share: float) -> abc.AsyncIterator[None]:
    """Let each process use ``share`` of the time while the context lasts."""
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


class Quota:
    """The processor time that one process may still use."""

    def __init__(self, pid: int, share: float) -> None:
        self.pid = pid
        self._share = share
        self._left_s = 0.0
        self._used_s = processor_time.used_s(pid)

    def apply(self, elapsed_s: float) -> None:
        """Add the share of the time that has passed; stop a process that used it up."""
        used_s = processor_time.used_s(self.pid)
        earned_s = self._share * elapsed_s
        self._left_s += earned_s - (used_s - self._used_s)
        self._left_s = min(self._share * PERIOD_S, self._left_s)
        self._used_s = used_s
        send_signal(self.pid, signal.SIGCONT if self._left_s > 0.0 else signal.SIGSTOP)


def send_signal(pid: int, number: signal.Signals) -> None:
    """Send a signal to a process that may have ended."""
    with contextlib.suppress(ProcessLookupError):
        os.kill(pid, number)


def _slow(pids: abc.Sequence[int], share: float) -> None:
    over = threading.Event()
    threading.Thread(target=lambda: (sys.stdin.read(), over.set())).start()
    quotas = [Quota(pid, share) for pid in pids]
    applied_at = time.monotonic()
    while not over.wait(LOOK_EVERY_S):
        now = time.monotonic()
        for quota in quotas:
            quota.apply(now - applied_at)
        applied_at = now
    for pid in pids:
        send_signal(pid, signal.SIGCONT)


if __name__ == "__main__":
    _slow([int(pid) for pid in sys.argv[2:]], float(sys.argv[1]))
