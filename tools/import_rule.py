"""
Check the import rule: modules are imported, not names.

Every ``from X import Y`` in the tree must name a module Y. Prints each breach
and exits with 1 where there is one.
"""

import ast
import importlib.util
import pathlib
import sys

ROOTS = (
    "spindlenotch",
    "standins",
    "demo",
    "features",
    "tools",
    "platform",
)


def is_module(package: str, name: str) -> bool:
    """Tell whether ``package.name`` can be imported as a module."""
    try:
        return importlib.util.find_spec(f"{package}.{name}") is not None
    except ModuleNotFoundError:
        return False


def breaches(path: pathlib.Path) -> list[str]:
    """Return the breaches in one file."""
    found = []
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or node.module == "__future__":
            continue
        for alias in node.names:
            package = node.module or ""
            if alias.name == "__version__" or is_module(package, alias.name):
                continue
            found.append(f"{path}:{node.lineno}: {package}.{alias.name} is a name")
    return found


def main() -> int:
    """Check the whole tree."""
    sys.path[:0] = [".", "platform"]
    paths = [p for root in ROOTS for p in sorted(pathlib.Path(root).rglob("*.py"))]
    found = [line for path in paths for line in breaches(path)]
    print("\n".join(found) or f"import rule holds in {len(paths)} files")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
