"""
The state of one process for one order to change a service's version.

Owns the split of the service's calls, the counts since the order and the phase. Phases
only move forward: running, promoting, rolled back; a final status of the source comes
last. Performs no I/O; ``registry`` creates runs, ``loop`` drives them.
"""

import msgspec

from spindlenotch import ids, metrics
from spindlenotch.decisions import traffic_split, verdicts
from spindlenotch.gateway.rollout import analysis, evidence, evidence_merging
from spindlenotch.gateway.source import sources
from spindlenotch.kernel import upstream_pool, upstreams
from spindlenotch.peers import rollout_notes

#: Part of the operator's limit that gateways use: the rest covers calls in flight at
#: the end and answers that were counted but did not reach the service.
SHARE_MARGIN = 0.8
#: Value of the phase metric for a completed order, above all phases.
COMPLETED_VALUE = 4

ACCESS_BY_PHASE = {
    rollout_notes.Phase.RUNNING: traffic_split.Access.SHARED,
    rollout_notes.Phase.PROMOTING: traffic_split.Access.TARGET_ONLY,
    rollout_notes.Phase.ROLLED_BACK: traffic_split.Access.OTHERS_ONLY,
}


class Run:
    """
    One order in one process.

    Invariants: ``phase`` never decreases, ``final`` never changes once set.
    ``had_others``: since the order there were upstreams to be replaced; without any the
    target gets all calls. ``reason`` says why it was rolled back.
    """

    def __init__(
        self,
        order: sources.RolloutOrder,
        share: float,
        excluded_versions: frozenset[ids.SoftwareVersion],
        gateway_metrics: metrics.Metrics,
    ) -> None:
        self.order = order
        self.metrics = gateway_metrics
        self.phase = rollout_notes.Phase.RUNNING
        self.final: sources.RolloutState | None = None
        self.reason = ""
        self.had_others = False
        self.evidence = evidence.Evidence()
        self.merged = evidence_merging.MergedEvidence()
        self.analysis = analysis.Analysis()
        self.split = traffic_split.TrafficSplit(
            order.target,
            SHARE_MARGIN * share,
            f"{order.revision}",
            self,
            excluded_versions,
        )
        self._number = 0
        self._relative_slowdown = 1.0

    def raise_phase(self, phase: rollout_notes.Phase) -> bool:
        """Advance to a phase; return whether it is later than the current one."""
        if phase <= self.phase or self.final is not None:
            return False
        self.phase = phase
        self._set_access()
        return True

    def finish(self, final: sources.RolloutState) -> bool:
        """Apply the final status; return whether it is new."""
        if self.final is not None or final is sources.RolloutState.RUNNING:
            return False
        self.final = final
        if final is sources.RolloutState.ROLLED_BACK:
            self.phase = rollout_notes.Phase.ROLLED_BACK
        self._set_access()
        return True

    def update_upstreams(self, pool: upstream_pool.Pool) -> None:
        """Update the count of the target's upstreams and whether there were others."""
        self.had_others |= any(
            self.is_other(upstream) for upstream in pool.usable_order
        )
        versions = [upstream.spec.version for upstream in pool.usable_order]
        self.analysis.target_upstreams = max(1, versions.count(self.order.target))
        self._set_access()

    def is_other(self, upstream: upstreams.Upstream) -> bool:
        """Return whether an upstream may serve calls until the target takes over."""
        version = upstream.spec.version
        return (
            version != self.order.target and version not in self.split.excluded_versions
        )

    def call_ended(
        self,
        grant: verdicts.Grant,
        result: upstreams.Result,
        *,
        is_target: bool,
        expected: traffic_split.ExpectedLatency,
        now: ids.Instant,
    ) -> None:
        """Count the end of a call; see ``traffic_split.Observer``."""
        if is_target:
            slowdown = expected.slowdown / self._relative_slowdown
            expected = msgspec.structs.replace(expected, slowdown=slowdown)
        self.evidence.call_ended(
            grant, result, is_target=is_target, expected=expected, now=now
        )
        version = self.order.target if is_target else ""
        labels = (self.order.service, version)
        self.metrics.rollout_requests.labels(*labels, result.value).inc()
        self.metrics.rollout_time.labels(*labels).observe(now - grant.sent_at)

    def is_empty(self, pool: upstream_pool.Pool) -> bool:
        """Return whether only the target gets calls and none is in flight elsewhere."""
        if self.split.access is not traffic_split.Access.TARGET_ONLY:
            return False
        others = (
            upstream
            for upstream in pool.upstream_by_id.values()
            if upstream.spec.version != self.order.target
        )
        return not any(upstream.outstanding for upstream in others)

    def record(
        self, pool: upstream_pool.Pool, left_s: float
    ) -> rollout_notes.EvidenceRecord:
        """Return the counts until now; the order may run ``left_s`` more seconds."""
        self._number += 1
        return rollout_notes.EvidenceRecord(
            service=self.order.service,
            revision=self.order.revision,
            number=self._number,
            phase=self.phase,
            sent=self.split.sent,
            answered=self.split.answered,
            is_empty=self.is_empty(pool),
            rows=self.evidence.rows(),
            left_s=left_s,
        )

    def merge_record(
        self,
        source: evidence_merging.Source,
        record: rollout_notes.EvidenceRecord,
        now: ids.Instant,
    ) -> None:
        """Merge a record of this process or of another one."""
        delta = self.merged.merge_record(source, record)
        if delta is not None:
            self.analysis.add(delta, now)
            self.split.deprioritized |= self.analysis.bad_upstreams()

    def phase_note(self) -> rollout_notes.PhaseNote:
        """Return the note that tells peers the phase."""
        order = self.order
        return rollout_notes.PhaseNote(order.service, order.revision, self.phase)

    def update_relative_slowdown(self, pool: upstream_pool.Pool) -> None:
        """Update the target's own slowdown from the upstreams' reports."""
        usable = pool.usable_order
        target = [
            upstream
            for upstream in usable
            if upstream.spec.version == self.order.target
        ]
        others = [upstream for upstream in usable if self.is_other(upstream)]
        self._relative_slowdown = evidence.relative_slowdown(target, others)

    def update_metrics(self) -> None:
        """Set the metrics of the run."""
        labels = (self.order.service, self.order.target)
        is_completed = self.final is sources.RolloutState.COMPLETED
        value = COMPLETED_VALUE if is_completed else int(self.phase)
        self.metrics.rollout_phase.labels(*labels).set(value)
        self.metrics.rollout_allowed.labels(*labels).set(self.split.allowed())
        self.metrics.rollout_sent.labels(*labels).set(self.split.sent)

    def _set_access(self) -> None:
        access = ACCESS_BY_PHASE[self.phase]
        is_completed = self.final is sources.RolloutState.COMPLETED
        is_alone = not self.had_others and self.phase is rollout_notes.Phase.RUNNING
        if is_completed or is_alone:
            access = traffic_split.Access.TARGET_ONLY
        self.split.access = access
