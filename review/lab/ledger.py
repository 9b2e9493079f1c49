"""What a case writes down, and how its script ends."""

import asyncio
import json
import os
import pathlib
import sys
import tempfile
import typing
from collections import abc

#: Exit codes of a script.
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2

Line = dict[str, typing.Any]
#: Plays a case: takes a folder of its own and whether the disruption happens; returns
#: the exit code, what happened and a summary.
Play = abc.Callable[[pathlib.Path, bool], abc.Awaitable[tuple[int, list[Line], Line]]]


def run(here: pathlib.Path, play: Play) -> None:
    """Play a case, write its ``record.txt`` and exit."""
    is_disrupted = os.environ.get("TROUBLE") != "0"
    with tempfile.TemporaryDirectory() as name:
        try:
            code, lines, summary = asyncio.run(_play(play, name, is_disrupted))
        except Exception as error:
            # Whatever kept it from running: the record says so.
            code, lines, summary = COULD_NOT_RUN, [], {"error": repr(error)}
    summary = {"disrupted": is_disrupted, "exit": code, **summary}
    with (here / "record.txt").open("w") as record:
        record.write(json.dumps(summary) + "\n")
        for line in lines:
            record.write(json.dumps(line) + "\n")
    print(json.dumps(summary))
    sys.exit(code)


async def _play(
    play: Play, folder: str, is_disrupted: bool
) -> tuple[int, list[Line], Line]:
    return await play(pathlib.Path(folder), is_disrupted)
