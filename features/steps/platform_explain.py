"""Steps that explain what gateways did from the lines that they wrote."""

import json
import pathlib
import subprocess
import sys
import tempfile
import typing

import behave

from features.steps import kernel
from features.support import platform_context, platform_fleet
from spindlenotch import events
from spindlenotch.cli import explain_logs, log_lines

fleet_of = platform_context.fleet_of
BAD_LINE = b"this is no event\n"


def explain(context: typing.Any, flag: str, value: str) -> tuple[int, str]:
    """Run the command on the logs of all gateways."""
    logs = [f"--logs={path}" for path in fleet_of(context).logs.values()]
    done = subprocess.run(
        [sys.executable, "-m", "spindlenotch", "explain", *logs, flag, value],
        capture_output=True,
        text=True,
        cwd=platform_fleet.ROOT,
        timeout=60,
    )
    return done.returncode, done.stdout


@behave.when("a line that is no event lies in a gateway's log")
def bad_line(context: typing.Any) -> None:
    with next(iter(fleet_of(context).logs.values())).open("ab") as log:
        log.write(b'{"request":"booking" ' + BAD_LINE)


@behave.then(
    'explain tells of request "{request}" that it failed by "{reason}" at a worker'
)
def tells_failure(context: typing.Any, request: str, reason: str) -> None:
    code, text = explain(context, "--request", request)
    context.told = text
    assert code == 0, text
    number = events.Event.REQUEST_FAILED.value.number
    (line,) = [line for line in text.splitlines() if f" E{number} " in line]
    assert f"reason={reason}" in line and "status=502" in line, text
    assert "believed before:" in text, text


@behave.then("explain names the line that it can't read")
def names_line(context: typing.Any) -> None:
    assert "1 lines could not be read: node-1:" in context.told, context.told


@behave.then('explain tells of version "{version}" when it came')
def tells_version(context: typing.Any, version: str) -> None:
    code, text = explain(context, "--config", version)
    number = events.Event.CONFIGURATION_APPLIED.value.number
    assert code == 0 and text.count(f" E{number} ") == 2, text


@behave.then('explain says that nothing is told of request "{request}"')
def nothing_told(context: typing.Any, request: str) -> None:
    code, text = explain(context, "--request", request)
    assert code == 1 and "no line tells of it" in text, text


@behave.then("the logs tell of each repeat its request, worker and reason")
def repeats(context: typing.Any) -> None:
    fleet = fleet_of(context)
    number = events.Event.REQUEST_SENT_AGAIN.value.number
    told = [
        line["request"]
        for path in fleet.logs.values()
        for line in map(json.loads, path.read_text().splitlines())
        if line["event"] == number and line["upstream"] and line["reason"]
    ]
    ran = [f"m{n}" for n in range(30) if len(fleet.runs_of(f"m{n}")) > 1]
    spread = {w.id: len(w.runs) for w in fleet.worker_by_id.values()}
    assert ran and set(ran) <= set(told), (ran, told, spread, context.answers[:3])


@kernel.PROPERTIES.register("a story has a bounded length whatever the logs hold")
def bounded_story() -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "g.log"
        line = '{{"at": {0}.5, "event": 401, "upstream": "u", "service": "s"}}\n'
        with path.open("w") as file:
            file.writelines(line.format(n) for n in range(5_000))
            file.write("u" * (3 * log_lines.MAX_LINE_BYTES))
        story = explain_logs.read_story(
            [path], explain_logs.Subject(explain_logs.SubjectKind.UPSTREAM, "u")
        )
    assert len(story.lines) == explain_logs.MAX_STORY_LINES
    assert story.lines[-1].at == 4_999.5
    assert story.unreadable == 3 and story.named[0].number == 5_001
