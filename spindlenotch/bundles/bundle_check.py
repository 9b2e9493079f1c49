"""
Build a ``bundle.Bundle`` from TOML text, or report every mistake at once.

Used by the operator's command line before signing and by every entry before a
bundle is put in force. This module reads the text and the top level;
``account_tables`` and ``service_tables`` read the tables below it.
"""

import tomllib
import zoneinfo

from spindlenotch import ids
from spindlenotch.bundles import (
    account_tables,
    bundle,
    faults,
    scalar_fields,
    service_tables,
    table_reader,
)

#: Longest text in bytes. The key-value service holds values of up to a megabyte, and
#: the envelope with its log needs the rest.
MAX_TEXT_BYTES = 900_000

TABLES = (
    "measuring",
    "claims",
    "classes",
    "callers",
    "services",
    "unknown_callers",
)


def check(text: str, policies: tuple[str, ...]) -> bundle.Bundle | list[faults.Fault]:
    """
    Read a bundle.

    Return the bundle, or all faults in it. ``policies`` are the names of the
    selection policies that may be asked for.
    """
    if len(text.encode()) > MAX_TEXT_BYTES:
        return [faults.Fault("", f"{len(text)} characters", f"{MAX_TEXT_BYTES} bytes")]
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return [faults.Fault("", str(error), "TOML 1.0")]
    found = faults.FaultList()
    result = _read_bundle(table_reader.TableReader(table, "", found), policies)
    return found.faults or result


def _read_bundle(
    top: table_reader.TableReader, policies: tuple[str, ...]
) -> bundle.Bundle:
    top.refuse_unknown((*scalar_fields.names(scalar_fields.TOP_FIELDS), *TABLES))
    scalars = top.scalars(scalar_fields.TOP_FIELDS)
    _check_timezone(top, scalars["timezone"])
    measuring = _read_scalar_table(top, "measuring", scalar_fields.MEASURING_FIELDS)
    claims = _read_scalar_table(top, "claims", scalar_fields.CLAIMS_FIELDS)
    priority_by_class = account_tables.read_classes(top)
    return bundle.Bundle(
        version=ids.BundleVersion(scalars["version"]),
        deployment=scalars["deployment"],
        timezone=scalars["timezone"],
        measuring_share=measuring["budget_share"],
        probe_ms=measuring["probe_ms"],
        claims_per_second=claims["per_second"],
        claim_keep_s=claims["keep_s"],
        priority_by_class=priority_by_class,
        anonymous_class=account_tables.read_anonymous_class(top, priority_by_class),
        account_by_name=account_tables.read_accounts(top, priority_by_class),
        service_by_name=service_tables.read_services(top, priority_by_class, policies),
    )


def _read_scalar_table(
    top: table_reader.TableReader, name: str, fields: tuple[scalar_fields.Field, ...]
) -> table_reader.Table:
    """Read a table that holds nothing but scalar fields."""
    table = top.subtable(name)
    table.refuse_unknown(scalar_fields.names(fields))
    return table.scalars(fields)


def _check_timezone(top: table_reader.TableReader, name: str) -> None:
    try:
        zoneinfo.ZoneInfo(name)
    except (zoneinfo.ZoneInfoNotFoundError, ValueError, OSError):
        top.refuse("timezone", name, "an IANA time zone name")
