"""
Tell the story of a request, an upstream, a configuration or a rollout from log lines.

The story holds the latest lines about the subject and, for a request, what
its processes reported about upstreams, peers and configuration shortly before:
what their decisions rested on. ``log_lines`` reads the files; memory is
bounded whatever their size.
"""

import enum
import heapq
import pathlib
from collections import abc

import msgspec

from spindlenotch import events
from spindlenotch.cli import log_lines

#: Lines of a story, the latest ones.
MAX_STORY_LINES = 500
#: Lines of its context, the latest ones.
MAX_CONTEXT_LINES = 20
#: How long before a request's first line its context begins, in seconds.
CONTEXT_S = 30.0
#: Unreadable lines that are named one by one.
MAX_NAMED_LINES = 10
#: Event numbers divided by 100 that make up a context: configuration and
#: store, peers, upstreams.
CONTEXT_HUNDREDS = frozenset({2, 3, 4})

_TEXT_BY_NUMBER = {event.value.number: event.value.text for event in events.Event}


class SubjectKind(enum.Enum):
    """What a story can be about; the values are names of log fields."""

    REQUEST = "request"
    UPSTREAM = "upstream"
    VERSION = "version"
    #: Orders to change the version of a service.
    ROLLOUT = "service"


#: Events that are about orders to change a service's version.
ROLLOUT_EVENTS = frozenset(
    event.value.number for event in events.Event if event.name.startswith("ROLLOUT_")
)


class Subject(msgspec.Struct, frozen=True):
    """What is asked about: lines whose field ``kind`` holds ``id``."""

    kind: SubjectKind
    id: str

    def concerns(self, line: log_lines.LogLine) -> bool:
        """Tell whether ``line`` is about this subject."""
        if self.kind is SubjectKind.ROLLOUT and line.event not in ROLLOUT_EVENTS:
            return False
        return line.details.get(self.kind.value) == self.id


class Story(msgspec.Struct, frozen=True):
    """
    Lines and context in order of time, and what could not be read.

    ``unreadable`` counts the unreadable lines, ``named`` holds the first ones.
    """

    lines: list[log_lines.LogLine]
    context: list[log_lines.LogLine]
    unreadable: int
    named: list[log_lines.UnreadableLine]


def read_story(paths: abc.Sequence[pathlib.Path], subject: Subject) -> Story:
    """
    Read the story of a subject; only a request has a context.

    Raise ``OSError`` where a file cannot be read.
    """
    latest: list[log_lines.LogLine] = []
    named: list[log_lines.UnreadableLine] = []
    unreadable = 0
    for line in log_lines.read(paths, subject.id.encode()):
        if isinstance(line, log_lines.UnreadableLine):
            unreadable += 1
            if len(named) < MAX_NAMED_LINES:
                named.append(line)
        elif subject.concerns(line):
            _keep_latest(latest, line, MAX_STORY_LINES)
    lines = sorted(latest)
    context: list[log_lines.LogLine] = []
    if lines and subject.kind is SubjectKind.REQUEST:
        context = _read_context(paths, lines)
    return Story(lines, context, unreadable, named)


def describe(story: Story) -> list[str]:
    """Return a story as text, one line an event."""
    text = ["believed before:"] if story.context else []
    text += [f"  {_line_text(line)}" for line in story.context]
    text += [_line_text(line) for line in story.lines]
    if not story.lines:
        text.append("no line tells of it; successes are a sample (see OPERATIONS.md)")
    if story.unreadable:
        where = ", ".join(f"{line.process}:{line.number}" for line in story.named)
        text.append(f"{story.unreadable} lines could not be read: {where}")
    return text


def _read_context(
    paths: abc.Sequence[pathlib.Path], lines: list[log_lines.LogLine]
) -> list[log_lines.LogLine]:
    """Return what the same processes reported that may explain ``lines``."""
    begin, end = lines[0].at - CONTEXT_S, lines[-1].at
    processes = {line.process for line in lines}
    upstreams = {line.upstream for line in lines} - {None}
    services = {line.service for line in lines} - {None}
    latest: list[log_lines.LogLine] = []
    for line in log_lines.read([p for p in paths if p.stem in processes]):
        if isinstance(line, log_lines.UnreadableLine) or not begin <= line.at <= end:
            continue
        if line.event // 100 not in CONTEXT_HUNDREDS:
            continue
        concerns_all = line.upstream is None
        if concerns_all or line.upstream in upstreams or line.service in services:
            _keep_latest(latest, line, MAX_CONTEXT_LINES)
    return sorted(latest)


def _keep_latest(
    latest: list[log_lines.LogLine], line: log_lines.LogLine, limit: int
) -> None:
    """Add ``line`` to a heap that holds the latest ``limit`` lines."""
    if len(latest) < limit:
        heapq.heappush(latest, line)
    else:
        heapq.heappushpop(latest, line)


def _line_text(line: log_lines.LogLine) -> str:
    text = _TEXT_BY_NUMBER.get(line.event, "unknown event")
    details = " ".join(f"{name}={value}" for name, value in line.details.items())
    return f"{line.at:.3f} {line.process} E{line.event} {text}: {details}"
