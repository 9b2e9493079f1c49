"""
A sequential test whether a version fails more often than the others: CUSUM.

Sums the log-likelihood ratio of "the version is bad" to "it is as good as the others",
and restarts at zero whenever the sum favours the version. Performs no I/O and reads no
clock.
"""

import math

import msgspec

from spindlenotch import ids

#: Log-likelihood ratio of a finding: a ratio of 20,000. By Wald's inequality one test
#: of a good version exceeds it with a probability below 1 in 20,000 for each restart,
#: if the others' rate is known.
THRESHOLD = 9.9
#: The same without the worst upstreams of the target, a ratio of 20: lower, as less
#: evidence is left.
THRESHOLD_WITHOUT_WORST = 3.0
#: The same for one upstream, a ratio of 20, from which other upstreams of the target
#: are tried in its place.
UPSTREAM_THRESHOLD = 3.0
#: Share of the target's upstreams that may be bad individually, rounded up.
WORST_SHARE = 0.34
#: Least number of them: two of those that are tried first may be bad by chance.
MIN_WORST = 2
#: Upper bound of that least number, as a share of the target's upstreams, for targets
#: with few.
MIN_WORST_SHARE = 0.5
#: Highest rate that counts as a good version's, so that logarithms stay finite.
MAX_RATE = 0.9


class Tally(msgspec.Struct, frozen=True):
    """Numbers of examined calls, and of bad ones among them."""

    calls: int
    bad: int


class Test:
    """
    One CUSUM test; ``likelihood``, a log-likelihood ratio, is never below zero.

    Invariant: it is the sum over the upstreams since the last restart.
    ``target_upstreams`` is the number of upstreams of the target.
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
        """Add calls of an upstream of the target; ``rate`` is the others'."""
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
        """Return the number of upstreams of the target that had calls."""
        return len(self._likelihood_by_upstream)

    def without_worst(self) -> float:
        """Return the likelihood without that of the worst upstreams."""
        remaining = sorted(self._likelihood_by_upstream.values())
        min_worst = min(MIN_WORST, int(MIN_WORST_SHARE * self.target_upstreams))
        worst_count = max(math.ceil(WORST_SHARE * len(remaining)), min_worst)
        worst_count = min(worst_count, self.target_upstreams - 1, len(remaining))
        return sum(remaining[: len(remaining) - worst_count])

    def suspicion(self) -> float:
        """Return how close the test is to a finding, 1 if it is one."""
        if self.likelihood <= 0.0:
            return 0.0
        overall = self.likelihood / THRESHOLD
        return max(0.0, min(overall, self.without_worst() / THRESHOLD_WITHOUT_WORST))

    def bad_upstreams(self) -> list[ids.UpstreamId]:
        """Return the upstreams with enough evidence against them individually."""
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
