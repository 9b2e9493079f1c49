"""
Learns whether the upstreams of a service are slower when nearly full.

Performs no I/O and reads no clock. Compares the latency of requests that began and
ended at a nearly full upstream with that of requests that began and ended at a less
loaded one, both only while the upstream reported no slowdown. Where using the last
slots slows all requests down so much that throughput drops, they are better left empty.

When a service is saturated, all its upstreams are full and there is nothing to
compare with: until there are enough samples, the last slots of every other upstream
stay empty.
"""

from spindlenotch.kernel import latency

#: Share of its slots in use above which an upstream counts as nearly full. This is
#: where slots stop being used, unlike the share from which ``least_latency`` expects a
#: slowdown (``SLOWER_FROM_SHARE``).
NEARLY_FULL = 0.75
#: Highest reported slowdown, as a factor, at which a request is a sample.
MAX_SAMPLE_SLOWDOWN = 1.3
#: Minimum number of samples of each kind before anything is concluded.
MIN_SAMPLES = 40
#: Number of samples over which the means are taken.
SAMPLES_AVERAGED = 300
#: Highest latency ratio that one sample counts with.
MAX_LATENCY_RATIO = 3.0
#: Requests above an upstream's slots up to which a request is still a sample: load
#: estimates are fractional.
LOAD_MARGIN = 0.5
#: Ratio of the two latencies from which the last slots stay empty. It is far below the
#: slowdown of a full upstream, since an upstream that counts as nearly full was so for
#: only part of the time.
CONTENTION_RATIO = 1.08
#: Smallest mean latency ratio used as a divisor, so that the result stays finite.
MIN_LATENCY_RATIO = 1e-9


class Contention:
    """
    How much slower one service's upstreams are when nearly full.

    Invariant: nothing is concluded from fewer than ``MIN_SAMPLES`` of either
    kind.
    """

    def __init__(self) -> None:
        self.full = latency.Mean(1.0)
        self.partly = latency.Mean(1.0)
        self.full_samples = 0
        self.partly_samples = 0

    def add(
        self,
        *,
        slots: int,
        load_sent: float,
        load_answered: float,
        slowdown: float,
        latency_ratio: float,
    ) -> None:
        """
        Add the response to one request.

        ``load_sent`` and ``load_answered`` are the numbers of requests in the upstream
        when the request was sent and answered, itself included; ``slowdown`` is the
        higher of the two estimates; ``latency_ratio`` is its latency as a
        multiple of the typical one.
        """
        if slowdown > MAX_SAMPLE_SLOWDOWN:
            return
        if max(load_sent, load_answered) > slots + LOAD_MARGIN:
            return
        limit = NEARLY_FULL * slots
        sample = min(MAX_LATENCY_RATIO, latency_ratio)
        if load_sent > limit and load_answered > limit:
            self.full_samples += 1
            _average(self.full, sample, self.full_samples)
        elif load_sent <= limit and load_answered <= limit:
            self.partly_samples += 1
            _average(self.partly, sample, self.partly_samples)

    def slowdown(self) -> float:
        """Return the ratio of the two latencies, 1 while there are too few samples."""
        if not self._has_enough_samples():
            return 1.0
        return max(1.0, self.full.value / max(MIN_LATENCY_RATIO, self.partly.value))

    def usable(self, slots: int, *, sample: bool = False) -> int:
        """
        Return how many of an upstream's slots are best used at the same time.

        ``sample``: the upstream is one of those whose last slots stay empty until
        there are enough samples.
        """
        sparing = (
            sample
            if not self._has_enough_samples()
            else self.slowdown() >= CONTENTION_RATIO
        )
        return max(1, int(NEARLY_FULL * slots)) if sparing else slots

    def _has_enough_samples(self) -> bool:
        return min(self.full_samples, self.partly_samples) >= MIN_SAMPLES


def _average(mean: latency.Mean, sample: float, samples: int) -> None:
    mean.weight = 1.0 / min(samples, SAMPLES_AVERAGED)
    mean.add(sample)
