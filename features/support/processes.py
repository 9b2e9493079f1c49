"""
Processes that tests start, and end by their own id.
"""

import asyncio
import os
import pathlib
import signal
import sys

ROOT = pathlib.Path(__file__).parents[2]
#: Longest wait for a process to end by itself, in seconds.
END_LIMIT_S = 30.0
#: Characters of a process's log that are kept, the latest.
MAX_LOG_CHARACTERS = 100_000


class Process:
    """One process that a test started."""

    def __init__(self, name: str, child: asyncio.subprocess.Process) -> None:
        self.name = name
        self.child = child
        self.log = ""
        self.reader = asyncio.ensure_future(self._read_log())

    async def _read_log(self) -> None:
        assert self.child.stderr is not None
        async for line in self.child.stderr:
            self.log = (self.log + line.decode(errors="replace"))[-MAX_LOG_CHARACTERS:]

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this very process."""
        if self.child.returncode is None:
            self.child.send_signal(number)

    async def ended(self, limit_s: float = END_LIMIT_S) -> int:
        """Wait until it ends by itself; return the exit code."""
        async with asyncio.timeout(limit_s):
            return await self.child.wait()

    async def kill(self) -> None:
        """End it at once, also when it is frozen."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        await self.child.wait()


async def start(name: str, arguments: list[str]) -> Process:
    """Start Python with ``arguments`` in the root of the repository."""
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        *arguments,
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    return Process(name, child)
