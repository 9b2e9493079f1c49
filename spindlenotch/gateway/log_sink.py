"""
Writes log lines to standard output without ever blocking the event loop.

When the pipe is full, lines are dropped; the next line that fits is preceded by a
line with the number of dropped lines. Lines are rate-limited per event, so that one
event can't crowd out the others. Owns the descriptor's non-blocking mode.
"""

import collections
import os
import time
import typing

import loguru
import msgspec

from spindlenotch import events

#: File descriptor of standard output, defined by POSIX.
STDOUT_DESCRIPTOR = 1
#: Maximum log lines per event and second.
MAX_LINES_PER_EVENT = 50
#: Decimal places of a line's timestamp, which is in seconds since the epoch.
TIME_DIGITS = 3


class LogSink:
    """
    A loguru sink that writes each message as a JSON line.

    ``dropped`` counts the dropped lines that have not been reported yet.
    """

    def __init__(self, descriptor: int = STDOUT_DESCRIPTOR) -> None:
        self.descriptor = descriptor
        self.dropped = 0
        self._second = 0
        self._lines_by_event: collections.Counter[int] = collections.Counter()
        #: The remainder of a line that was written only in part.
        self._unwritten = b""
        os.set_blocking(descriptor, False)

    def __call__(self, message: typing.Any) -> None:
        """Write one message, or count it as dropped."""
        record = message.record
        fields = record["extra"]
        if not self._within_limit(fields.get("event", 0)):
            self.dropped += 1
            return
        line = {
            "at": round(time.time(), TIME_DIGITS),
            "level": record["level"].name,
            "text": record["message"].split(" ", 1)[0],
            **fields,
        }
        self._write(msgspec.json.encode(line, enc_hook=str) + b"\n")

    def _within_limit(self, event: int) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines_by_event.clear()
        self._lines_by_event[event] += 1
        return self._lines_by_event[event] <= MAX_LINES_PER_EVENT

    def _write(self, data: bytes) -> None:
        reported = 0
        if self.dropped and not self._unwritten:
            reported = self.dropped
            data = _notice(reported) + data
        pending = self._unwritten + data if self._unwritten else data
        try:
            written = os.write(self.descriptor, pending)
        except OSError:
            # The pipe is full or closed, so the failure can't be logged here. The
            # next line that can be written reports it.
            self.dropped += 1
            return
        self.dropped -= reported
        # The remainder of a partly written line precedes any other output.
        self._unwritten = pending[written:]


def _notice(lines: int) -> bytes:
    """Return the log line that reports the number of dropped lines."""
    entry = events.Event.LINES_DROPPED.value
    line = {"event": entry.number, "level": entry.level, "lines": lines}
    return msgspec.json.encode(line) + b"\n"


def install() -> LogSink:
    """Send all log lines of this process to standard output."""
    sink = LogSink()
    loguru.logger.remove()
    loguru.logger.add(sink, level="INFO", format="{message}")
    return sink
