"""
What is wrong with a bundle: one ``Fault`` a mistake, collected in a ``FaultList``.

A reader goes on after a fault, so that an author sees every mistake at once.
Owns the wording of a fault; the readers of the tables decide what is one.
"""

from collections import abc

import msgspec

#: Longest excerpt of a value in a fault, in characters.
MAX_FOUND_CHARACTERS = 80


class Fault(msgspec.Struct, frozen=True):
    """
    One mistake in a bundle.

    ``path`` is the field's dotted path, empty for the text as a whole;
    ``found`` is what stands there, ``allowed`` what may.
    """

    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.path}: found {self.found}; allowed: {self.allowed}"


class FaultList:
    """The faults found so far, in the order in which they were found."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []

    def add(self, path: str, found: object, allowed: str) -> None:
        """Record one fault; a long ``found`` is cut."""
        excerpt = repr(found)[:MAX_FOUND_CHARACTERS]
        self.faults.append(Fault(path, excerpt, allowed))


def one_of(names: abc.Iterable[str]) -> str:
    """Return the wording of a choice among ``names``."""
    return "one of " + ", ".join(sorted(names))
