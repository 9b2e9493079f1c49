"""
Build a ``bundle.Bundle`` from TOML text, or report every mistake at once.

Used by the operator's command line before signing and by every entry before a
bundle is put in force. Each mistake names the field's path, what was found
and what is allowed. The field tables below are also the source of the
reference in ``docs/BUNDLE.md``.
"""

import dataclasses
import re
import tomllib
import typing
import zoneinfo
from collections import abc

from spindlenotch import ids
from spindlenotch.bundles import bundle
from spindlenotch.kernel import schedule

#: The store holds values of up to a megabyte; the envelope needs some of it.
MAX_TEXT_BYTES = 900_000
NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,62})")
CLOCK = re.compile(r"([01][0-9]|2[0-3]):([0-5][0-9])")
HEX_64 = re.compile(r"[0-9a-f]{64}")
METHODS = ("GET", "HEAD", "POST", "PUT", "DELETE", "PATCH")
REPEATABLE_METHODS = frozenset({"GET", "HEAD"})
REQUIRED = object()

Table = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Mistake:
    """One fault in a bundle: where, what was found, what is allowed."""

    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.path}: found {self.found}; allowed: {self.allowed}"


@dataclasses.dataclass(frozen=True, slots=True)
class Field:
    """A scalar field: its type, bounds (inclusive), default, unit, meaning."""

    name: str
    kind: type
    default: object
    low: float | None
    high: float | None
    unit: str
    meaning: str


TOP_FIELDS = (
    Field("format", int, REQUIRED, 1, 1, "", "format of this file"),
    Field("version", int, REQUIRED, 1, 2**53, "", "one more than the one in force"),
    Field("deployment", str, REQUIRED, None, None, "", "name of the deployment"),
    Field("timezone", str, "UTC", None, None, "", "zone of the day's schedule"),
)
MEASURING_FIELDS = (
    Field(
        "budget_share", float, 0.01, 0.0, 0.2, "share", "of slots x time, all probes"
    ),
    Field("probe_ms", float, 6.0, 0.1, 1000, "ms", "slot time that one probe takes"),
)
CLAIMS_FIELDS = (
    Field("per_second", float, 100.0, 0.0, 500, "1/s", "claims written, whole fleet"),
    Field("keep_s", int, 86_400, 60, 604_800, "s", "how long a claim is kept"),
)
SERVICE_FIELDS = (
    Field("slots", int, REQUIRED, 1, 1024, "", "requests one upstream runs at once"),
    Field("connections", int, 250, 1, 65_535, "", "connections one upstream bears"),
    Field("typical_ms", float, 20.0, 0.1, 600_000, "ms", "usual time of a request"),
    Field("policy", str, "owned", None, None, "", "selection policy"),
    Field(
        "hedge_share", float, 0.05, 0.0, 0.1, "share", "second copies of repeatables"
    ),
    Field("retry_share", float, 0.05, 0.0, 0.1, "share", "retries of repeatables"),
    Field("queue_limit", int, 200, 0, 100_000, "", "requests waiting in one entry"),
    Field("eject_share", float, 0.3, 0.0, 0.5, "share", "upstreams ejected at most"),
)


