"""
What a seed decides: which faults come when, and how long each lasts.

Pure: nothing here starts or waits for anything. A step names its fault and brings
a seed of its own, from which the fault draws what it hits; the text form of the
steps is kept of plays that failed, so that they stay the same when faults are added.
"""

import dataclasses
import random
from collections import abc

#: Steps a second: with lasting times of a few seconds, two to three faults overlap.
STEPS_PER_S = 0.6
#: Part of the steps that begin as the one before ends: series of faults.
SERIES_SHARE = 0.3
#: How long a fault lasts, in seconds: from a moment to longer than any bound of the
#: gateways' in which they must react.
LASTS_S = (0.3, 6.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """What a play is made of; its figures are checked by the command line."""

    seconds: float
    seed: int
    gateways: int = 5
    upstreams: int = 14
    rate: float = 80.0
    regions: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A fault ``at_s`` seconds after the traffic's start, for ``for_s`` seconds."""

    at_s: float
    for_s: float
    fault: str
    seed: int

    def __str__(self) -> str:
        return f"{self.at_s:.2f} {self.for_s:.2f} {self.fault} {self.seed}"


def read(text: str) -> Step:
    """Return the step that a text form stands for."""
    at_s, for_s, fault, seed = text.split()
    return Step(float(at_s), float(for_s), fault, int(seed))


def draw(settings: Settings, faults: abc.Sequence[str]) -> tuple[Step, ...]:
    """Return the steps of a seed, in order of time."""
    rng = random.Random(settings.seed)
    steps: list[Step] = []
    for _ in range(max(1, round(settings.seconds * STEPS_PER_S))):
        at_s = rng.uniform(0.0, settings.seconds)
        if steps and rng.random() < SERIES_SHARE:
            at_s = min(steps[-1].at_s + steps[-1].for_s, settings.seconds)
        for_s = rng.uniform(*LASTS_S)
        # The form that is kept has two decimals: a play from it is the same play.
        step = Step(at_s, for_s, rng.choice(faults), rng.randrange(1_000_000))
        steps.append(read(str(step)))
    return tuple(sorted(steps, key=lambda step: step.at_s))
