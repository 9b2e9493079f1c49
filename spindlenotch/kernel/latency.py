"""
Estimates of time that cost a few floating-point operations per sample.

Used by the kernel on every answer. Histograms for reports come from the
HdrHistogram library; these trackers only steer decisions.
"""

import math

import msgspec

#: Largest step of a quantile tracker with one sample, as a share of its value.
QUANTILE_GAIN = 0.05
#: Weight of the newest sample where a mean is given none.
DEFAULT_WEIGHT = 0.1


class QuantileTracker(msgspec.Struct):
    """
    Follows one quantile of a positive, drifting quantity.

    Invariant: ``value`` stays positive. Each sample moves it by a small
    factor, up with weight ``quantile`` and down with the rest, so that at
    balance the wanted share of samples lies below.
    """

    quantile: float
    value: float
    gain: float = QUANTILE_GAIN

    def add(self, sample: float) -> None:
        """Take in one sample (same unit as ``value``)."""
        if sample > self.value:
            self.value *= 1.0 + self.gain * self.quantile
        else:
            self.value *= 1.0 - self.gain * (1.0 - self.quantile)


class Mean(msgspec.Struct):
    """Exponentially weighted mean; ``weight`` is that of the newest sample."""

    value: float
    weight: float = DEFAULT_WEIGHT

    def add(self, sample: float) -> None:
        """Take in one sample."""
        self.value += self.weight * (sample - self.value)


def decay(age_s: float, time_constant_s: float) -> float:
    """Return how much a report of this age still counts, from 1 down to 0."""
    return math.exp(-max(age_s, 0.0) / time_constant_s)
