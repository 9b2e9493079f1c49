"""
Start a gateway on an event loop that can be suspended with SIGSTOP and SIGCONT.

On a suspended host the clock of event loops stands still, while the clock that
deadlines are reckoned by goes on. A process that is stopped sees both go on; so here
the time for which it was stopped is taken off the loop's clock. Everything else is the
gateway's own.
"""

import asyncio
import pathlib
import runpy
import signal
import sys
import time
import types
import typing
from collections import abc

import uvloop

ROOT = pathlib.Path(__file__).resolve().parents[2]


class SuspendableLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock does not count the time for which it was stopped."""

    def __init__(self) -> None:
        self._stopped_s = 0.0
        self._seen_at = time.monotonic()
        super().__init__()
        signal.signal(signal.SIGCONT, self._goes_on)

    def time(self) -> float:
        """Return the loop's time, in seconds."""
        self._seen_at = time.monotonic()
        return self._seen_at - self._stopped_s

    def _goes_on(self, number: int, frame: types.FrameType | None) -> None:
        self._stopped_s += time.monotonic() - self._seen_at
        self._seen_at = time.monotonic()


def run(work: abc.Coroutine[typing.Any, typing.Any, None]) -> None:
    """Run what the gateway runs on the loop that it chooses itself."""
    with asyncio.Runner(loop_factory=SuspendableLoop) as runner:
        runner.run(work)


if __name__ == "__main__":
    uvloop.run = run
    sys.argv = [str(ROOT / "platform" / "start.py")]
    # As for a program that is started from there.
    sys.path.insert(0, str(ROOT / "platform"))
    runpy.run_path(sys.argv[0], run_name="__main__")
