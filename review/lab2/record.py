"""The record of a scenario, and its end."""

import asyncio
import os
import pathlib
import sys
import time
import typing
from collections import abc

HELD, BROKEN, UNABLE = 0, 1, 2


class Record:
    """Collects lines; ``play`` writes them to ``record.txt`` and ends the script."""

    def __init__(self, script: str) -> None:
        self.path = pathlib.Path(script).resolve().parent / "record.txt"
        self.lines: list[str] = []
        self.began_at = time.monotonic()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.note(f"trouble: {'yes' if self.trouble else 'no'}")

    def note(self, text: str, at: float | None = None) -> None:
        """Add a line with the time since the beginning, and print it."""
        moment = time.monotonic() if at is None else at
        line = f"{moment - self.began_at:8.3f} {text}"
        self.lines.append(line)
        print(line, flush=True)

    def play(self, scenario: abc.Awaitable[tuple[int, str]]) -> typing.NoReturn:
        """Play a scenario, which returns the code and what it found; then end."""
        code, text = asyncio.run(scenario)
        self.note(f"{('held', 'broken', 'could not run')[code]}: {text}")
        self.path.write_text("\n".join(self.lines) + "\n")
        sys.exit(code)