@dataclasses.dataclass(slots=True)
class Checker:
    """Collects mistakes while the parts of the bundle are read."""

    policies: tuple[str, ...]
    mistakes: list[Mistake] = dataclasses.field(default_factory=list)

    def fault(self, path: str, found: object, allowed: str) -> None:
        """Note one mistake."""
        self.mistakes.append(Mistake(path, repr(found)[:80], allowed))

    def table(self, parent: Table, name: str, path: str) -> Table:
        """Return the sub-table ``name``; an absent one is empty."""
        value = parent.get(name, {})
        if isinstance(value, dict):
            return value
        self.fault(path, value, "a table")
        return {}

    def tables(self, parent: Table, name: str, path: str) -> list[Table]:
        """Return the array of tables ``name``; an absent one is empty."""
        value = parent.get(name, [])
        if isinstance(value, list) and all(isinstance(v, dict) for v in value):
            return value
        self.fault(path, value, "an array of tables")
        return []

    def strings(self, parent: Table, name: str, path: str) -> list[str]:
        """Return a non-empty array of strings."""
        value = parent.get(name)
        if isinstance(value, list) and value and all(type(v) is str for v in value):
            return value
        self.fault(path, value, "a non-empty array of strings")
        return []

    def only(self, table: Table, path: str, known: abc.Collection[str]) -> None:
        """Report the fields that nobody knows."""
        for name in sorted(set(table) - set(known)):
            allowed = "one of " + ", ".join(sorted(known))
            self.fault(_join(path, name), "an unknown field", allowed)

    def scalars(
        self, table: Table, path: str, fields: abc.Iterable[Field]
    ) -> dict[str, typing.Any]:
        """Read all scalar ``fields`` of ``table``."""
        return {f.name: self._scalar(table, path, f) for f in fields}

    def _scalar(self, table: Table, path: str, field: Field) -> object:
        value = table.get(field.name, field.default)
        where = _join(path, field.name)
        allowed = _allowed(field)
        if value is REQUIRED:
            self.fault(where, "nothing", allowed)
            return field.kind()
        if field.kind is float and type(value) is int:
            value = float(value)
        if type(value) is not field.kind or not _within(value, field):
            self.fault(where, value, allowed)
            return field.kind()
        return value

    def name(self, value: str, path: str) -> str:
        """Check a name that ends up in paths, metrics and logs."""
        if not NAME.fullmatch(value):
            self.fault(path, value, "a-z, 0-9 and inner hyphens, at most 63")
        return value


def check(text: str, policies: tuple[str, ...]) -> bundle.Bundle | list[Mistake]:
    """
    Read a bundle.

    Return the bundle, or all mistakes in it. ``policies`` are the names of
    the selection policies that may be asked for.
    """
    if len(text.encode()) > MAX_TEXT_BYTES:
        return [Mistake("", f"{len(text)} characters", f"{MAX_TEXT_BYTES} bytes")]
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return [Mistake("", str(error), "TOML 1.0")]
    checker = Checker(policies)
    result = _read_bundle(checker, raw)
    return checker.mistakes or result


def _read_bundle(checker: Checker, raw: Table) -> bundle.Bundle:
    sections = ("measuring", "claims", "classes", "callers", "services")
    names = [f.name for f in TOP_FIELDS]
    checker.only(raw, "", (*names, *sections, "unknown_callers"))
    top = checker.scalars(raw, "", TOP_FIELDS)
    _check_timezone(checker, top["timezone"])
    measuring_table = checker.table(raw, "measuring", "measuring")
    checker.only(measuring_table, "measuring", [f.name for f in MEASURING_FIELDS])
    measuring = checker.scalars(measuring_table, "measuring", MEASURING_FIELDS)
    claims_table = checker.table(raw, "claims", "claims")
    checker.only(claims_table, "claims", [f.name for f in CLAIMS_FIELDS])
    claims = checker.scalars(claims_table, "claims", CLAIMS_FIELDS)
    rank_by_class = _read_classes(checker, raw)
    return bundle.Bundle(
        version=ids.BundleVersion(top["version"]),
        deployment=top["deployment"],
        timezone=top["timezone"],
        measuring_share=measuring["budget_share"],
        probe_ms=measuring["probe_ms"],
        claims_per_second=claims["per_second"],
        claim_keep_s=claims["keep_s"],
        rank_by_class=rank_by_class,
        unknown_class=_read_unknown(checker, raw, rank_by_class),
        caller_by_name=_read_callers(checker, raw, rank_by_class),
        service_by_name=_read_services(checker, raw, rank_by_class),
    )


