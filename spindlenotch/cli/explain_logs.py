"""
Tells the story of a request, an upstream or a configuration from log lines.

Reads the lines that gateways wrote (``gateway.log_sink``), of several processes
at once, one line at a time: memory is bounded whatever the files' size. Lines
that can't be read are counted and named. Sits beside ``explain_entry``, which
asks a living process.
"""

import dataclasses
import heapq
import pathlib
import typing
from collections import abc

import msgspec

from spindlenotch import events

#: Lines told at most, the latest ones; and of what was believed before them.
STORY_LINES = 500
CONTEXT_LINES = 20
#: How long before a request's first line beliefs are looked for, in seconds.
CONTEXT_S = 30.0
#: Unreadable lines that are named one by one.
NAMED_LINES = 10
LONGEST_LINE = 64 * 1024
#: Fields of every line; the others are told as they are.
COMMON_FIELDS = frozenset({"at", "level", "text", "event"})
#: Events of these hundreds are beliefs: configuration and store, peers, upstreams.
BELIEF_HUNDREDS = frozenset({2, 3, 4})


class Subject(typing.NamedTuple):
    """What is asked for: lines in which the field has the value."""

    field: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Told:
    """One line of a story; the process is the file that it came from."""

    at: float
    process: str
    event: int
    fields: dict[str, typing.Any] = dataclasses.field(compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Unreadable:
    """A line that is no event."""

    process: str
    number: int


@dataclasses.dataclass(slots=True)
class Story:
    """Lines in order, what was believed before, and what could not be read."""

    lines: list[Told]
    context: list[Told]
    unreadable: int
    named: list[Unreadable]


def tell(paths: abc.Sequence[pathlib.Path], subject: Subject) -> Story:
    """Return the story of a subject; an upstream or version has no context."""
    latest: list[Told] = []
    named: list[Unreadable] = []
    unreadable = 0
    for line in _lines(paths, subject.value.encode()):
        if isinstance(line, Unreadable):
            unreadable += 1
            if len(named) < NAMED_LINES:
                named.append(line)
        elif str(line.fields.get(subject.field)) == subject.value:
            _keep(latest, line, STORY_LINES)
    lines = sorted(latest)
    context = _context(paths, lines) if subject.field == "request" else []
    return Story(lines, context, unreadable, named)


def describe(story: Story) -> list[str]:
    """Return a story in plain words, one line each."""
    found = ["believed before:"] if story.context else []
    found += [f"  {_words(line)}" for line in story.context]
    found += [_words(line) for line in story.lines]
    if not story.lines:
        found.append("no line tells of it; successes are a sample (see OPERATIONS.md)")
    if story.unreadable:
        where = ", ".join(f"{one.process}:{one.number}" for one in story.named)
        found.append(f"{story.unreadable} lines could not be read: {where}")
    return found


def _context(paths: abc.Sequence[pathlib.Path], lines: list[Told]) -> list[Told]:
    """Return beliefs of the same processes that the lines may rest on."""
    if not lines:
        return []
    begin, end = lines[0].at - CONTEXT_S, lines[-1].at
    processes = {line.process for line in lines}
    upstreams = {line.fields.get("upstream") for line in lines} - {None}
    services = {line.fields.get("service") for line in lines} - {None}
    kept: list[Told] = []
    for line in _lines([p for p in paths if p.stem in processes], b""):
        if isinstance(line, Unreadable) or not begin <= line.at <= end:
            continue
        if line.event // 100 not in BELIEF_HUNDREDS:
            continue
        about = line.fields.get("upstream")
        if about is None or about in upstreams or line.fields["service"] in services:
            _keep(kept, line, CONTEXT_LINES)
    return sorted(kept)


def _keep(kept: list[Told], line: Told, most: int) -> None:
    """Keep the latest lines, so many at most."""
    if len(kept) < most:
        heapq.heappush(kept, line)
    else:
        heapq.heappushpop(kept, line)


def _lines(
    paths: abc.Iterable[pathlib.Path], needle: bytes
) -> abc.Iterator[Told | Unreadable]:
    """Read the events of all files in which the bytes occur."""
    for path in paths:
        with path.open("rb") as file:
            for number, raw in enumerate(_bounded(file), 1):
                if needle in raw:
                    yield _read(path.stem, number, raw)


def _bounded(file: typing.BinaryIO) -> abc.Iterator[bytes]:
    while raw := file.readline(LONGEST_LINE):
        yield raw


def _read(process: str, number: int, raw: bytes) -> Told | Unreadable:
    try:
        fields = msgspec.json.decode(raw, type=dict[str, typing.Any])
        at, event = float(fields["at"]), int(fields["event"])
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
        return Unreadable(process, number)
    rest = {k: v for k, v in fields.items() if k not in COMMON_FIELDS}
    return Told(at, process, event, rest)


_TEXT_BY_NUMBER: dict[int, str] = {e.value.number: e.value.text for e in events.Event}


def _words(line: Told) -> str:
    text = _TEXT_BY_NUMBER.get(line.event, "unknown event")
    details = " ".join(f"{name}={value}" for name, value in line.fields.items())
    return f"{line.at:.3f} {line.process} E{line.event} {text}: {details}"
