"""
Check that each numeric constant of the product has a comment with its meaning and unit.

A constant is an upper-case name bound to a number, or to arithmetic on numbers,
in a module or class of spindlenotch/ or platform/. It has a ``#:``
comment right above it; constants that follow each other without a blank line may
share one. Prints each breach and exits with 1 where there is any.
"""

import ast
import dataclasses
import pathlib
import re
import sys
from collections import abc

ROOTS = ("spindlenotch", "platform")
NAME = re.compile(r"_?[A-Z][A-Z0-9_]*")


@dataclasses.dataclass(frozen=True)
class Constant:
    """One constant: its dotted name within the module, its source and comment."""

    module: pathlib.Path
    line: int
    name: str
    value: str
    comment: str


def constants_of(module: pathlib.Path) -> list[Constant]:
    """Return the numeric constants that a module binds."""
    lines = module.read_text().splitlines()
    return list(_constants(module, lines, ast.parse("\n".join(lines)).body, ""))


def _constants(
    module: pathlib.Path, lines: list[str], body: list[ast.stmt], prefix: str
) -> abc.Iterator[Constant]:
    for node in body:
        if isinstance(node, ast.ClassDef) and not _is_enum(node):
            yield from _constants(module, lines, node.body, f"{prefix}{node.name}.")
        if isinstance(node, ast.Assign):
            targets: list[ast.expr] = node.targets
        elif isinstance(node, ast.AnnAssign) and node.value is not None:
            targets = [node.target]
        else:
            continue
        assert node.value is not None
        for target in targets:
            if not isinstance(target, ast.Name) or not NAME.fullmatch(target.id):
                continue
            if not _is_number(node.value):
                continue
            yield Constant(
                module,
                node.lineno,
                prefix + target.id,
                ast.unparse(node.value),
                comment_above(lines, node.lineno - 1),
            )


def comment_above(lines: list[str], index: int) -> str:
    """Return the ``#:`` comment above a line, past assignments that share it."""
    above = index - 1
    while above >= 0 and NAME.match(lines[above].strip()):
        above -= 1
    found: list[str] = []
    while above >= 0 and lines[above].strip().startswith("#:"):
        found.insert(0, lines[above].strip().removeprefix("#:").strip())
        above -= 1
    return " ".join(found)


def _is_enum(node: ast.ClassDef) -> bool:
    return any("Enum" in ast.unparse(base) for base in node.bases)


def _is_number(value: ast.expr) -> bool:
    if isinstance(value, ast.Constant):
        return type(value.value) in (int, float)
    if isinstance(value, ast.UnaryOp):
        return _is_number(value.operand)
    if isinstance(value, ast.BinOp):
        return _is_number(value.left) and _is_number(value.right)
    if isinstance(value, ast.Tuple):
        return bool(value.elts) and all(_is_number(item) for item in value.elts)
    return False


def main() -> int:
    """Check all modules of the product."""
    modules = [p for root in ROOTS for p in sorted(pathlib.Path(root).rglob("*.py"))]
    constants = [constant for module in modules for constant in constants_of(module)]
    found = [
        f"{one.module}:{one.line}: {one.name} = {one.value} has no comment"
        for one in constants
        if not one.comment
    ]
    print("\n".join(found) or f"{len(constants)} numeric constants have a comment")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
