"""
``spindlenotch explain``: why an entry or a gateway decided as it did.

Without ``--logs`` it asks a running entry (``explain_entry``); with ``--logs``
it reads what gateways wrote (``explain_logs``).
"""

import pathlib
import sys
import typing

import rich.console
import uvloop

from spindlenotch.cli import explain_entry, explain_logs, reports


def run_explain(
    operator: str = "",
    *,
    service: str = "",
    call: str = "",
    json: bool = False,
    logs: list[pathlib.Path] | None = None,
    request: str = "",
    upstream: str = "",
    config: str = "",
    rollout: str = "",
) -> None:
    """
    Say why an entry decides as it does, or why a gateway did so.

    Parameters
    ----------
    operator: IP:port of the entry's operator port.
    service: Show who could take a request of this service now, and why.
    call: Show what was decided on this request id.
    json: Print JSON only.
    logs: Files with log lines of gateways; repeat the flag for each file.
    request: With --logs: tell the story of this request id.
    upstream: With --logs: tell what was believed of this upstream.
    config: With --logs: tell when this version of the configuration came.
    rollout: With --logs: tell what became of orders to change this service's version.
    """
    if logs:
        id_by_kind = {
            explain_logs.SubjectKind.REQUEST: request,
            explain_logs.SubjectKind.UPSTREAM: upstream,
            explain_logs.SubjectKind.VERSION: config,
            explain_logs.SubjectKind.ROLLOUT: rollout,
        }
        _explain_logs(logs, id_by_kind)
    elif bool(service) == bool(call):
        _end_with("give exactly one of --service and --call")
    else:
        _explain_entry(operator, service=service, call=call, json=json)


def _explain_entry(operator: str, *, service: str, call: str, json: bool) -> None:
    try:
        body = uvloop.run(explain_entry.fetch(operator, service=service, call=call))
        if json:
            print(explain_entry.formatted(body))
            return
        describe = (
            explain_entry.describe_service if service else explain_entry.describe_call
        )
        lines = describe(body)
    except explain_entry.FetchError as error:
        _end_with(str(error), reports.ExitCode.FAILED)
    console = rich.console.Console()
    for line in lines:
        console.print(line, highlight=False, markup=False)


def _explain_logs(
    logs: list[pathlib.Path], id_by_kind: dict[explain_logs.SubjectKind, str]
) -> None:
    subjects = [explain_logs.Subject(kind, id) for kind, id in id_by_kind.items() if id]
    if len(subjects) != 1:
        _end_with("give exactly one of --request, --upstream, --config, --rollout")
    try:
        story = explain_logs.read_story(logs, subjects[0])
    except OSError as error:
        _end_with(f"--logs: {error.filename}: {error.strerror}")
    for line in explain_logs.describe(story):
        print(line)
    if not story.lines:
        sys.exit(reports.ExitCode.FAILED)


def _end_with(
    text: str, code: reports.ExitCode = reports.ExitCode.BAD_INPUT
) -> typing.NoReturn:
    print(text, file=sys.stderr)
    sys.exit(code)
