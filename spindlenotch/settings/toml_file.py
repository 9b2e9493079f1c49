"""
Settings from a TOML file.

The names in the file are those of the table's rows. A value may be any TOML
scalar or a list of them; it is turned into the text that a flag would carry
and read by ``schema`` like one.
"""

import tomllib
import typing
from collections import abc

from spindlenotch.settings import schema


def read(
    path: str, rows: abc.Iterable[schema.Setting]
) -> dict[str, str] | list[schema.Fault]:
    """Return the texts of the settings in the file, or every fault in it."""
    try:
        with open(path, "rb") as file:
            document = tomllib.load(file)
    except OSError as error:
        reason = error.strerror or "unreadable"
        return [schema.Fault(path, reason, "a readable file")]
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return [schema.Fault(path, str(error), "a whole TOML file")]
    names = {setting.name for setting in rows}
    faults = [
        schema.Fault(f"{path}: {name}", "an unknown name", ", ".join(sorted(names)))
        for name in document
        if name not in names
    ]
    return faults or {name: _text(value) for name, value in document.items()}


def _text(value: typing.Any) -> str:
    if isinstance(value, list):
        return ",".join(str(item) for item in value)
    return str(value)