def _check_timezone(checker: Checker, name: str) -> None:
    try:
        zoneinfo.ZoneInfo(name)
    except (zoneinfo.ZoneInfoNotFoundError, ValueError, OSError):
        checker.fault("timezone", name, "an IANA time zone name")


def _read_classes(checker: Checker, raw: Table) -> dict[ids.ClassName, int]:
    rank_by_class: dict[ids.ClassName, int] = {}
    for name, table in checker.table(raw, "classes", "classes").items():
        path = f"classes.{checker.name(name, 'classes')}"
        rank = table.get("rank") if isinstance(table, dict) else table
        if type(rank) is int and 0 <= rank <= 9:
            rank_by_class[ids.ClassName(name)] = rank
        else:
            checker.fault(f"{path}.rank", rank, "a whole number from 0 to 9")
        if isinstance(table, dict):
            checker.only(table, path, ("rank",))
    if not rank_by_class:
        checker.fault("classes", "nothing", "at least one class with a rank")
        rank_by_class[ids.ClassName("")] = 0
    return rank_by_class


def _read_unknown(
    checker: Checker, raw: Table, ranks: dict[ids.ClassName, int]
) -> ids.ClassName | None:
    table = checker.table(raw, "unknown_callers", "unknown_callers")
    checker.only(table, "unknown_callers", ("class",))
    value = table.get("class", "")
    if value == "":
        return None
    if value not in ranks:
        checker.fault("unknown_callers.class", value, _one_of(ranks))
    return ids.ClassName(value)


def _read_callers(
    checker: Checker, raw: Table, ranks: dict[ids.ClassName, int]
) -> dict[ids.CallerName, bundle.CallerGrant]:
    grants = {}
    for name, table in checker.table(raw, "callers", "callers").items():
        path = f"callers.{checker.name(name, 'callers')}"
        if not isinstance(table, dict):
            checker.fault(path, table, "a table")
            continue
        checker.only(table, path, ("key_sha256", "classes"))
        key = table.get("key_sha256")
        if not (isinstance(key, str) and HEX_64.fullmatch(key)):
            checker.fault(f"{path}.key_sha256", key, "64 lower-case hex digits")
        classes = checker.strings(table, "classes", f"{path}.classes")
        for class_name in classes:
            if class_name not in ranks:
                checker.fault(f"{path}.classes", class_name, _one_of(ranks))
        grants[ids.CallerName(name)] = bundle.CallerGrant(
            ids.CallerName(name), str(key), tuple(map(ids.ClassName, classes))
        )
    return grants


def _read_services(
    checker: Checker, raw: Table, ranks: dict[ids.ClassName, int]
) -> dict[ids.ServiceName, bundle.Service]:
    services = {}
    for name, table in checker.table(raw, "services", "services").items():
        path = f"services.{checker.name(name, 'services')}"
        if not isinstance(table, dict):
            checker.fault(path, table, "a table")
            continue
        services[ids.ServiceName(name)] = _read_service(
            checker, table, path, ids.ServiceName(name), ranks
        )
    if not services:
        checker.fault("services", "nothing", "at least one service")
    return services


def _read_service(
    checker: Checker,
    table: Table,
    path: str,
    name: ids.ServiceName,
    ranks: dict[ids.ClassName, int],
) -> bundle.Service:
    known = [f.name for f in SERVICE_FIELDS]
    checker.only(table, path, (*known, "zones", "operations", "day"))
    values = checker.scalars(table, path, SERVICE_FIELDS)
    if values["policy"] not in checker.policies:
        checker.fault(f"{path}.policy", values["policy"], _one_of(checker.policies))
    zones = tuple(
        ids.ZoneName(checker.name(z, f"{path}.zones"))
        for z in checker.strings(table, "zones", f"{path}.zones")
    )
    if len(set(zones)) < len(zones):
        checker.fault(f"{path}.zones", list(zones), "each zone once")
    operations = [
        _read_operation(checker, t, f"{path}.operations[{i}]", ranks)
        for i, t in enumerate(checker.tables(table, "operations", f"{path}.operations"))
    ]
    if not operations:
        checker.fault(f"{path}.operations", "nothing", "at least one operation")
    day = _read_day(checker, table, path, zones)
    return bundle.Service(
        name=name, zones=zones, operations=tuple(operations), day=day, **values
    )


