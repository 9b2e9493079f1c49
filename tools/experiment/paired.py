"""
Tells a difference between two variants from noise.

Each pair is the same site, day and seed. The mean of the differences gets an interval
by bootstrap; where it holds both no difference and one that would count, the answer is
that it can't be told, with the number of plays that would. Pure.
"""

import enum
import math
import random
import statistics
from collections import abc

import msgspec

#: Resamples of a bootstrap: the ends of an interval then move by some hundredths of
#: its width from run to run.
RESAMPLES = 4_000
#: Share of the resampled means outside the interval, half of it at each end.
OUTSIDE_SHARE = 0.05
#: Standard errors between the mean and the end of such an interval.
ERRORS_TO_END = 1.96
#: Fewest pairs of which a bootstrap says anything.
LEAST_PAIRS = 6


class Verdict(enum.Enum):
    """How a variant compares with the one that stands."""

    BETTER = "better"
    WORSE = "worse"
    EQUAL = "equal"
    NOT_TOLD = "not told"


class Comparison(msgspec.Struct, frozen=True):
    """
    Paired differences of one figure.

    ``low`` and ``high`` end the interval of the mean; ``wanted`` is how many pairs
    more would tell a difference of the size that counts.
    """

    pairs: int
    mean: float
    low: float
    high: float
    verdict: Verdict
    wanted: int = 0


def compare(differences: abc.Sequence[float], equal_within: float) -> Comparison:
    """Compare by differences of pairs; less than ``equal_within`` counts as none."""
    count = len(differences)
    if count == 0:
        return Comparison(0, 0.0, 0.0, 0.0, Verdict.NOT_TOLD, LEAST_PAIRS)
    mean = statistics.fmean(differences)
    low, high = _interval(differences)
    verdict = _verdict(low, high, equal_within)
    if count < LEAST_PAIRS:
        verdict = Verdict.NOT_TOLD
    wanted = 0
    if verdict is Verdict.NOT_TOLD:
        wanted = max(1, pairs_needed(differences, equal_within) - count)
    return Comparison(count, mean, low, high, verdict, wanted)


def pairs_needed(differences: abc.Sequence[float], equal_within: float) -> int:
    """Return how many pairs give an interval of ``equal_within`` to each side."""
    if len(differences) < 2:
        return LEAST_PAIRS
    spread = statistics.stdev(differences)
    return max(LEAST_PAIRS, math.ceil((ERRORS_TO_END * spread / equal_within) ** 2))


def _interval(differences: abc.Sequence[float]) -> tuple[float, float]:
    """Return the ends of the interval of the mean; the same for the same input."""
    rng = random.Random(len(differences))
    count = len(differences)
    means = sorted(
        statistics.fmean(rng.choices(differences, k=count)) for _ in range(RESAMPLES)
    )
    outside = int(RESAMPLES * OUTSIDE_SHARE / 2)
    return means[outside], means[-1 - outside]


def _verdict(low: float, high: float, equal_within: float) -> Verdict:
    if -equal_within <= low and high <= equal_within:
        return Verdict.EQUAL
    if low > 0.0:
        return Verdict.BETTER
    if high < 0.0:
        return Verdict.WORSE
    return Verdict.NOT_TOLD
