"""The form of a row of the table of decisions, and of the scenario that holds it."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A scenario, or a row of an outline, that holds a rule."""

    feature: str
    title: str


@dataclasses.dataclass(frozen=True)
class Rule:
    """One rule; ``inputs`` names what it looks at, with units."""

    question: str
    functions: tuple[str, ...]
    inputs: str
    reason: str
    constants: tuple[str, ...] = ()
    events: tuple[str, ...] = ()
    tests: tuple[Scenario, ...] = ()
