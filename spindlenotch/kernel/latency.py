"""
Estimators of latency that cost a few floating-point operations per sample.

The kernel updates them with every answer, and they only inform its decisions.
Histograms for reports come from the HdrHistogram library.
"""

import math

import msgspec

#: Largest step of a quantile tracker per sample, as a share of its value.
QUANTILE_GAIN = 0.05
#: Default weight of the newest sample in a mean.
DEFAULT_WEIGHT = 0.1


class QuantileTracker(msgspec.Struct):
    """
    Estimates one quantile of a positive quantity that drifts.

    Invariant: ``value`` stays positive. Each sample moves it by a small factor: up in
    proportion to ``quantile``, down in proportion to 1 - ``quantile``. In equilibrium
    that share of the samples lies below.
    """

    quantile: float
    value: float
    gain: float = QUANTILE_GAIN

    def add(self, sample: float) -> None:
        """Update the estimate with a sample, in the unit of ``value``."""
        if sample > self.value:
            self.value *= 1.0 + self.gain * self.quantile
        else:
            self.value *= 1.0 - self.gain * (1.0 - self.quantile)


class Mean(msgspec.Struct):
    """Exponentially weighted mean; ``weight`` is that of the newest sample."""

    value: float
    weight: float = DEFAULT_WEIGHT

    def add(self, sample: float) -> None:
        """Update the mean with a sample, in the unit of ``value``."""
        self.value += self.weight * (sample - self.value)


def decay(age_s: float, time_constant_s: float) -> float:
    """Return the weight of a sample of this age: 1 when new, falling towards 0."""
    return math.exp(-max(age_s, 0.0) / time_constant_s)
