"""
A table of settings, and how values are found for its rows.

One table drives a daemon's flags, its environment variables, the checks and
the reference in the operators' pages. A flag takes precedence over a
variable, a variable over the settings file, and that over the default. All
faults are reported at once. Reads no file itself; see ``toml_file``.
"""

import typing
from collections import abc

import msgspec

from spindlenotch.settings import kinds

ENVIRONMENT_PREFIX = "SPINDLENOTCH_"


class Fault(msgspec.Struct, frozen=True):
    """One setting that cannot be used: where, what was found, what is allowed."""

    flag: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.flag}: found {self.found!r}; allowed: {self.allowed}"


class Setting(msgspec.Struct, frozen=True):
    """One row of the table; ``default`` None means that it is required."""

    name: str
    kind: kinds.Kind
    default: str | None
    meaning: str

    @property
    def flag(self) -> str:
        """Return the flag's name."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """Return the environment variable's name."""
        return ENVIRONMENT_PREFIX + self.name.upper()


def read(
    rows: abc.Iterable[Setting],
    flags: abc.Mapping[str, str | None],
    environment: abc.Mapping[str, str],
    file_values: abc.Mapping[str, str],
) -> dict[str, typing.Any] | list[Fault]:
    """Return the values of all settings by name, or every fault."""
    values: dict[str, typing.Any] = {}
    faults: list[Fault] = []
    for setting in rows:
        text = flags.get(setting.name)
        if text is None:
            text = environment.get(setting.variable)
        if text is None:
            text = file_values.get(setting.name, setting.default)
        value = _read_one(setting, text)
        if isinstance(value, Fault):
            faults.append(value)
        else:
            values[setting.name] = value
    return faults or values


def _read_one(setting: Setting, text: str | None) -> object:
    name = f"{setting.flag} ({setting.variable})"
    if text is None:
        return Fault(name, "nothing", setting.kind.allowed)
    try:
        return setting.kind.read(text)
    except ValueError:
        shown = "(secret)" if setting.kind.secret else text
        return Fault(name, shown, setting.kind.allowed)


def reference(rows: abc.Iterable[Setting]) -> str:
    """Return the settings as a Markdown table for the operators' pages."""
    lines = [
        "| flag | variable | default | allowed | meaning |",
        "|---|---|---|---|---|",
    ]
    for s in rows:
        default = "required" if s.default is None else s.default or "(empty)"
        lines.append(
            f"| `{s.flag}` | `{s.variable}` | {default}"
            f" | {s.kind.allowed} | {s.meaning} |"
        )
    return "\n".join(lines) + "\n"
