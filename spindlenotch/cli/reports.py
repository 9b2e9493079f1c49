"""
What a command of an operator prints at its end, and its exit code.

A report is one JSON object for scripts or a few lines for people; failures go
to standard error. Owns the exit codes, which scripts rely on.
"""

import enum
import sys
import typing

import msgspec


class ExitCode(enum.IntEnum):
    """Exit codes of all commands."""

    OK = 0
    FAILED = 1
    #: Files, settings or flags that cannot be used.
    BAD_INPUT = 2
    #: Another version than the one started from is published.
    CONFLICT = 3
    #: Nobody can tell whether the write took effect.
    UNCERTAIN = 4


class Report(msgspec.Struct, omit_defaults=True):
    """
    The result of a command.

    ``details`` are further lines of any kind; scripts know them by the name
    that was given to them when they were mistakes only.
    """

    ok: bool
    text: str
    version: int = 0
    digest: str = ""
    details: tuple[str, ...] = msgspec.field(default=(), name="mistakes")


def finish(
    report: Report, *, json: bool, code: ExitCode = ExitCode.OK
) -> typing.NoReturn:
    """Print ``report`` and end the process with ``code``."""
    if json:
        print(msgspec.json.encode(report).decode())
    else:
        stream = sys.stdout if report.ok else sys.stderr
        print(report.text, file=stream)
        for line in report.details:
            print("  " + line, file=stream)
    sys.exit(code)


def fail(
    text: str,
    *,
    json: bool,
    code: ExitCode = ExitCode.BAD_INPUT,
    details: tuple[str, ...] = (),
) -> typing.NoReturn:
    """Report a failure and end the process."""
    finish(Report(False, text, details=details), json=json, code=code)
