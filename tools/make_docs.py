"""
Make the pages that come from the code: events, settings, the bundle's fields.

A feature compares them with what is committed.
"""

import pathlib
from collections import abc

from spindlenotch import events
from spindlenotch.bundles import scalar_fields
from spindlenotch.entry import settings
from spindlenotch.gateway import settings as gateway_settings

DOCS = pathlib.Path(__file__).parents[1] / "docs"
BEGIN = "<!-- made from the code: begin -->"
END = "<!-- made from the code: end -->"


def fields(title: str, rows: abc.Iterable[scalar_fields.Field]) -> str:
    """Return a table of bundle fields."""
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
    """Return all scalar fields of a bundle."""
    parts = (
        fields("Top level", scalar_fields.TOP_FIELDS),
        fields("`[measuring]`", scalar_fields.MEASURING_FIELDS),
        fields("`[claims]`", scalar_fields.CLAIMS_FIELDS),
        fields("`[services.NAME]`", scalar_fields.SERVICE_FIELDS),
    )
    return "\n".join(parts)


def pages() -> dict[str, str]:
    """Return the whole text of every page with a part made from the code."""
    return {
        "EVENTS.md": events.catalogue(),
        "OPERATIONS.md": _filled(
            "OPERATIONS.md", settings.reference(settings.SETTINGS)
        ),
        "GATEWAY.md": _filled(
            "GATEWAY.md", settings.reference(gateway_settings.SETTINGS)
        ),
        "BUNDLE.md": _filled("BUNDLE.md", bundle_reference()),
    }


def _filled(name: str, made: str) -> str:
    text = (DOCS / name).read_text()
    head, _, rest = text.partition(BEGIN)
    _, _, tail = rest.partition(END)
    return f"{head}{BEGIN}\n{made}{END}{tail}"


def main() -> None:
    """Write the pages."""
    for name, text in pages().items():
        (DOCS / name).write_text(text)
        print(f"wrote docs/{name}")


if __name__ == "__main__":
    main()
