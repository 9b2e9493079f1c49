"""
Read the log lines that gateways wrote (``gateway.log_sink``), a line at a time.

Memory is bounded whatever the files hold: a line is read up to a limit, and
nothing is kept here. Owns how a line is decoded; a line that is no event is
reported as such, as a log may be cut short or mixed with other output.
"""

import dataclasses
import pathlib
import typing
from collections import abc

import msgspec

#: Longest part of a line that is read at once; what follows counts as a further,
#: unreadable line.
MAX_LINE_BYTES = 64 * 1024
#: Fields of every line that are not among its details.
COMMON_FIELDS = frozenset({"at", "level", "text", "event"})


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class LogLine:
    """
    One event of one process, in order of time.

    ``at`` is in seconds since 1970, ``process`` the name of the file without
    its ending, ``event`` the number in the catalogue (``events``). ``details``
    are the event's own fields as text, in the order in which they stand.
    """

    at: float
    process: str
    event: int
    details: dict[str, str] = dataclasses.field(compare=False)

    @property
    def upstream(self) -> str | None:
        """Return the upstream that the line is about, if any."""
        return self.details.get("upstream")

    @property
    def service(self) -> str | None:
        """Return the service that the line is about, if any."""
        return self.details.get("service")


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableLine:
    """A line that is no event, by its number in the file of a process."""

    process: str
    number: int


def read(
    paths: abc.Iterable[pathlib.Path], needle: bytes = b""
) -> abc.Iterator[LogLine | UnreadableLine]:
    """
    Read the lines of all files in which the bytes ``needle`` occur.

    Raise ``OSError`` where a file cannot be read.
    """
    for path in paths:
        with path.open("rb") as file:
            for number, raw in enumerate(_raw_lines(file), 1):
                if needle in raw:
                    yield _decode(path.stem, number, raw)


def _raw_lines(file: typing.BinaryIO) -> abc.Iterator[bytes]:
    while raw := file.readline(MAX_LINE_BYTES):
        yield raw


def _decode(process: str, number: int, raw: bytes) -> LogLine | UnreadableLine:
    try:
        fields = msgspec.json.decode(raw, type=dict[str, typing.Any])
        at, event = float(fields["at"]), int(fields["event"])
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
        return UnreadableLine(process, number)
    details = {
        name: str(value) for name, value in fields.items() if name not in COMMON_FIELDS
    }
    return LogLine(at, process, event, details)
