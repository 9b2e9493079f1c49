"""
Detects a bad target of an order by sequential tests against the other versions.

For each route, and for all of them, two tests run, on failures and on slow answers
(``sequential_test``), against what the other versions did at the same time
(``others_rates``). So faults that affect all versions, and a gateway with a bad link,
are no evidence against the target.

Performs no I/O and reads no clock. ``evidence_merging`` provides the new counts.
"""

import msgspec

from spindlenotch import ids
from spindlenotch.gateway.rollout import (
    evidence,
    evidence_merging,
    others_rates,
    sequential_test,
)
from spindlenotch.peers import rollout_notes

#: Name of the test over all routes.
ALL_ROUTES = "*"


#: Difference between a bad target's rate and the baseline: the smallest harm that must
#: be detected reliably. A version "several times slower" is slow far more often.
EFFECT_BY_SYMPTOM = {
    others_rates.Symptom.FAILURES: 0.1,
    others_rates.Symptom.SLOWNESS: 0.3,
}


class Finding(msgspec.Struct, frozen=True):
    """
    Why a target is bad.

    ``likelihood`` is the log-likelihood ratio of the test, ``without_worst`` that
    without the worst upstreams; ``calls`` and ``bad`` count since the test restarted.
    """

    symptom: others_rates.Symptom
    route: str
    likelihood: float
    without_worst: float
    calls: int
    bad: int
    upstreams: int


class Analysis:
    """
    The tests of one target, and the baseline rates of the other versions.

    ``target_upstreams`` is the number of upstreams of the target.
    """

    def __init__(self) -> None:
        self.target_upstreams = 1
        self.test_by_key: dict[
            tuple[others_rates.Symptom, str], sequential_test.Test
        ] = {}
        self._baseline = others_rates.BaselineRates()

    def add(self, delta: evidence_merging.Delta, now: ids.Instant) -> None:
        """Add a process's new counts: the other versions first, then the target."""
        for (route, upstream_id), counts in delta.counts_by_cell.items():
            if upstream_id == evidence.OTHER_VERSIONS:
                self._add_baseline(delta.source, route, counts, now)
        for (route, upstream_id), counts in delta.counts_by_cell.items():
            if upstream_id != evidence.OTHER_VERSIONS:
                self._add_target(delta.source, route, upstream_id, counts, now)

    def finding(self) -> Finding | None:
        """Return why the target is bad, None if the evidence does not show that."""
        for (symptom, route), test in self.test_by_key.items():
            if test.likelihood >= sequential_test.THRESHOLD and test.suspicion() >= 1.0:
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
        """Return the highest suspicion of the tests, 1 if one is a finding."""
        return max((test.suspicion() for test in self.test_by_key.values()), default=0)

    def residual_suspicion(self) -> float:
        """Return the highest ``without_worst`` of the tests, by the threshold."""
        likelihoods = (test.without_worst() for test in self.test_by_key.values())
        return max(likelihoods, default=0.0) / sequential_test.THRESHOLD

    def bad_upstreams(self) -> set[ids.UpstreamId]:
        """Return the upstreams of the target that look bad individually."""
        return {
            upstream_id
            for test in self.test_by_key.values()
            for upstream_id in test.bad_upstreams()
        }

    def _add_baseline(
        self,
        source: evidence_merging.Source,
        route: str,
        counts: rollout_notes.Counts,
        now: ids.Instant,
    ) -> None:
        for symptom, tally in _tallies(counts).items():
            self._baseline.add(symptom, route, source, tally, now)

    def _add_target(
        self,
        source: evidence_merging.Source,
        route: str,
        upstream_id: ids.UpstreamId,
        counts: rollout_notes.Counts,
        now: ids.Instant,
    ) -> None:
        for symptom, tally in _tallies(counts).items():
            rate = self._baseline.rate(symptom, route, source, now)
            effect = EFFECT_BY_SYMPTOM[symptom]
            for name in (route, ALL_ROUTES):
                test = self.test_by_key.setdefault(
                    (symptom, name), sequential_test.Test()
                )
                test.target_upstreams = self.target_upstreams
                test.add(upstream_id, tally, rate, effect)


def _tallies(
    counts: rollout_notes.Counts,
) -> dict[others_rates.Symptom, sequential_test.Tally]:
    return {
        others_rates.Symptom.FAILURES: sequential_test.Tally(
            counts.judged, counts.failed
        ),
        others_rates.Symptom.SLOWNESS: sequential_test.Tally(counts.timed, counts.slow),
    }
