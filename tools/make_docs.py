"""
Generate the pages, or parts of pages, whose content is in the code.

These are the events, the settings of both daemons and the bundle's fields. Run
by ``make docs``; a feature compares the result with what is committed.
"""

import pathlib
from collections import abc

from spindlenotch import events
from spindlenotch.bundles import scalar_fields
from spindlenotch.entry import settings
from spindlenotch.gateway import settings as gateway_settings
from spindlenotch.settings import schema
from tools import decisions

#: The folder of the pages.
DOCS = pathlib.Path(__file__).parents[1] / "docs"
BEGIN = "<!-- made from the code: {} -->"
END = "<!-- made from the code: end of {} -->"


def bundle_fields(title: str, rows: abc.Iterable[scalar_fields.Field]) -> str:
    """Return a section with a table of bundle fields."""
    lines = [
        f"### {title}",
        "",
        "| field | type | default | from | to | unit | meaning |",
        "|---|---|---|---|---|---|---|",
    ]
    for f in rows:
        default = "required" if f.default is scalar_fields.REQUIRED else f.default
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
        bundle_fields("Top level", scalar_fields.TOP_FIELDS),
        bundle_fields("`[measuring]`", scalar_fields.MEASURING_FIELDS),
        bundle_fields("`[claims]`", scalar_fields.CLAIMS_FIELDS),
        bundle_fields("`[services.NAME]`", scalar_fields.SERVICE_FIELDS),
    )
    return "\n".join(parts)


def pages() -> dict[str, str]:
    """Return the whole text of every page with a generated part, by file name."""
    return {
        "DECISIONS.md": decisions.page(),
        "EVENTS.md": events.catalogue(),
        "OPERATIONS.md": _filled(
            "OPERATIONS.md",
            {
                "gateway settings": schema.reference(gateway_settings.SETTINGS),
                "entry settings": schema.reference(settings.SETTINGS),
            },
        ),
        "BUNDLE.md": _filled("BUNDLE.md", {"fields": bundle_reference()}),
    }


def _filled(name: str, made_by_title: dict[str, str]) -> str:
    text = (DOCS / name).read_text()
    for title, made in made_by_title.items():
        head, begin, rest = text.partition(BEGIN.format(title))
        _, end, tail = rest.partition(END.format(title))
        if not end:
            raise ValueError(f"docs/{name}: no place for {title}")
        text = f"{head}{begin}\n{made}{end}{tail}"
    return text


def main() -> None:
    """Write the pages."""
    for name, text in pages().items():
        (DOCS / name).write_text(text)
        print(f"wrote docs/{name}")


if __name__ == "__main__":
    main()
