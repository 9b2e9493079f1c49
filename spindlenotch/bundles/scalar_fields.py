"""
The scalar fields of a bundle: type, bounds, default, unit and meaning of each.

The tables drive the check of a bundle (``bundle_check``) and the reference in
``docs/BUNDLE.md`` (``tools.make_docs``). Relies on nothing else.
"""

import typing
from collections import abc

import msgspec

#: Default of a field that must be given.
REQUIRED = object()


class Field(msgspec.Struct, frozen=True):
    """
    A scalar field of a table.

    ``low`` and ``high`` are inclusive bounds of a number and None for a
    string, which must not be empty.
    """

    name: str
    kind: type
    default: object
    low: float | None
    high: float | None
    unit: str
    meaning: str

    @property
    def allowed(self) -> str:
        """Return what the field may hold, in words."""
        if self.kind is str:
            return "a non-empty string"
        kind = "a whole number" if self.kind is int else "a number"
        unit = f" ({self.unit})" if self.unit else ""
        return f"{kind} from {self.low} to {self.high}{unit}"

    def accepts(self, value: typing.Any) -> bool:
        """Tell whether the field may hold ``value``."""
        return type(value) is self.kind and self._in_bounds(value)

    def _in_bounds(self, value: typing.Any) -> bool:
        if self.low is None or self.high is None:
            return bool(value)
        return bool(self.low <= value <= self.high)


TOP_FIELDS = (
    Field("format", int, REQUIRED, 1, 1, "", "format of this file"),
    Field("version", int, REQUIRED, 1, 2**53, "", "one more than the one in force"),
    Field("deployment", str, REQUIRED, None, None, "", "name of the deployment"),
    Field("timezone", str, "UTC", None, None, "", "zone of the day's schedule"),
)
MEASURING_FIELDS = (
    Field("budget_share", float, 0.01, 0.0, 0.2, "share", "probes, of slots x time"),
    Field(
        "probe_ms", float, 6.0, 0.1, 1000, "ms", "time for which a probe holds a slot"
    ),
)
CLAIMS_FIELDS = (
    Field("per_second", float, 100.0, 0.0, 500, "1/s", "claims written, whole fleet"),
    Field("keep_s", int, 86_400, 60, 604_800, "s", "how long a claim is kept"),
)
SERVICE_FIELDS = (
    Field(
        "slots", int, REQUIRED, 1, 1024, "", "requests that one upstream runs at once"
    ),
    Field(
        "connections",
        int,
        250,
        1,
        65_535,
        "",
        "connections one upstream accepts; not enforced",
    ),
    Field("typical_ms", float, 20.0, 0.1, 600_000, "ms", "typical time of a request"),
    Field("policy", str, "owned", None, None, "", "selection policy"),
    Field(
        "hedge_share", float, 0.05, 0.0, 0.1, "share", "hedges, of repeatable requests"
    ),
    Field(
        "retry_share", float, 0.05, 0.0, 0.1, "share", "retries, of repeatable requests"
    ),
    Field("queue_limit", int, 200, 0, 100_000, "", "requests waiting in one entry"),
    Field("eject_share", float, 0.3, 0.0, 0.5, "share", "upstreams ejected at most"),
)


def names(fields: abc.Iterable[Field]) -> tuple[str, ...]:
    """Return the names of ``fields`` in order."""
    return tuple(field.name for field in fields)
