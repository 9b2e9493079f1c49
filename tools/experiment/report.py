"""
The page of an experiment: broken rules first, then paired differences by site.

Pure: takes results and returns Markdown.
"""

import functools
from collections import abc

import msgspec

from tools.experiment import paired, plan as plans, results

#: Prices and seconds below this share of worth are left out of the page.
LEAST_SHOWN = 0.002

Figure = abc.Callable[[results.Result], float]


class Pair(msgspec.Struct, frozen=True):
    """The same site, day and seed played by the variant that stands and another."""

    stands: results.Result
    other: results.Result


def pairs_of(
    kept: abc.Iterable[results.Result], stands: str, other: str, site: str
) -> list[Pair]:
    """Return the pairs of two variants on a site."""
    by_play = {(r.variant, r.site, r.day, r.seed): r for r in kept}
    found = []
    for (variant, at, day, seed), result in by_play.items():
        against = by_play.get((stands, at, day, seed))
        if variant == other and at == site and against is not None:
            found.append(Pair(against, result))
    return found


def page(plan: plans.Plan, kept: abc.Collection[results.Result]) -> str:
    """Return the page of an experiment."""
    stands, *others = (variant.name for variant in plan.variants)
    sites = sorted({result.site for result in kept})
    lines = [f"# {plan.why}", "", *_setting(plan), "", *_broken(kept), ""]
    for other in others:
        lines += [f"## {other} against {stands}", ""]
        lines += ["| site | figure | pairs | stands | mean difference | verdict |"]
        lines += ["|---|---|---|---|---|---|"]
        for site in sites:
            lines += _rows(site, pairs_of(kept, stands, other, site))
        lines.append("")
    return "\n".join(lines) + "\n"


def _setting(plan: plans.Plan) -> list[str]:
    size = "twins" if plan.small else "full size"
    time = "with processor time" if plan.processor else "no processor time charged"
    days = ", ".join(plan.days)
    return [
        f"Days {days}; seeds {', '.join(map(str, plan.seeds))} (0: the day's own); "
        f"{size}, {time}. Differences are shares of worth; in brackets the interval "
        f"that holds the mean with 95 in 100. Equal: within {plans.EQUAL_WITHIN}."
    ]


def _broken(kept: abc.Iterable[results.Result]) -> list[str]:
    found = [r for r in kept if not r.clean]
    if not found:
        return ["No rule was broken and no fault seen in any play."]
    return [
        f"* BROKEN {result.key}: {result.broken} {result.fault}" for result in found
    ]


def _rows(site: str, found: list[Pair]) -> list[str]:
    if not found:
        return []
    names: list[tuple[str, Figure]] = [
        ("worth", lambda r: r.worth),
        ("share of credit", lambda r: r.credit),
        ("worst windows", lambda r: r.windows),
    ]
    for kind in found[0].stands.kinds:
        names.append((kind, functools.partial(_kind, name=kind)))
    for price in found[0].stands.prices:
        names.append((f"price: {price}", functools.partial(_price, name=price)))
    rows = [_row(site, name, figure, found) for name, figure in names]
    return [row for row in rows if row]


def _kind(result: results.Result, name: str) -> float:
    return result.kinds.get(name, 0.0)


def _price(result: results.Result, name: str) -> float:
    return result.prices.get(name, 0.0)


def _row(site: str, name: str, figure: Figure, found: list[Pair]) -> str:
    differences = [figure(pair.other) - figure(pair.stands) for pair in found]
    stands = sum(figure(pair.stands) for pair in found) / len(found)
    compared = paired.compare(differences, plans.EQUAL_WITHIN)
    is_price = name.startswith("price")
    if is_price and max(abs(stands), abs(compared.mean)) < LEAST_SHOWN:
        return ""
    verdict = compared.verdict.value
    if compared.verdict is paired.Verdict.NOT_TOLD:
        verdict += f": {compared.wanted} more plays needed"
    return (
        f"| {site} | {name} | {compared.pairs} | {stands:.3f} | {compared.mean:+.4f} "
        f"[{compared.low:+.4f}, {compared.high:+.4f}] | {verdict} |"
    )
