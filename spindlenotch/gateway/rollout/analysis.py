"""
Whether the target of an order is bad: a sequential test against the other versions.

For each route, and for all of them, two CUSUM tests run, on failures and on slow
answers. Each adds up the logarithm of how much likelier what was seen is if the target
is bad than if it is as good as the others at that time (Wald's test, begun anew
whenever it speaks for the target). The others' rate is the worst of three: on the same
route in the last moments, there in the last seconds, and at the gateway that tells; so
faults that strike all versions, and a gateway with a bad link, speak for nothing.

Pure. Relies on ``merging`` for what is new.
"""

import enum

import msgspec

from spindlenotch import ids
from spindlenotch.gateway.rollout import evidence, merging, sequential_test
from spindlenotch.kernel import latency
from spindlenotch.peers import rollout_notes

#: Time constants, in seconds, of the others' rates: bursts are to be known in the
#: moment, seldom failures in the long run.
MOMENT_S = 0.5
MEMORY_S = 4.0
#: Calls that the first guess of the others' rate counts as, and at one gateway.
GUESS_CALLS = 30.0
SOURCE_GUESS_CALLS = 10.0
#: Name of the test over all routes.
ALL_ROUTES = "*"


class Symptom(enum.Enum):
    """What may be worse in the target."""

    FAILURES = "failures"
    SLOWNESS = "slowness"


#: The first guess of the others' rate, which counts again once they get no calls: on
#: the high side, as nothing tells then what strikes all alike.
GUESS_BY_SYMPTOM = {Symptom.FAILURES: 0.03, Symptom.SLOWNESS: 0.1}
#: The least rate that is expected of a good version, however good the others are.
LEAST_BY_SYMPTOM = {Symptom.FAILURES: 0.01, Symptom.SLOWNESS: 0.04}
#: How far above the others' rate a bad target's is: of the smallest harm that is to be
#: found for certain. A version "several times slower" is slow far oftener than that.
EFFECT_BY_SYMPTOM = {Symptom.FAILURES: 0.1, Symptom.SLOWNESS: 0.3}


class Finding(msgspec.Struct, frozen=True):
    """
    Why a target is bad.

    ``likelihood`` is the logarithm of the test, ``without_worst`` that without the
    worst upstreams; ``calls`` and ``bad`` are those since the test began anew.
    """

    symptom: Symptom
    route: str
    likelihood: float
    without_worst: float
    calls: int
    bad: int
    upstreams: int


class Rate:
    """The share of bad calls among others' calls; older ones count less."""

    def __init__(self, time_constant_s: float) -> None:
        self.time_constant_s = time_constant_s
        self.calls = 0.0
        self.bad = 0.0
        self.at = ids.Instant(0.0)

    def add(self, tally: sequential_test.Tally, now: ids.Instant) -> None:
        """Take in calls."""
        self._fade(now)
        self.calls += tally.calls
        self.bad += tally.bad

    def value(self, guess: float, guess_calls: float, now: ids.Instant) -> float:
        """Return the share, where few are known mostly the guess."""
        self._fade(now)
        return (self.bad + guess * guess_calls) / (self.calls + guess_calls)

    def _fade(self, now: ids.Instant) -> None:
        weight = latency.decay(max(0.0, now - self.at), self.time_constant_s)
        self.calls *= weight
        self.bad *= weight
        self.at = now


class Analysis:
    """
    The tests of one target, and the rates of the other versions.

    ``add`` takes in what one process has newly counted; ``available`` is how many
    upstreams the target has.
    """

    def __init__(self) -> None:
        self.available = 1
        self.test_by_key: dict[tuple[Symptom, str], sequential_test.Test] = {}
        self._moments: dict[tuple[Symptom, str], Rate] = {}
        self._memories: dict[tuple[Symptom, str], Rate] = {}
        self._source_rates: dict[tuple[Symptom, merging.Source], Rate] = {}

    def add(self, delta: merging.Delta, now: ids.Instant) -> None:
        """Take in what a process has counted: first the others, then the target."""
        for (route, upstream_id), counts in delta.counts_by_cell.items():
            if upstream_id == evidence.OTHER_VERSIONS:
                self._add_others(delta.source, route, counts, now)
        for (route, upstream_id), counts in delta.counts_by_cell.items():
            if upstream_id != evidence.OTHER_VERSIONS:
                self._add_target(delta.source, route, upstream_id, counts, now)

    def finding(self) -> Finding | None:
        """Return why the target is bad, None where nothing shows that."""
        for (symptom, route), test in self.test_by_key.items():
            if test.likelihood >= sequential_test.BOUND and test.suspicion() >= 1.0:
                return Finding(
                    symptom=symptom,
                    route=route,
                    likelihood=round(test.likelihood, 2),
                    without_worst=round(test.without_worst(), 2),
                    calls=test.calls,
                    bad=test.bad,
                    upstreams=test.upstreams,
                )
        return None

    def suspicion(self) -> float:
        """Return how near the nearest test is to a finding, 1 where it is one."""
        return max((test.suspicion() for test in self.test_by_key.values()), default=0)

    def bad_upstreams(self) -> set[ids.UpstreamId]:
        """Return the upstreams of the target that look bad by themselves."""
        return {
            upstream_id
            for (_, route), test in self.test_by_key.items()
            if route == ALL_ROUTES
            for upstream_id in test.bad_upstreams()
        }

    def _add_others(
        self,
        source: merging.Source,
        route: str,
        counts: rollout_notes.Counts,
        now: ids.Instant,
    ) -> None:
        for symptom, tally in _tallies(counts).items():
            key = (symptom, route)
            self._moments.setdefault(key, Rate(MOMENT_S)).add(tally, now)
            self._memories.setdefault(key, Rate(MEMORY_S)).add(tally, now)
            at_source = self._source_rates.setdefault((symptom, source), Rate(MEMORY_S))
            at_source.add(tally, now)

    def _add_target(
        self,
        source: merging.Source,
        route: str,
        upstream_id: ids.UpstreamId,
        counts: rollout_notes.Counts,
        now: ids.Instant,
    ) -> None:
        for symptom, tally in _tallies(counts).items():
            rate = self._others_rate(symptom, source, route, now)
            effect = EFFECT_BY_SYMPTOM[symptom]
            for name in (route, ALL_ROUTES):
                test = self.test_by_key.setdefault(
                    (symptom, name), sequential_test.Test()
                )
                test.available = self.available
                test.add(upstream_id, tally, rate, effect)

    def _others_rate(
        self,
        symptom: Symptom,
        source: merging.Source,
        route: str,
        now: ids.Instant,
    ) -> float:
        key = (symptom, route)
        guess = GUESS_BY_SYMPTOM[symptom]
        memory = self._memories.setdefault(key, Rate(MEMORY_S))
        fleet = memory.value(guess, GUESS_CALLS, now)
        moment = self._moments.setdefault(key, Rate(MOMENT_S))
        at_moment = moment.value(fleet, GUESS_CALLS, now)
        at_source = self._source_rates.setdefault((symptom, source), Rate(MEMORY_S))
        there = at_source.value(fleet, SOURCE_GUESS_CALLS, now)
        return max(LEAST_BY_SYMPTOM[symptom], fleet, at_moment, there)


def _tallies(counts: rollout_notes.Counts) -> dict[Symptom, sequential_test.Tally]:
    return {
        Symptom.FAILURES: sequential_test.Tally(counts.judged, counts.failed),
        Symptom.SLOWNESS: sequential_test.Tally(counts.timed, counts.slow),
    }
