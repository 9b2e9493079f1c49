"""
Decides on one order while this gateway is its decider.

Combines what is known (the run, the upstreams, which gateways have left the other
versions), applies ``promotion`` and ``decider_rules``, and has the status written. Owns
the status writer and the set of blockers that were logged.
"""

import functools
from collections import abc

from spindlenotch import events, ids
from spindlenotch.gateway import service_defaults, state
from spindlenotch.gateway.cluster import fleet, quorum
from spindlenotch.gateway.rollout import (
    decider_rules,
    evidence,
    promotion,
    runs,
    status_writer,
)
from spindlenotch.gateway.source import sources
from spindlenotch.kernel import upstream_pool, upstreams
from spindlenotch.peers import rollout_notes

#: States in which an upstream can carry requests.
USABLE = (upstreams.State.ACTIVE, upstreams.State.PROBATION)
#: Reason for rolling back an order that was not promoted in time.
TIME_OVER = "time over"


class Decider:
    """Decides on one run; ``update`` is called a few times a second."""

    def __init__(
        self,
        gateway_state: state.GatewayState,
        gateway_fleet: fleet.Fleet,
        known_quorum: quorum.Quorum,
        writer: status_writer.StatusWriter,
        run: runs.Run,
    ) -> None:
        self.state = gateway_state
        self.fleet = gateway_fleet
        self.quorum = known_quorum
        self.writer = writer
        self.run = run
        self._reported_blockers: set[promotion.Blocker] = set()
        self._watch_until = ids.NEVER
        self._strict_until = ids.NEVER

    def update(self, pool: upstream_pool.Pool, now: ids.Instant) -> None:
        """Promote, complete or roll back, and have the status written."""
        self.writer.order = self.run.order
        is_completion_settled = (
            self.writer.pending_state is not sources.RolloutState.COMPLETED
        )
        if self.run.phase is rollout_notes.Phase.RUNNING:
            self._promote(pool, now)
        is_complete = not is_completion_settled or self._is_complete(now)
        status = self.state.rollouts.status_of(self.run)
        known = None if status is None else status.state
        phase = self.run.phase
        if not is_completion_settled:
            # The write may have been applied: until that is known nothing else is safe.
            phase = rollout_notes.Phase.PROMOTING
        wanted = decider_rules.next_state(known, phase, is_complete=is_complete)
        if wanted is not None:
            self.writer.write(wanted, now)

    def rewrite_final_status(self, now: ids.Instant) -> None:
        """Have the final status written again after the source has lost it."""
        self.writer.order = self.run.order
        if self.run.final is not None:
            self.writer.write(self.run.final, now)

    def _promote(self, pool: upstream_pool.Pool, now: ids.Instant) -> None:
        """Move all requests to the target if it is time and nothing blocks it."""
        if not self.run.had_others and any(map(self._is_target, pool.usable_order)):
            # There is no other version to be replaced.
            self.run.raise_phase(rollout_notes.Phase.PROMOTING)
            return
        end_at = self.state.rollouts.end_at(self.run.order.service)
        readiness = self._readiness(pool, now)
        blocker = promotion.promotion_blocker(readiness, self._promote_at(end_at), now)
        if blocker is promotion.Blocker.NONE and not self.quorum.of_fleet():
            # Without a quorum the order could not be completed after the move.
            blocker = promotion.Blocker.NO_QUORUM
        if blocker is promotion.Blocker.NONE:
            self.run.raise_phase(rollout_notes.Phase.PROMOTING)
            self._report_promotion(readiness)
        elif now >= end_at:
            self._roll_back_overdue(blocker)
        elif blocker is not promotion.Blocker.EARLY:
            self._report(blocker)

    def _is_complete(self, now: ids.Instant) -> bool:
        if self.run.phase is not rollout_notes.Phase.PROMOTING:
            return False
        end_at = self.state.rollouts.end_at(self.run.order.service)
        if self._watch_until == ids.NEVER:
            self._watch_until = ids.later(now, promotion.WATCH_S)
            self._strict_until = ids.later(now, promotion.STRICT_WATCH_S)
        if now < self._watch_until:
            return False
        blocker = promotion.completion_blocker(
            self._drain_progress(),
            end_at,
            now,
            has_quorum=self.quorum.of_fleet(),
            residual_suspicion=self._residual_suspicion(end_at, now),
        )
        if blocker is promotion.Blocker.NONE:
            return True
        if now >= end_at:
            self._report(blocker)
        return False

    def _residual_suspicion(self, end_at: ids.Instant, now: ids.Instant) -> float:
        """Return the suspicion that may block completion, relaxed as time passes."""
        if now < self._strict_until:
            return self.run.analysis.residual_suspicion()
        if now < end_at - promotion.FINAL_WINDOW_S:
            return self.run.analysis.suspicion()
        # The target was not shown to be bad in the order's whole time.
        return 0.0

    def _roll_back_overdue(self, blocker: promotion.Blocker) -> None:
        """Roll back an order that was not promoted within its time."""
        if self.run.raise_phase(rollout_notes.Phase.ROLLED_BACK):
            self.run.reason = f"{TIME_OVER}: {blocker.value}"
            events.emit(
                events.Event.ROLLOUT_ROLLED_BACK,
                service=self.run.order.service,
                target=self.run.order.target,
                reason=self.run.reason,
            )

    def _promote_at(self, end_at: ids.Instant) -> ids.Instant:
        order = self.run.order
        table = self.state.table
        typical_s = [
            service_defaults.typical_latency_s(route)
            for route in (() if table is None else table.configuration.routes)
            if any(part.service == order.service for part in route.parts)
        ]
        return ids.later(end_at, -promotion.lead_s(order.by_s, typical_s))

    def _readiness(
        self, pool: upstream_pool.Pool, now: ids.Instant
    ) -> promotion.Readiness:
        warm_upstreams = [
            upstream
            for upstream in pool.usable_order
            if upstream.state in USABLE and not upstream.cold.is_cold(now)
        ]
        counts = self._counts(is_target=True)
        return promotion.Readiness(
            target_slots=sum(
                upstream.slots
                for upstream in warm_upstreams
                if self._is_target(upstream)
            ),
            other_slots=sum(
                upstream.slots
                for upstream in warm_upstreams
                if self.run.is_other(upstream)
            ),
            answers=counts.judged,
            allowed=self.run.split.share * self.run.merged.answered(),
            suspicion=self.run.analysis.suspicion(),
            excess=max(self._failure_excesses(), default=0.0),
        )

    def _drain_progress(self) -> promotion.DrainProgress:
        local = self.state.local_member.host
        known = self.state.gossip.known_by_host
        running = {host: peer.record.incarnation for host, peer in known.items()}
        running[local] = self.state.gossip.local.incarnation
        newest = self.run.merged.newest_by_host(running)
        took_part = {member for member, record in newest.items() if record.answered}
        reachable = {
            host
            for host, peer in known.items()
            if not peer.missed and not peer.suspected
        }
        return promotion.DrainProgress(
            required=frozenset({local, *took_part, *self.fleet.active_zones()}),
            drained=frozenset(
                member for member, record in newest.items() if record.is_empty
            ),
            reachable=frozenset({local, *reachable}),
        )

    def _failure_excesses(self) -> abc.Iterator[float]:
        """Yield the target's excess of failures on each route, and on all of them."""
        routes = {row.route for record in self._records() for row in record.rows}
        for route in (None, *routes):
            target, others = (
                self._counts(is_target=is_target, route=route)
                for is_target in (True, False)
            )
            yield promotion.failure_excess(target, others)

    def _counts(
        self, *, is_target: bool, route: str | None = None
    ) -> rollout_notes.Counts:
        """Return the counts of one side on a route, or on all, over all gateways."""
        counts = (
            row.counts
            for record in self._records()
            for row in record.rows
            if (row.upstream != evidence.OTHER_VERSIONS) is is_target
            and route in (None, row.route)
        )
        return functools.reduce(
            rollout_notes.Counts.plus, counts, rollout_notes.NO_COUNTS
        )

    def _records(self) -> list[rollout_notes.EvidenceRecord]:
        return list(self.run.merged.record_by_source.values())

    def _is_target(self, upstream: upstreams.Upstream) -> bool:
        return upstream.spec.version == self.run.order.target

    def _report(self, blocker: promotion.Blocker) -> None:
        """Log once why an order can't proceed."""
        if blocker in self._reported_blockers:
            return
        self._reported_blockers.add(blocker)
        progress = self._drain_progress()
        events.emit(
            events.Event.ROLLOUT_BLOCKED,
            service=self.run.order.service,
            target=self.run.order.target,
            phase=self.run.phase.name,
            reason=blocker.value,
            missing=",".join(sorted(progress.required - progress.drained)),
        )

    def _report_promotion(self, readiness: promotion.Readiness) -> None:
        order = self.run.order
        events.emit(
            events.Event.ROLLOUT_PROMOTING,
            service=order.service,
            target=order.target,
            answers=readiness.answers,
            sent=self.run.merged.sent(),
            answered=self.run.merged.answered(),
            target_slots=readiness.target_slots,
            other_slots=readiness.other_slots,
            suspicion=round(readiness.suspicion, 2),
        )
        counts = self._counts(is_target=True)
        events.emit(
            events.Event.ROLLOUT_PROMOTION_COUNTS,
            service=order.service,
            target=order.target,
            judged=counts.judged,
            failed=counts.failed,
            timed=counts.timed,
            slow=counts.slow,
        )
        self._report_untested()

    def _report_untested(self) -> None:
        """Log the routes that are promoted without an answer of the target."""
        rows = [row for record in self._records() for row in record.rows]
        tested = {row.route for row in rows if row.upstream != evidence.OTHER_VERSIONS}
        untested = {row.route for row in rows} - tested
        if untested:
            events.emit(
                events.Event.ROLLOUT_UNTESTED,
                service=self.run.order.service,
                target=self.run.order.target,
                routes=",".join(sorted(untested)),
            )
