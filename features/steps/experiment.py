"""Properties of the experiment tool, on made-up results with known effects."""

import pathlib
import random
import tempfile

from features.steps import kernel
from tools.experiment import paired, plan as plans, report, results

EQUAL_WITHIN = plans.EQUAL_WITHIN
#: How much the worth of two plays of one day differs by chance.
NOISE = 0.025


def differences(effect: float, noise: float, count: int, seed: int) -> list[float]:
    """Return made-up differences of pairs."""
    rng = random.Random(seed)
    return [rng.gauss(effect, noise) for _ in range(count)]


def verdicts(effect: float, noise: float, count: int) -> list[paired.Verdict]:
    """Return what is said of fifty made-up experiments."""
    return [
        paired.compare(differences(effect, noise, count, seed), EQUAL_WITHIN).verdict
        for seed in range(50)
    ]


@kernel.PROPERTIES.register("a difference that is there is told")
def told() -> None:
    found = verdicts(0.04, NOISE, 20)
    assert found.count(paired.Verdict.BETTER) >= 48, found
    found = verdicts(-0.04, NOISE, 20)
    assert found.count(paired.Verdict.WORSE) >= 48, found


@kernel.PROPERTIES.register("a difference that is not there is not told")
def not_told() -> None:
    found = verdicts(0.0, NOISE, 20)
    claimed = [v for v in found if v in (paired.Verdict.BETTER, paired.Verdict.WORSE)]
    assert len(claimed) <= 6, found


@kernel.PROPERTIES.register("two that differ by less than counts are equal")
def equal() -> None:
    found = verdicts(0.001, 0.004, 20)
    assert found.count(paired.Verdict.EQUAL) >= 48, found


@kernel.PROPERTIES.register("where noise hides it the plays needed are told")
def needed() -> None:
    compared = paired.compare(differences(0.0, NOISE, 8, 1), EQUAL_WITHIN)
    assert compared.verdict is paired.Verdict.NOT_TOLD
    assert 5 <= compared.wanted <= 60, compared
    more = paired.compare(differences(0.0, 2 * NOISE, 8, 1), EQUAL_WITHIN)
    assert more.wanted > compared.wanted


@kernel.PROPERTIES.register("few pairs tell nothing")
def few() -> None:
    for count in range(paired.LEAST_PAIRS):
        compared = paired.compare([0.5] * count, EQUAL_WITHIN)
        assert compared.verdict is paired.Verdict.NOT_TOLD
        assert compared.wanted >= 1


def result(variant: str, seed: int, worth: float, **broken: int) -> results.Result:
    """Return a made-up result."""
    return results.Result(
        key=f"{variant}--{seed}",
        variant=variant,
        site="a-site",
        day="a-day",
        seed=seed,
        worth=worth,
        credit=0.9,
        windows=0.8,
        broken=broken,
        fault="",
        prices={"hosts": 0.3, "probes": 0.0001},
        kinds={"read": 0.9},
    )


def plan(text: str) -> plans.Plan:
    """Read a plan from its text."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "plan.toml"
        path.write_text(text)
        return plans.read(path)


PLAN = """
why = "a trial"
sites = ["x/a-site.toml"]
days = ["a-day"]
seeds = [1, 2, 3]
[[variants]]
name = "old"
revision = "main"
[[variants]]
name = "new"
revision = "main"
"""


@kernel.PROPERTIES.register("a page names broken rules first and pairs by site")
def page() -> None:
    kept = [result("old", seed, 0.5) for seed in range(8)]
    kept += [result("new", seed, 0.6) for seed in range(7)]
    kept.append(result("new", 7, 0.6, TWICE=2))
    text = report.page(plan(PLAN), kept)
    assert text.index("BROKEN new--7") < text.index("| a-site | worth | 8 |")
    assert "+0.1000 [+0.1000, +0.1000] | better" in text
    assert "price: hosts" in text
    assert "price: probes" not in text


@kernel.PROPERTIES.register("a broken-off experiment goes on where it was")
def goes_on() -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "results.jsonl"
        results.Kept(path).add(result("old", 1, 0.5, TWICE=1))
        results.Kept(path).add(result("new", 1, 0.6))
        again = results.Kept(path)
    assert again.by_key == {
        "old--1": result("old", 1, 0.5, TWICE=1),
        "new--1": result("new", 1, 0.6),
    }
    assert not again.by_key["old--1"].clean


@kernel.PROPERTIES.register("mistakes in a plan are named")
def mistakes() -> None:
    wrong = {
        PLAN.replace('why = "a trial"', ""): "why",
        PLAN + "colour = 1\n": "colour",
        PLAN.replace('"new"', '"old"'): "variants",
        "at_once = 0\n" + PLAN: "at_once",
        "why = ": "plan.toml",
    }
    for text, named in wrong.items():
        try:
            plan(text)
        except plans.PlanError as error:
            assert named in str(error), error
        else:
            raise AssertionError(f"taken: {text}")


@kernel.PROPERTIES.register("every variant gets the same days and seeds, mixed up")
def same() -> None:
    made = plans.plays(plan(PLAN.replace("[1, 2, 3]", str(list(range(40))))))
    by_variant = {
        name: {(p.site, p.day, p.seed) for p in made if p.variant == name}
        for name in ("old", "new")
    }
    assert by_variant["old"] == by_variant["new"]
    firsts = [made[n].variant for n in range(0, len(made), 2)]
    assert 10 < firsts.count("old") < 30
