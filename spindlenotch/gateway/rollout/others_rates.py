"""
Baseline rates of failures and slow answers: those of the other versions now.

Performs no I/O and reads no clock. The rate is the higher of two: on the same route in
the fleet, and at the reporting gateway, whose link may be bad. One such gateway is left
out of the fleet's rate, or it would hide what a bad version does elsewhere. Rates
follow short-term changes, up and down; the long-term rate is bounded, so that a past
fault hides nothing.
"""

import enum

from spindlenotch import ids
from spindlenotch.gateway.rollout import evidence_merging, sequential_test
from spindlenotch.kernel import latency

#: Time constant of the short-term rates, in seconds.
SHORT_TERM_S = 0.7
#: Time constant of the long-term rates, in seconds.
LONG_TERM_S = 4.0
#: Weight of the long-term rate in the fleet's rate, as a number of calls.
FLEET_PRIOR_CALLS = 15.0
#: Weight of the fleet's rate in a gateway's rate, as a number of calls.
SOURCE_PRIOR_CALLS = 10.0
#: Least number of gateways to leave the worst one out of the fleet's rate.
MIN_SOURCES = 3


class Symptom(enum.Enum):
    """What may be worse at the target."""

    FAILURES = "failures"
    SLOWNESS = "slowness"


#: Lowest rate that is expected of a good version, however good the others are.
MIN_RATE_BY_SYMPTOM = {Symptom.FAILURES: 0.01, Symptom.SLOWNESS: 0.04}
#: Long-term rate that is assumed before there are calls.
PRIOR_RATE_BY_SYMPTOM = {Symptom.FAILURES: 0.02, Symptom.SLOWNESS: 0.08}
#: Upper bound of the long-term rate.
MAX_LONG_TERM_RATE_BY_SYMPTOM = {Symptom.FAILURES: 0.05, Symptom.SLOWNESS: 0.15}


class Rate:
    """The share of bad calls among the others' calls, with decay of older ones."""

    def __init__(self, time_constant_s: float) -> None:
        self.time_constant_s = time_constant_s
        self.calls = 0.0
        self.bad = 0.0
        self.at = ids.Instant(0.0)

    def add(self, tally: sequential_test.Tally, now: ids.Instant) -> None:
        """Add calls."""
        self.apply_decay(now)
        self.calls += tally.calls
        self.bad += tally.bad

    def value(self, prior: float, prior_calls: float, now: ids.Instant) -> float:
        """Return the share, which is mostly the prior while calls are few."""
        self.apply_decay(now)
        return (self.bad + prior * prior_calls) / (self.calls + prior_calls)

    def apply_decay(self, now: ids.Instant) -> None:
        """Reduce the weight of older calls."""
        weight = latency.decay(max(0.0, now - self.at), self.time_constant_s)
        self.calls *= weight
        self.bad *= weight
        self.at = now


Key = tuple[Symptom, str]


class BaselineRates:
    """The rates of other versions by route and gateway."""

    def __init__(self) -> None:
        self._long_term_by_key: dict[Key, Rate] = {}
        self._short_term_by_key: dict[Key, dict[evidence_merging.Source, Rate]] = {}
        self._short_term_by_source: dict[
            tuple[Symptom, evidence_merging.Source], Rate
        ] = {}

    def add(
        self,
        symptom: Symptom,
        route: str,
        source: evidence_merging.Source,
        tally: sequential_test.Tally,
        now: ids.Instant,
    ) -> None:
        """Add calls that a gateway placed on other versions."""
        key = (symptom, route)
        self._long_term_by_key.setdefault(key, Rate(LONG_TERM_S)).add(tally, now)
        recent_rates = self._short_term_by_key.setdefault(key, {})
        recent_rates.setdefault(source, Rate(SHORT_TERM_S)).add(tally, now)
        at_source = (symptom, source)
        self._short_term_by_source.setdefault(at_source, Rate(SHORT_TERM_S)).add(
            tally, now
        )

    def rate(
        self,
        symptom: Symptom,
        route: str,
        source: evidence_merging.Source,
        now: ids.Instant,
    ) -> float:
        """Return the rate expected of a good version on a route, at a gateway."""
        fleet_rate = self._fleet_rate(symptom, route, now)
        at_source = self._short_term_by_source.get((symptom, source))
        if at_source is None:
            return max(MIN_RATE_BY_SYMPTOM[symptom], fleet_rate)
        source_rate = at_source.value(fleet_rate, SOURCE_PRIOR_CALLS, now)
        return max(MIN_RATE_BY_SYMPTOM[symptom], fleet_rate, source_rate)

    def _fleet_rate(self, symptom: Symptom, route: str, now: ids.Instant) -> float:
        long_term = self._long_term_rate(symptom, route, now)
        recent_rates = list(self._short_term_by_key.get((symptom, route), {}).values())
        for recent_rate in recent_rates:
            recent_rate.apply_decay(now)
        recent_rates.sort(key=lambda recent_rate: recent_rate.bad)
        if len(recent_rates) >= MIN_SOURCES:
            recent_rates.pop()
        calls = sum(recent_rate.calls for recent_rate in recent_rates)
        bad = sum(recent_rate.bad for recent_rate in recent_rates)
        return (bad + long_term * FLEET_PRIOR_CALLS) / (calls + FLEET_PRIOR_CALLS)

    def _long_term_rate(self, symptom: Symptom, route: str, now: ids.Instant) -> float:
        known = self._long_term_by_key.get((symptom, route))
        prior = PRIOR_RATE_BY_SYMPTOM[symptom]
        if known is None:
            return prior
        value = known.value(prior, FLEET_PRIOR_CALLS, now)
        return min(MAX_LONG_TERM_RATE_BY_SYMPTOM[symptom], value)
