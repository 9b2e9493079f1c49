"""
Read the services of a bundle: ``[services.NAME]`` with operations and day plan.

Owns the checks within a service, and of what a service refers to: selection
policies, request classes and its own zones. The scalar fields are those of
``scalar_fields``.
"""

import re

from spindlenotch import ids
from spindlenotch.bundles import (
    account_tables,
    bundle,
    faults,
    scalar_fields,
    table_reader,
)
from spindlenotch.kernel import zone_schedule

TIME_OF_DAY = re.compile(r"([01][0-9]|2[0-3]):([0-5][0-9])")
METHODS = ("GET", "HEAD", "POST", "PUT", "DELETE", "PATCH")
#: Methods that are repeatable unless the bundle says otherwise: the safe ones
#: (RFC 9110, 9.2.1) among ``METHODS``.
REPEATABLE_METHODS = frozenset({"GET", "HEAD"})
#: Largest weight of a zone; only ratios count.
MAX_WEIGHT = 1000

Zones = tuple[ids.ZoneName, ...]


def read_services(
    top: table_reader.TableReader,
    priority_by_class: account_tables.PriorityByClass,
    policies: tuple[str, ...],
) -> dict[ids.ServiceName, bundle.Service]:
    """Read all services by name; ``policies`` are those that may be named."""
    services = {}
    for text, table in top.subtable("services").named_subtables():
        name = ids.ServiceName(text)
        services[name] = _read_service(table, name, priority_by_class, policies)
    if not services:
        top.refuse("services", "nothing", "at least one service")
    return services


def _read_service(
    table: table_reader.TableReader,
    name: ids.ServiceName,
    priority_by_class: account_tables.PriorityByClass,
    policies: tuple[str, ...],
) -> bundle.Service:
    scalar_names = scalar_fields.names(scalar_fields.SERVICE_FIELDS)
    table.refuse_unknown((*scalar_names, "zones", "operations", "day"))
    scalars = table.scalars(scalar_fields.SERVICE_FIELDS)
    if scalars["policy"] not in policies:
        table.refuse("policy", scalars["policy"], faults.one_of(policies))
    zones = _read_zones(table)
    operations = tuple(
        _read_operation(operation, priority_by_class)
        for operation in table.subtables("operations")
    )
    if not operations:
        table.refuse("operations", "nothing", "at least one operation")
    day = _read_day(table, zones)
    return bundle.Service(
        name=name, zones=zones, operations=operations, day=day, **scalars
    )


def _read_zones(service: table_reader.TableReader) -> Zones:
    names = service.strings("zones")
    for name in names:
        service.check_name(name, service.path_of("zones"))
    if len(set(names)) < len(names):
        service.refuse("zones", names, "each zone once")
    return tuple(map(ids.ZoneName, names))


def _read_operation(
    table: table_reader.TableReader, priority_by_class: account_tables.PriorityByClass
) -> bundle.Operation:
    table.refuse_unknown(("name", "methods", "prefix", "class", "repeatable"))
    methods = table.strings("methods")
    for method in methods:
        if method not in METHODS:
            table.refuse("methods", method, faults.one_of(METHODS))
    prefix = table.get("prefix", "/")
    if not (isinstance(prefix, str) and prefix.startswith("/")):
        table.refuse("prefix", prefix, "a string that begins with /")
    class_name = table.get("class")
    if class_name not in priority_by_class:
        table.refuse("class", class_name, faults.one_of(priority_by_class))
    repeatable = table.get("repeatable", set(methods) <= REPEATABLE_METHODS)
    if type(repeatable) is not bool:
        table.refuse("repeatable", repeatable, "true or false")
    name = table.get("name")
    if not isinstance(name, str):
        table.refuse("name", name, "a string")
    table.check_name(str(name), table.path_of("name"))
    return bundle.Operation(
        name=str(name),
        methods=frozenset(methods),
        prefix=str(prefix),
        class_name=ids.ClassName(str(class_name)),
        repeatable=bool(repeatable),
    )


def _read_day(
    service: table_reader.TableReader, zones: Zones
) -> tuple[zone_schedule.DayStep, ...]:
    steps = tuple(_read_step(table, zones) for table in service.subtables("day"))
    minutes = [step.minute for step in steps]
    if minutes != sorted(set(minutes)):
        service.refuse("day", "steps out of order", "times that only grow")
    return steps


def _read_step(table: table_reader.TableReader, zones: Zones) -> zone_schedule.DayStep:
    table.refuse_unknown(("at", "weights"))
    time_of_day = TIME_OF_DAY.fullmatch(str(table.get("at")))
    minute = 0
    if time_of_day is None:
        table.refuse("at", table.get("at"), "a time such as 08:30")
    else:
        minute = int(time_of_day[1]) * 60 + int(time_of_day[2])
    return zone_schedule.DayStep(
        minute, _read_weights(table.subtable("weights"), zones)
    )


def _read_weights(
    table: table_reader.TableReader, zones: Zones
) -> dict[ids.ZoneName, float]:
    weight_by_zone = dict.fromkeys(zones, 0.0)
    for name, value in table.table.items():
        if name not in zones:
            table.refuse(name, name, faults.one_of(zones))
        elif type(value) in (int, float) and 0 <= value <= MAX_WEIGHT:
            weight_by_zone[ids.ZoneName(name)] = float(value)
        else:
            table.refuse(name, value, f"a number from 0 to {MAX_WEIGHT}")
    if zones and not any(weight_by_zone.values()):
        table.faults.add(table.path, table.table, "at least one weight above 0")
    return weight_by_zone
