"""
Which items of the source that can't be used are worth a log line.

Pure. Writers repeat themselves, several times a minute each: a line is written for
what is new only, and their number is bounded whatever they write. The counter of
refused items has them all. Owns what was said of each item.
"""

from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.gateway.source import sources

#: Items of which it is remembered what was said, the latest ones: about two for each
#: upstream of the largest fleet that is planned for.
MAX_REMEMBERED_ITEMS = 1000
#: Seconds over which lines are counted: an operator who looks at a log sees that long.
WINDOW_S = 60.0
#: Lines of one item in that time: an operator's few tries to mend it are all told, a
#: writer whose every entry is odd in another way is not.
MAX_LINES_PER_ITEM = 5
#: Lines of all items in that time: what one screen shows.
MAX_LINES = 50
#: Longest account of all reasons, in characters: one line of a log or an answer.
MAX_SUMMARY_CHARS = 500


class _LoggedItem(msgspec.Struct):
    """What was said last of one item, and how many lines up to ``window_end``."""

    reason: str
    lines: int
    window_end: ids.Instant


class BadItemLog:
    """The items that could not be used, the latest one last."""

    def __init__(self) -> None:
        self._logged_by_key: dict[str, _LoggedItem] = {}
        self._window_end = ids.Instant(0.0)
        self._lines = 0

    def select_for_log(
        self, items: abc.Iterable[sources.BadItem], now: ids.Instant
    ) -> list[sources.BadItem]:
        """Return those of which a line is to be written; they count as written."""
        if now >= self._window_end:
            self._window_end = ids.later(now, WINDOW_S)
            self._lines = 0
        return [item for item in items if self._should_log(item)]

    def summary(self) -> str:
        """Return what is wrong with all that is remembered; empty where nothing is."""
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