def _read_operation(
    checker: Checker, table: Table, path: str, ranks: dict[ids.ClassName, int]
) -> bundle.Operation:
    checker.only(table, path, ("name", "methods", "prefix", "class", "repeatable"))
    methods = checker.strings(table, "methods", f"{path}.methods")
    for method in methods:
        if method not in METHODS:
            checker.fault(f"{path}.methods", method, _one_of(METHODS))
    prefix = table.get("prefix", "/")
    if not (isinstance(prefix, str) and prefix.startswith("/")):
        checker.fault(f"{path}.prefix", prefix, "a string that begins with /")
    class_name = table.get("class")
    if class_name not in ranks:
        checker.fault(f"{path}.class", class_name, _one_of(ranks))
    repeatable = table.get("repeatable", set(methods) <= REPEATABLE_METHODS)
    if type(repeatable) is not bool:
        checker.fault(f"{path}.repeatable", repeatable, "true or false")
    name = table.get("name")
    if not isinstance(name, str):
        checker.fault(f"{path}.name", name, "a string")
    return bundle.Operation(
        checker.name(str(name), f"{path}.name"),
        frozenset(methods),
        str(prefix),
        ids.ClassName(str(class_name)),
        bool(repeatable),
    )


def _read_day(
    checker: Checker, service: Table, path: str, zones: tuple[ids.ZoneName, ...]
) -> tuple[schedule.DayStep, ...]:
    steps = []
    for i, table in enumerate(checker.tables(service, "day", f"{path}.day")):
        where = f"{path}.day[{i}]"
        checker.only(table, where, ("at", "weights"))
        clock = CLOCK.fullmatch(str(table.get("at")))
        if clock is None:
            checker.fault(f"{where}.at", table.get("at"), "a time such as 08:30")
        minute = int(clock[1]) * 60 + int(clock[2]) if clock else 0
        weights = checker.table(table, "weights", f"{where}.weights")
        steps.append(
            schedule.DayStep(minute, _read_weights(checker, weights, where, zones))
        )
    minutes = [s.minute for s in steps]
    if minutes != sorted(set(minutes)):
        checker.fault(f"{path}.day", "steps out of order", "times that only grow")
    return tuple(steps)


def _read_weights(
    checker: Checker, table: Table, where: str, zones: tuple[ids.ZoneName, ...]
) -> dict[ids.ZoneName, float]:
    weights = dict.fromkeys(zones, 0.0)
    for name, value in table.items():
        path = f"{where}.weights.{name}"
        if name not in zones:
            checker.fault(path, name, _one_of(zones))
        elif type(value) in (int, float) and 0 <= value <= 1000:
            weights[ids.ZoneName(name)] = float(value)
        else:
            checker.fault(path, value, "a number from 0 to 1000")
    if zones and not any(weights.values()):
        checker.fault(f"{where}.weights", table, "at least one weight above 0")
    return weights


def _within(value: typing.Any, field: Field) -> bool:
    if field.low is None or field.high is None:
        return bool(value)
    return bool(field.low <= value <= field.high)


def _allowed(field: Field) -> str:
    if field.kind is str:
        return "a non-empty string"
    kind = "a whole number" if field.kind is int else "a number"
    unit = f" ({field.unit})" if field.unit else ""
    return f"{kind} from {field.low} to {field.high}{unit}"


def _one_of(names: abc.Iterable[str]) -> str:
    return "one of " + ", ".join(sorted(names))


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name
