"""
Check that what the pages name exists: files, code, commands, links, events.

Looks at code spans and links in README.md, DEVELOPERS.md, CHANGELOG.md and
docs/. A span like `gateway/source/relay.Relay.must_read` names code below
``spindlenotch/`` or ``platform/``; `features/x.feature` a file; `make test` a
target; `E401` an event. Measurements and incidents are records of their day and
may name what is gone. Prints each breach and exits with 1 where there is any.
"""

import ast
import functools
import pathlib
import re
import sys

from spindlenotch import events

PAGES = ("README.md", "DEVELOPERS.md")
#: Records of what was measured then: only their links are checked.
RECORDS = ("MEASUREMENTS.md", "CAPACITY.md")
CODE_ROOTS = ("spindlenotch", "platform/spindlenotch_platform", "platform", ".")
#: First parts of a span with a slash that name a place in this repository.
TREES = (
    *("spindlenotch", "platform", "features", "tools", "demo", "standins"),
    *("docs", "deploy", "bundles", "journal"),
    *("kernel", "decisions", "peers", "drivers", "forwarding", "entry", "gateway"),
    "cli",
)
SPAN = re.compile(r"`([^`\n]+)`")
LINK = re.compile(r"\]\(([^)#]+)(?:#[^)]*)?\)")
CODE = re.compile(r"([a-z_]+(?:/[a-z_]+)+)((?:\.[A-Za-z_]\w*)*)")
EVENT = re.compile(r"\bE[1-6]\d\d\b")
TARGET = re.compile(r"^make ((?:[a-z-]+ ?)+)")
MODULE = re.compile(r"python -m ([a-z_.]+)")


def code_exists(path: str, names: list[str]) -> bool:
    """Tell whether a module, and the names within it, exist."""
    for root in CODE_ROOTS:
        place = pathlib.Path(root) / path
        if place.is_dir() and not names:
            return True
        module = place.with_suffix(".py")
        if module.is_file():
            return not names or ".".join(names) in defined(module)
    return False


@functools.cache
def defined(module: pathlib.Path) -> frozenset[str]:
    """Return the dotted names that a module defines."""
    return frozenset(_defined(ast.parse(module.read_text()).body, ""))


def _defined(body: list[ast.stmt], prefix: str) -> list[str]:
    found = []
    for node in body:
        if isinstance(node, ast.ClassDef):
            found.append(prefix + node.name)
            found += _defined(node.body, f"{prefix}{node.name}.")
        elif isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            found.append(prefix + node.name)
        elif isinstance(node, ast.Assign):
            names = [t.id for t in node.targets if isinstance(t, ast.Name)]
            found += [prefix + name for name in names]
        elif isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
            found.append(prefix + node.target.id)
    return found


def span_breach(span: str, targets: set[str]) -> str | None:
    """Return what a code span names that does not exist, or None."""
    made = TARGET.match(span)
    if made:
        names = [name for name in made.group(1).split() if "=" not in name]
        unknown = [name for name in names if name not in targets]
        return f"no make target {unknown[0]}" if unknown else None
    started = MODULE.search(span)
    if started:
        name = started.group(1).rstrip(".")
        known = code_exists(name.replace(".", "/"), [])
        known |= name in ("spindlenotch", "standins", "behave")
        return None if known else f"no module {name}"
    path = span.split()[0].rstrip(",;")
    if path.split("/")[0] not in TREES or "/" not in path:
        return None
    if "..." in path or "…" in path or "*" in path or path.isupper():
        return None
    if pathlib.Path(path.rstrip("/")).exists():
        return None
    code = CODE.fullmatch(path)
    if code is None:
        return f"no such file: {path}"
    names = [name for name in code.group(2).split(".") if name]
    return None if code_exists(code.group(1), names) else f"no such code: {path}"


def breaches(page: pathlib.Path, targets: set[str], numbers: set[str]) -> list[str]:
    """Return the breaches of one page."""
    found = []
    text = page.read_text()
    for number, line in enumerate(text.splitlines(), 1):
        what = [
            f"no such page: {link}"
            for link in LINK.findall(line)
            if not link.startswith("http") and not (page.parent / link).exists()
        ]
        if page.name not in RECORDS:
            spans = [span_breach(span, targets) for span in SPAN.findall(line)]
            what += [breach for breach in spans if breach is not None]
            what += [
                f"no event {event}"
                for event in EVENT.findall(line)
                if event not in numbers
            ]
        found += [f"{page}:{number}: {one}" for one in what]
    return found


def main() -> int:
    """Check all pages."""
    makefile = pathlib.Path("Makefile").read_text()
    targets = set(re.findall(r"^([a-z-]+):", makefile, re.M))
    numbers = {f"E{event.value.number}" for event in events.Event}
    pages = [pathlib.Path(name) for name in PAGES]
    pages += sorted(pathlib.Path("docs").glob("*.md"))
    found = [line for page in pages for line in breaches(page, targets, numbers)]
    print("\n".join(found) or f"what {len(pages)} pages name exists")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
