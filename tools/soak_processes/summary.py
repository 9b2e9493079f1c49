"""
The page of a play: its verdict, its steps and a plot of its course.

The plot is plain SVG: above what callers got in each second, below a bar for each
thing that was done from outside.
"""

import collections
import html
import math
import pathlib

from tools.soak_processes import ledger as ledgers, plan as plans, play as plays

#: Pixels: of a second, of a row, of the columns' height and of the names at the left.
SECOND, ROW, HEIGHT, LEFT = 20, 14, 120, 170
COLOURS = {"served": "#4a9", "refused": "#fc6", "failed": "#d55", "not sent": "#bbb"}


def verdict(request: ledgers.Request) -> str:
    """Return what a request came to, as one of the plot's colours."""
    if request.is_served:
        return "served"
    if request.status in ledgers.NOT_RUN:
        return "refused"
    return "not sent" if request.error.startswith("not connected") else "failed"


def plot(ledger: ledgers.Ledger) -> str:
    """Return the plot of a play."""
    seconds = max(1, math.ceil(ledger.ended_at - ledger.began_at))
    count = collections.Counter(
        (int(r.sent_at - ledger.began_at), verdict(r))
        for r in ledger.request_by_id.values()
    )
    totals = collections.Counter(dict.fromkeys(range(seconds), 0))
    for (second, _), number in count.items():
        totals[second] += number
    scale = HEIGHT / max(1, *totals.values())
    parts = []
    for second in range(seconds):
        y = float(HEIGHT)
        for name, colour in COLOURS.items():
            height = count[second, name] * scale
            y -= height
            parts.append(_bar(LEFT + second * SECOND, y, SECOND - 1, height, colour))
    shown = [t for t in ledger.troubles if t.kind != ledgers.STARVED]
    for row, trouble in enumerate(shown):
        y = HEIGHT + (row + 1) * ROW
        since = trouble.began_at - ledger.began_at
        lasted = min(trouble.ended_at, ledger.ended_at) - trouble.began_at
        colour = "#a66" if trouble.excuses else "#69c"
        x, width = LEFT + since * SECOND, max(2.0, lasted * SECOND)
        parts.append(_bar(x, y, width, ROW - 2, colour))
        name = html.escape(f"{trouble.kind} {' '.join(sorted(trouble.subjects))}"[:60])
        parts.append(f'<text x="2" y="{y + ROW - 4}" font-size="9">{name}</text>')
    width = LEFT + seconds * SECOND
    height = HEIGHT + (len(shown) + 2) * ROW
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}">'
        + "\n".join(parts)
        + "</svg>\n"
    )


def _bar(x: float, y: float, width: float, height: float, colour: str) -> str:
    return (
        f'<rect x="{x:.1f}" y="{y:.1f}" width="{width:.1f}" height="{height:.1f}" '
        f'fill="{colour}"/>'
    )


def page(settings: plans.Settings, outcome: plays.Outcome) -> str:
    """Return the text of the page."""
    ledger = outcome.ledger
    count = collections.Counter(verdict(r) for r in ledger.request_by_id.values())
    recovered = ledger.recovered_after_s
    lines = [
        f"# Soak of processes, seed {settings.seed}",
        "",
        f"{settings}",
        "",
        f"{len(outcome.violations)} violations. Requests: {dict(count)}. "
        f"Recovered after: {recovered} s. Orders: "
        f"{[(o.version, o.is_bad, o.state) for o in ledger.orders]}.",
        "",
        "![course](timeline.svg)",
        "",
        "## Violations",
        "",
        *(f"* {name}: {line}" for name, line in outcome.violations),
        "",
        "## Steps (time, lasts, fault, seed)",
        "",
        *(f"    {step}" for step in outcome.steps),
        "",
        "Left out, as another step had its subject in hand:",
        "",
        *(f"    {step}" for step in outcome.left_out),
        "",
        "## What was done (seconds from the start)",
        "",
        *(f"    {_trouble(ledger, t)}" for t in ledger.troubles),
    ]
    return "\n".join(lines) + "\n"


def _trouble(ledger: ledgers.Ledger, trouble: ledgers.Trouble) -> str:
    began_s = trouble.began_at - ledger.began_at
    ended_s = trouble.ended_at - ledger.began_at
    subjects = " ".join(sorted(trouble.subjects))
    return f"{began_s:6.2f} {ended_s:6.2f} {trouble.kind} {subjects}"


def write(
    folder: pathlib.Path, settings: plans.Settings, outcome: plays.Outcome
) -> None:
    """Write the page and its plot into a folder."""
    (folder / "timeline.svg").write_text(plot(outcome.ledger))
    (folder / "summary.md").write_text(page(settings, outcome))
