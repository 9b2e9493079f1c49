"""
What came of plays, and the file that keeps it, so that a broken-off run goes on.

One line of JSON for each play. The names of the bench's report are read here alone.
"""

import json
import pathlib
import typing

import msgspec

#: What a day's worth is before prices: the bench's names of its parts.
CREDIT, WINDOWS, CLASS = "whole day", "worst windows", "worst class"


class Second(msgspec.Struct, frozen=True):
    """The share earned in the seconds that begin with ``begin``."""

    begin: int
    earned: float


class Result(msgspec.Struct, frozen=True):
    """
    One play, as the bench judged it.

    Shares are 0 to 1; ``prices`` by name are shares of worth that were taken off,
    ``kinds`` the earned share by kind of request. ``broken`` counts broken rules by
    name; ``fault`` is empty where there was none.
    """

    key: str
    variant: str
    site: str
    day: str
    seed: int
    worth: float
    credit: float
    windows: float
    broken: dict[str, int]
    fault: str
    prices: dict[str, float]
    kinds: dict[str, float]
    seconds: tuple[Second, ...] = ()

    @property
    def clean(self) -> bool:
        """Tell whether no rule was broken and there was no fault."""
        return not self.broken and not self.fault


def from_report(
    key: str, variant: str, site: str, day: str, seed: int, report: pathlib.Path
) -> Result:
    """Read the bench's report of a play."""
    found: dict[str, typing.Any] = json.loads(report.read_text())
    parts = {name: share for name, _, share in _rows(found["parts"])}
    return Result(
        key=key,
        variant=variant,
        site=pathlib.Path(site).stem,
        day=pathlib.Path(day).stem,
        seed=seed,
        worth=found["G"],
        credit=parts.get(CREDIT, 0.0),
        windows=parts.get(WINDOWS, 0.0),
        broken={name: int(count) for name, count in found["breaks"].items()},
        fault=str(found["fault"] or ""),
        prices={name: taken for name, _, taken in _rows(found["prices"])},
        kinds={row["name"]: row["worth"] for row in found["classes"]},
        seconds=tuple(
            Second(int(row["name"]), row["worth"]) for row in found["windows"]
        ),
    )


def _rows(rows: list[list[typing.Any]]) -> list[tuple[str, float, float]]:
    """Return rows of a name and two figures."""
    return [(str(name), float(first), float(second)) for name, first, second in rows]


class Kept:
    """The results of an experiment, by key, in a file that only grows."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.by_key: dict[str, Result] = {}
        if path.exists():
            for line in path.read_text().splitlines():
                result = msgspec.json.decode(line, type=Result)
                self.by_key[result.key] = result

    def add(self, result: Result) -> None:
        """Keep a result."""
        self.by_key[result.key] = result
        with self.path.open("ab") as file:
            file.write(msgspec.json.encode(result) + b"\n")
