"""
Read who may send what: the request classes and the client accounts of a bundle.

Owns the checks of ``[classes]``, ``[unknown_callers]`` and ``[callers.NAME]``.
In the code a caller whose key and classes a bundle lists is a client account;
the tables keep their names, as signed bundles have them.
"""

import re

from spindlenotch import ids
from spindlenotch.bundles import bundle, faults, table_reader

SHA256_HEX = re.compile(r"[0-9a-f]{64}")
#: Priority (``rank`` in the table) of the class that is served last; 0 is served first.
MAX_PRIORITY = 9

PriorityByClass = dict[ids.ClassName, int]


def read_classes(top: table_reader.TableReader) -> PriorityByClass:
    """Read ``[classes]``: ``NAME = RANK`` or ``NAME = { rank = RANK }``."""
    classes = top.subtable("classes")
    priority_by_class: PriorityByClass = {}
    for name, value in classes.table.items():
        classes.check_name(name, classes.path)
        priority = value.get("rank") if isinstance(value, dict) else value
        if type(priority) is int and 0 <= priority <= MAX_PRIORITY:
            priority_by_class[ids.ClassName(name)] = priority
        else:
            allowed = f"a whole number from 0 to {MAX_PRIORITY}"
            classes.refuse(f"{name}.rank", priority, allowed)
        if isinstance(value, dict):
            classes.subtable(name).refuse_unknown(("rank",))
    if not priority_by_class:
        top.refuse("classes", "nothing", "at least one class with a rank")
        # Lets the checks of what refers to a class go on.
        priority_by_class[ids.ClassName("")] = 0
    return priority_by_class


def read_anonymous_class(
    top: table_reader.TableReader, priority_by_class: PriorityByClass
) -> ids.ClassName | None:
    """Return the class of callers that name no account; None: they are refused."""
    table = top.subtable("unknown_callers")
    table.refuse_unknown(("class",))
    name = table.get("class", "")
    if name == "":
        return None
    if name not in priority_by_class:
        table.refuse("class", name, faults.one_of(priority_by_class))
    return ids.ClassName(name)


def read_accounts(
    top: table_reader.TableReader, priority_by_class: PriorityByClass
) -> dict[ids.AccountName, bundle.ClientAccount]:
    """Read the client accounts, ``[callers.NAME]``, by name."""
    return {
        ids.AccountName(name): _read_account(
            table, ids.AccountName(name), priority_by_class
        )
        for name, table in top.subtable("callers").named_subtables()
    }


def _read_account(
    table: table_reader.TableReader,
    name: ids.AccountName,
    priority_by_class: PriorityByClass,
) -> bundle.ClientAccount:
    table.refuse_unknown(("key_sha256", "classes"))
    key = table.get("key_sha256")
    if not (isinstance(key, str) and SHA256_HEX.fullmatch(key)):
        table.refuse("key_sha256", key, "64 lower-case hex digits")
    class_names = table.strings("classes")
    for class_name in class_names:
        if class_name not in priority_by_class:
            table.refuse("classes", class_name, faults.one_of(priority_by_class))
    return bundle.ClientAccount(
        name=name,
        key_sha256=str(key),
        class_names=tuple(map(ids.ClassName, class_names)),
    )
