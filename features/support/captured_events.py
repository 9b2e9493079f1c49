"""The log events that are written while something is tried."""

import contextlib
import typing
from collections import abc

import loguru

from spindlenotch import events


class Captured:
    """The events so far, in their order."""

    def __init__(self) -> None:
        self.fields: list[dict[str, typing.Any]] = []

    def of(self, event: events.Event) -> list[dict[str, typing.Any]]:
        """Return the fields of each line of an event."""
        number = event.value.number
        return [one for one in self.fields if one["event"] == number]


@contextlib.contextmanager
def capture() -> abc.Iterator[Captured]:
    """Capture all events within the block."""
    captured = Captured()
    sink = loguru.logger.add(
        lambda line: captured.fields.append(line.record["extra"]), level="TRACE"
    )
    try:
        yield captured
    finally:
        loguru.logger.remove(sink)
