"""
Read one TOML table of a bundle, field by field, and note what is wrong.

A ``TableReader`` knows the table's path, so that each fault names the whole
path of its field. After a fault it returns an empty or zero value, which only
serves to go on reading: a bundle with a fault is never used.
"""

import re
import typing
from collections import abc

from spindlenotch.bundles import faults, scalar_fields

#: Names that end up in paths, metrics and logs; at most 63 characters, as in a DNS
#: label.
NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,62})")
NAME_ALLOWED = "a-z, 0-9 and inner hyphens, at most 63"

Table = dict[str, typing.Any]


class TableReader:
    """One table, its path, and the list to which its faults are added."""

    def __init__(self, table: Table, path: str, found: faults.FaultList) -> None:
        self.table = table
        self.path = path
        self.faults = found

    def path_of(self, name: str) -> str:
        """Return the path of a field of this table."""
        return f"{self.path}.{name}" if self.path else name

    def refuse(self, name: str, found: object, allowed: str) -> None:
        """Note a fault of the field ``name``."""
        self.faults.add(self.path_of(name), found, allowed)

    def get(self, name: str, default: object = None) -> typing.Any:
        """Return the field ``name`` unchecked, ``default`` where it is absent."""
        return self.table.get(name, default)

    def refuse_unknown(self, known: abc.Collection[str]) -> None:
        """Note a fault for each field that is not among ``known``."""
        for name in sorted(set(self.table) - set(known)):
            self.refuse(name, "an unknown field", faults.one_of(known))

    def subtable(self, name: str) -> "TableReader":
        """Return the sub-table ``name``; an absent one is empty."""
        value = self.table.get(name, {})
        if not isinstance(value, dict):
            self.refuse(name, value, "a table")
            value = {}
        return self._below(name, value)

    def named_subtables(self) -> abc.Iterator[tuple[str, "TableReader"]]:
        """Yield name and reader of every sub-table; the names are the author's."""
        for name, value in self.table.items():
            self.check_name(name, self.path)
            if isinstance(value, dict):
                yield name, self._below(name, value)
            else:
                self.refuse(name, value, "a table")

    def subtables(self, name: str) -> list["TableReader"]:
        """Return the tables of the array ``name``; an absent one is empty."""
        values = self.table.get(name, [])
        if isinstance(values, list) and all(isinstance(v, dict) for v in values):
            return [self._below(f"{name}[{i}]", v) for i, v in enumerate(values)]
        self.refuse(name, values, "an array of tables")
        return []

    def strings(self, name: str) -> list[str]:
        """Return a non-empty array of strings."""
        value = self.table.get(name)
        if isinstance(value, list) and value and all(type(v) is str for v in value):
            return value
        self.refuse(name, value, "a non-empty array of strings")
        return []

    def scalars(self, fields: abc.Iterable[scalar_fields.Field]) -> Table:
        """Return the values of ``fields`` by name, defaults filled in."""
        return {field.name: self._scalar(field) for field in fields}

    def check_name(self, value: str, path: str) -> None:
        """Note a fault at ``path`` where ``value`` is no usable name."""
        if not NAME.fullmatch(value):
            self.faults.add(path, value, NAME_ALLOWED)

    def _scalar(self, field: scalar_fields.Field) -> object:
        value = self.table.get(field.name, field.default)
        if value is scalar_fields.REQUIRED:
            self.refuse(field.name, "nothing", field.allowed)
            return field.kind()
        if field.kind is float and type(value) is int:
            value = float(value)
        if not field.accepts(value):
            self.refuse(field.name, value, field.allowed)
            return field.kind()
        return value

    def _below(self, name: str, table: Table) -> "TableReader":
        return TableReader(table, self.path_of(name), self.faults)
