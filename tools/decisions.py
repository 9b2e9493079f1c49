"""
Make docs/DECISIONS.md: each rule that decides about requests, and its constants.

``tools/decision_table.py`` and the tables named like it list the rules.
Values and meanings of constants are read from the code, so that the page can't
differ from it; a name, an event or a scenario that does not exist raises
``UnknownReferenceError``.
"""

import pathlib

from spindlenotch import events
from tools import (
    constants,
    decision_rules,
    decision_table,
    docs_check,
    fleet_decision_table,
    isolation_decision_table,
    limit_decision_table,
    rollout_decision_table,
)

RULES = (
    decision_table.RULES
    + fleet_decision_table.RULES
    + isolation_decision_table.RULES
    + limit_decision_table.RULES
    + rollout_decision_table.RULES
)

HEAD = """# Decisions

Made by `make docs` from `tools/decision_table.py`, `tools/fleet_decision_table.py`
and the code; do not edit.

Why did this request go there, wait, fail, come back? Each rule stands in one
place. Functions are named as `package/module.name` below `spindlenotch/`. Values
and meanings are those of the code.
"""


class UnknownReferenceError(Exception):
    """Raised when the table names something that does not exist."""


def page() -> str:
    """Return the text of docs/DECISIONS.md."""
    parts = [HEAD, _index()]
    parts += [_section(rule) for rule in RULES]
    return "\n".join(parts)


def _index() -> str:
    lines = ["| question | function | log | test |", "|---|---|---|---|"]
    for rule in RULES:
        functions = ", ".join(f"`{name}`" for name in rule.functions)
        shown = ", ".join(_event(name) for name in rule.events) or "none"
        tests = "; ".join(_test(test) for test in rule.tests)
        lines.append(f"| {rule.question} | {functions} | {shown} | {tests} |")
    return "\n".join(lines) + "\n"


def _section(rule: decision_rules.Rule) -> str:
    for name in rule.functions:
        _check_code(name)
    lines = [
        f"## {rule.question}",
        "",
        rule.reason,
        "",
        f"Inputs: {rule.inputs}",
        "",
    ]
    if rule.constants:
        lines += ["| constant | value | meaning and unit |", "|---|---|---|"]
        lines += [_constant_row(name) for name in rule.constants]
        lines.append("")
    return "\n".join(lines)


def _constant_row(name: str) -> str:
    path, _, attribute = name.partition(".")
    module = _module(path)
    for one in constants.constants_of(module):
        if one.name == attribute:
            return f"| `{name}` | {one.value} | {_inline(one.comment)} |"
    raise UnknownReferenceError(f"constant {name}")


def _inline(comment: str) -> str:
    return comment.replace("``", "`").replace("|", "/")


def _module(path: str) -> pathlib.Path:
    for root in docs_check.CODE_ROOTS:
        module = (pathlib.Path(root) / path).with_suffix(".py")
        if module.is_file():
            return module
    raise UnknownReferenceError(f"module {path}")


def _check_code(name: str) -> None:
    path, _, attribute = name.partition(".")
    if attribute not in docs_check.defined(_module(path)):
        raise UnknownReferenceError(f"function {name}")


def _event(name: str) -> str:
    try:
        return f"E{events.Event[name].value.number}"
    except KeyError:
        raise UnknownReferenceError(f"event {name}") from None


def _test(test: decision_rules.Scenario) -> str:
    path = pathlib.Path("features") / f"{test.feature}.feature"
    if test.title not in path.read_text():
        raise UnknownReferenceError(f"scenario {test.title} in {path}")
    return f"{test.feature}: {test.title}"
