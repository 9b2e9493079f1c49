"""
Finds out whether the upstreams of a service work slower when nearly full.

Pure. Compares how long requests took that began and ended at a nearly full
upstream with those that began and ended at one that was not, both only while
the upstream said that it worked as usual. Where filling the last slots slows
all of them so much that less gets done, they are better left empty.
"""

from spindlenotch.kernel import latency

#: Above this share of its slots in use an upstream counts as nearly full.
NEARLY_FULL = 0.75
#: An upstream that says less than this works as usual.
UNSLOWED_FACTOR = 1.3
#: Samples of each kind before anything is concluded, and so many are averaged.
LEAST_SAMPLES = 40
SAMPLES_AVERAGED = 300
#: One stray sample counts at most so many usual times.
MOST_TIMES = 3.0
#: From this ratio on the last slots stay empty. It is far below what a nearly
#: full upstream does to its work, since what is counted as nearly full was so
#: for part of the time only: 1.05 to 1.3 was measured where work takes 1.7
#: times as long, 0.85 to 1.03 where it takes as long as ever.
CROWDED = 1.08


class Crowding:
    """
    What one service's upstreams do when nearly full.

    Invariant: nothing is concluded from fewer than ``LEAST_SAMPLES`` of either
    kind.
    """

    def __init__(self) -> None:
        self.full = latency.Mean(1.0)
        self.partly = latency.Mean(1.0)
        self.full_samples = 0
        self.partly_samples = 0

    def add(
        self, slots: int, before: float, after: float, slowdown: float, times: float
    ) -> None:
        """
        Take in one answer.

        ``before`` and ``after`` are the requests in the upstream, this one
        included, as it was sent and answered; ``slowdown`` the slower of what was
        believed then; ``times`` how long it took, in usual times.
        """
        if slowdown > UNSLOWED_FACTOR or max(before, after) > slots + 0.5:
            return
        limit = NEARLY_FULL * slots
        times = min(MOST_TIMES, times)
        if before > limit and after > limit:
            self.full_samples += 1
            _average(self.full, times, self.full_samples)
        elif before <= limit and after <= limit:
            self.partly_samples += 1
            _average(self.partly, times, self.partly_samples)

    def slowdown(self) -> float:
        """Return the ratio of the two times; one where too little is known."""
        if min(self.full_samples, self.partly_samples) < LEAST_SAMPLES:
            return 1.0
        return max(1.0, self.full.value / max(1e-9, self.partly.value))

    def usable(self, slots: int) -> int:
        """Return how many of an upstream's slots are best used at once."""
        if self.slowdown() < CROWDED:
            return slots
        return max(1, int(NEARLY_FULL * slots))


def _average(mean: latency.Mean, sample: float, samples: int) -> None:
    mean.weight = 1.0 / min(samples, SAMPLES_AVERAGED)
    mean.add(sample)
