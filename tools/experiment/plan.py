"""
What an experiment plays: its settings file, checked, and the plays in their order.

Pure but for reading the file.
"""

import pathlib
import random
import tomllib

import msgspec

#: Share by which the first variant must differ to be called so, in worth.
EQUAL_WITHIN = 0.01


class PlanError(Exception):
    """Raised where a settings file can't be used; names the field."""


class Variant(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    A state of the tree.

    ``revision`` is what git knows; ``patch`` a file that is applied to it, for a
    policy that only a trial uses.
    """

    name: str
    revision: str
    patch: str | None = None


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    What is played: every variant on the same days with the same seeds.

    The first variant is the one that stands. ``seeds`` are given to each day; 0 is
    the day's own. ``at_once`` plays run side by side; a play ends after ``limit_s``
    seconds. ``small`` plays twins, ``processor`` charges processor time.
    """

    why: str
    variants: tuple[Variant, ...]
    sites: tuple[str, ...]
    days: tuple[str, ...]
    seeds: tuple[int, ...] = (0,)
    at_once: int = 2
    limit_s: float = 1_500.0
    small: bool = True
    processor: bool = False


class Play(msgspec.Struct, frozen=True):
    """One play of a variant."""

    variant: str
    site: str
    day: str
    seed: int

    @property
    def key(self) -> str:
        """Return the name under which its result is kept."""
        day = pathlib.Path(self.day).stem
        return f"{self.variant}--{pathlib.Path(self.site).stem}--{day}--{self.seed}"


def read(path: pathlib.Path) -> Plan:
    """Read a settings file; raise ``PlanError`` where it can't be used."""
    try:
        document = tomllib.loads(path.read_text())
        plan = msgspec.convert(document, type=Plan)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise PlanError(f"{path}: {error}") from error
    names = [variant.name for variant in plan.variants]
    if len(names) < 2 or len(set(names)) != len(names):
        raise PlanError(f"{path}: variants: found {names}; allowed: two or more names")
    if plan.at_once < 1:
        raise PlanError(f"{path}: at_once: found {plan.at_once}; allowed: 1 or more")
    return plan


def plays(plan: Plan) -> list[Play]:
    """Return all plays; the variants of a day and seed in an order of chance."""
    rng = random.Random(plan.why)
    made: list[Play] = []
    for seed in plan.seeds:
        for site in plan.sites:
            for day in plan.days:
                names = [variant.name for variant in plan.variants]
                rng.shuffle(names)
                made += [Play(name, site, day, seed) for name in names]
    return made
