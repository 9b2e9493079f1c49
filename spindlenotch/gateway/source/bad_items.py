"""
Rate limit and deduplication of log lines on invalid items of the source.

Pure. Writers repeat their entries several times a minute each: an item is logged only
if its fault is new, and the number of lines is bounded. The counter of refused items
counts every one. Owns the last logged fault of each item.
"""

from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.gateway.source import sources

#: Number of most recent items whose last logged fault is kept: about two for each
#: upstream of the largest fleet that is planned for.
MAX_REMEMBERED_ITEMS = 1000
#: Seconds of the window in which lines are counted: about what an operator who reads a
#: log looks at.
WINDOW_S = 60.0
#: Maximum number of lines for one item in a window: enough to log an operator's few
#: attempts to fix it, but not a writer whose every entry has another fault.
MAX_LINES_PER_ITEM = 5
#: Maximum number of lines for all items in a window: one screen.
MAX_LINES = 50
#: Maximum length of the summary of all faults in characters: one line of a log or a
#: response.
MAX_SUMMARY_CHARS = 500


class _LoggedItem(msgspec.Struct):
    """Last logged fault of an item, and its lines in the window to ``window_end``."""

    reason: str
    lines: int
    window_end: ids.Instant


class BadItemLog:
    """
    Decides which invalid items are logged, and remembers the latest ones.

    The item reported last comes last.
    """

    def __init__(self) -> None:
        self._logged_by_key: dict[str, _LoggedItem] = {}
        self._window_end = ids.Instant(0.0)
        self._lines = 0

    def select_for_log(
        self, items: abc.Iterable[sources.BadItem], now: ids.Instant
    ) -> list[sources.BadItem]:
        """Return the items to log, and count them as logged."""
        if now >= self._window_end:
            self._window_end = ids.later(now, WINDOW_S)
            self._lines = 0
        return [item for item in items if self._should_log(item)]

    def summary(self) -> str:
        """Return the faults of all remembered items in one line; empty if none."""
        logged = self._logged_by_key.items()
        return "; ".join(f"{key}: {logged_item.reason}" for key, logged_item in logged)[
            :MAX_SUMMARY_CHARS
        ]

    def _should_log(self, item: sources.BadItem) -> bool:
        if self._lines >= MAX_LINES:
            return False
        logged = self._logged_by_key.pop(item.key, None) or _LoggedItem(
            "", 0, self._window_end
        )
        self._logged_by_key[item.key] = logged
        if logged.window_end != self._window_end:
            logged.window_end = self._window_end
            logged.lines = 0
        if logged.reason == item.reason or logged.lines >= MAX_LINES_PER_ITEM:
            return False
        logged.reason = item.reason
        logged.lines += 1
        self._lines += 1
        if len(self._logged_by_key) > MAX_REMEMBERED_ITEMS:
            del self._logged_by_key[next(iter(self._logged_by_key))]
        return True
