"""
A sequential test whether a version fails more often than others do: CUSUM.

It adds up the logarithm of how much likelier what was seen is if the version is bad
than if it is as good as the others, and begins anew whenever that speaks for it. Pure.
"""

import math

import msgspec

from spindlenotch import ids

#: Logarithm of how much likelier "bad" has to be: 20,000 times. By Wald's inequality
#: one test of a good version passes it with a probability below 1 in 20,000 for each
#: time it begins anew, if the others' rate is known.
THRESHOLD = 9.9
#: The same without the worst upstreams of the target, 20 times: weaker, as less
#: evidence is left.
THRESHOLD_WITHOUT_WORST = 3.0
#: The same for one upstream, 20 times, from which others of the target are tried in its
#: place.
UPSTREAM_THRESHOLD = 3.0
#: Share of the upstreams of the target that may be bad by themselves, rounded up.
WORST_SHARE = 0.34
#: The least number of them, and their share of all upstreams of the target where there
#: are few: two of those that are tried first may be bad by chance.
MIN_WORST = 2
MIN_WORST_SHARE = 0.5
#: The highest rate that counts as a good version's, so that logarithms stay finite.
MAX_RATE = 0.9


class Tally(msgspec.Struct, frozen=True):
    """Calls that were looked at, and bad ones of them."""

    calls: int
    bad: int


class Test:
    """
    One CUSUM test; ``likelihood`` is never below zero.

    Invariant: it is the sum over the upstreams since the test began anew.
    ``target_upstreams`` is how many upstreams the target has.
    """

    def __init__(self) -> None:
        self.target_upstreams = 1
        self.likelihood = 0.0
        self.calls = 0
        self.bad = 0
        self._likelihood_by_upstream: dict[ids.UpstreamId, float] = {}

    def add(
        self, upstream_id: ids.UpstreamId, tally: Tally, rate: float, effect: float
    ) -> None:
        """Take in calls of an upstream of the target; ``rate`` is the others'."""
        good_rate = min(MAX_RATE, rate)
        bad_rate = min((1.0 + MAX_RATE) / 2, good_rate + effect)
        added = tally.bad * math.log(bad_rate / good_rate)
        added += (tally.calls - tally.bad) * math.log((1 - bad_rate) / (1 - good_rate))
        self.likelihood += added
        self.calls += tally.calls
        self.bad += tally.bad
        known = self._likelihood_by_upstream.get(upstream_id, 0.0)
        self._likelihood_by_upstream[upstream_id] = known + added
        if self.likelihood <= 0.0:
            self._restart()

    @property
    def upstreams(self) -> int:
        """Return how many upstreams of the target had calls."""
        return len(self._likelihood_by_upstream)

    def without_worst(self) -> float:
        """Return the likelihood without the upstreams that speak most against it."""
        remaining = sorted(self._likelihood_by_upstream.values())
        min_worst = min(MIN_WORST, int(MIN_WORST_SHARE * self.target_upstreams))
        worst_count = max(math.ceil(WORST_SHARE * len(remaining)), min_worst)
        worst_count = min(worst_count, self.target_upstreams - 1, len(remaining))
        return sum(remaining[: len(remaining) - worst_count])

    def suspicion(self) -> float:
        """Return how near it is to a finding, 1 where it is one."""
        if self.likelihood <= 0.0:
            return 0.0
        overall = self.likelihood / THRESHOLD
        return max(0.0, min(overall, self.without_worst() / THRESHOLD_WITHOUT_WORST))

    def bad_upstreams(self) -> list[ids.UpstreamId]:
        """Return the upstreams that speak against the target by themselves."""
        return [
            upstream_id
            for upstream_id, likelihood in self._likelihood_by_upstream.items()
            if likelihood >= UPSTREAM_THRESHOLD
        ]

    def _restart(self) -> None:
        self.likelihood = 0.0
        self.calls = 0
        self.bad = 0
        self._likelihood_by_upstream.clear()
