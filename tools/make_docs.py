"""
Generate the pages, or parts of pages, whose content is in the code.

These are the events, the settings of both daemons and the bundle's fields. Run
by ``make docs``; a feature compares the result with what is committed.
"""

import pathlib
from collections import abc

from spindlenotch import events
from spindlenotch.bundles import bundle_check
from spindlenotch.entry import settings
from spindlenotch.gateway import settings as gateway_settings
from spindlenotch.settings import schema

#: The folder of the pages.
DOCS = pathlib.Path(__file__).parents[1] / "docs"
#: Between these lines a page is generated; the rest is written by hand.
BEGIN = "<!-- made from the code: begin -->"
END = "<!-- made from the code: end -->"


def bundle_fields(title: str, rows: abc.Iterable[bundle_check.Field]) -> str:
    """Return a section with a table of bundle fields."""
    lines = [
        f"### {title}",
        "",
        "| field | type | default | from | to | unit | meaning |",
        "|---|---|---|---|---|---|---|",
    ]
    for f in rows:
        default = "required" if f.default is bundle_check.REQUIRED else f.default
        low = "" if f.low is None else f"{f.low:g}"
        high = "" if f.high is None else f"{f.high:g}"
        lines.append(
            f"| `{f.name}` | {f.kind.__name__} | {default} | {low} | {high}"
            f" | {f.unit} | {f.meaning} |"
        )
    return "\n".join(lines) + "\n"


def bundle_reference() -> str:
    """Return the sections on all scalar fields of a bundle."""
    parts = (
        bundle_fields("Top level", bundle_check.TOP_FIELDS),
        bundle_fields("`[measuring]`", bundle_check.MEASURING_FIELDS),
        bundle_fields("`[claims]`", bundle_check.CLAIMS_FIELDS),
        bundle_fields("`[services.NAME]`", bundle_check.SERVICE_FIELDS),
    )
    return "\n".join(parts)


def pages() -> dict[str, str]:
    """Return the whole text of every page with a generated part, by file name."""
    return {
        "EVENTS.md": events.catalogue(),
        "OPERATIONS.md": _with_generated(
            "OPERATIONS.md", schema.reference(settings.SETTINGS)
        ),
        "GATEWAY.md": _with_generated(
            "GATEWAY.md", schema.reference(gateway_settings.SETTINGS)
        ),
        "BUNDLE.md": _with_generated("BUNDLE.md", bundle_reference()),
    }


def _with_generated(name: str, generated: str) -> str:
    """Return the page ``name`` with its generated part replaced."""
    text = (DOCS / name).read_text()
    head, _, rest = text.partition(BEGIN)
    _, _, tail = rest.partition(END)
    return f"{head}{BEGIN}\n{generated}{END}{tail}"


def main() -> None:
    """Write the pages."""
    for name, text in pages().items():
        (DOCS / name).write_text(text)
        print(f"wrote docs/{name}")


if __name__ == "__main__":
    main()
