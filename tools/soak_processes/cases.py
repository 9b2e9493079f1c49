"""Plans that once failed, kept with their causes in ``cases.toml``."""

import dataclasses
import pathlib
import tomllib

from tools.soak_processes import plan as plans

PATH = pathlib.Path(__file__).with_name("cases.toml")


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One plan; ``cause`` says in a line why it failed."""

    name: str
    cause: str
    settings: plans.Settings
    steps: tuple[plans.Step, ...]


def read() -> list[Case]:
    """Return all cases."""
    document = tomllib.loads(PATH.read_text())
    return [
        Case(
            name=name,
            cause=case["cause"],
            settings=plans.Settings(**case["settings"]),
            steps=tuple(plans.read(step) for step in case["steps"]),
        )
        for name, case in document.items()
    ]
