"""
The rollout loop of a gateway: periodic updates, and messages to and from peers.

A few times a second each gateway sends its counts to active gateways and to the
candidates for decider, evaluates the evidence, and decides if it is the decider. A new
phase is announced to every gateway at once, and carried by all gossip after that. Owns
one decider for each run. The decisions are made in the pure modules beside it.
"""

from spindlenotch import events, ids
from spindlenotch.decisions import canary_bursts
from spindlenotch.gateway import state
from spindlenotch.gateway.cluster import fleet, quorum
from spindlenotch.gateway.rollout import (
    decider,
    decider_rules,
    evidence_merging,
    runs,
    status_writer,
)
from spindlenotch.gateway.source import sources
from spindlenotch.kernel import upstream_pool
from spindlenotch.peers import (
    background,
    gossip,
    messages,
    peer_link,
    rollout_notes,
)

#: Seconds between two updates: the greatest age of the evidence when it is evaluated.
#: Short relative to the bound on rollbacks, with few messages relative to load reports.
PERIOD_S = 0.2
#: Updates in which a new phase is announced to every gateway, as datagrams get lost.
ANNOUNCE_ROUNDS = 3


class RolloutLoop:
    """Drives the runs of one gateway."""

    def __init__(
        self,
        gateway_state: state.GatewayState,
        gateway_fleet: fleet.Fleet,
        link: peer_link.PeerLink,
        source: sources.Source,
    ) -> None:
        self.state = gateway_state
        self.fleet = gateway_fleet
        self.link = link
        self.source = source
        self.quorum = quorum.Quorum(gateway_state, gateway_fleet)
        self.tasks = background.BackgroundTasks()
        self._decider_by_run: dict[runs.Run, decider.Decider] = {}
        self._decided_services: set[ids.ServiceName] = set()
        self._announce_rounds = 0

    async def run(self) -> None:
        """Update all runs until cancelled."""
        while True:
            self.update()
            await self.state.wakeups.sleep(PERIOD_S)

    def update(self) -> None:
        """Evaluate the evidence, decide and send, once."""
        now = self.state.clock.now()
        all_runs = self._runs()
        for run in all_runs:
            run.update_metrics()
            if run.final is None:
                self._update_run(run, now)
            elif self.state.rollouts.lacks_final_status(run):
                self._rewrite_final_status(run, now)
        self._drop_old_deciders(all_runs)
        self._publish_phases(all_runs)

    def message_received(
        self, message: messages.Message, handled: gossip.Handled
    ) -> None:
        """Apply the phases and the evidence in a peer's message."""
        for phase_note in message.rollout_phases:
            run = self.state.rollouts.apply_note(phase_note)
            if run is not None:
                self._report_phase(run, f"told by {message.sender.host}")
        record = message.evidence
        if record is None:
            return
        run = self.state.rollouts.run_by_service.get(record.service)
        if run is None or run.order.revision != record.revision:
            return
        sender = message.sender
        now = self.state.clock.now()
        run.merge_record(
            evidence_merging.Source(sender.host, sender.incarnation), record, now
        )
        self.state.rollouts.orders.limit_remaining(record.service, record.left_s, now)
        self._roll_back_if_bad(run)

    def _update_run(self, run: runs.Run, now: ids.Instant) -> None:
        pool = self.state.balancer_by_service[run.order.service].pool
        local = self.state.gossip.local
        run.update_relative_slowdown(pool)
        run.split.bursts.schedule = self._burst_schedule(run)
        record = run.record(pool, self._left_s(run, now))
        run.merge_record(
            evidence_merging.Source(local.host, local.incarnation), record, now
        )
        candidates = decider_rules.candidates(run.order.service, self.fleet.view())
        self._set_decider_role(run, is_decider=candidates[:1] == [local.host])
        self._roll_back_if_bad(run)
        if run.order.service in self._decided_services:
            before = run.phase
            self._decider(run).update(pool, now)
            if run.phase is not before:
                self._announce_phase()
        self._send_evidence(run, pool, candidates, now)

    def _rewrite_final_status(self, run: runs.Run, now: ids.Instant) -> None:
        candidates = decider_rules.candidates(run.order.service, self.fleet.view())
        local = self.state.gossip.local
        self._set_decider_role(run, is_decider=candidates[:1] == [local.host])
        if run.order.service in self._decided_services:
            self._decider(run).rewrite_final_status(now)

    def _roll_back_if_bad(self, one: runs.Run) -> None:
        """Roll back at once if the evidence shows that the target is bad."""
        if one.final is not None or one.phase is rollout_notes.Phase.ROLLED_BACK:
            return
        is_decider = one.order.service in self._decided_services
        if one.phase is rollout_notes.Phase.PROMOTING and not is_decider:
            # The decider relies on the gateways that have left the other versions.
            return
        if is_decider and self._may_be_completed(one):
            return
        finding = one.analysis.finding()
        if finding is None or not one.raise_phase(rollout_notes.Phase.ROLLED_BACK):
            return
        one.reason = f"{finding.symptom.value} on {finding.route}"
        events.emit(
            events.Event.ROLLOUT_ROLLED_BACK,
            service=one.order.service,
            target=one.order.target,
            reason=one.reason,
            likelihood=finding.likelihood,
            without_worst=finding.without_worst,
            calls=finding.calls,
            bad=finding.bad,
            upstreams=finding.upstreams,
            sent=one.merged.sent(),
            answered=one.merged.answered(),
        )
        self._announce_phase()

    def _burst_schedule(self, run: runs.Run) -> canary_bursts.Schedule | None:
        end_at = self.state.rollouts.end_at(run.order.service)
        if end_at == ids.NEVER:
            return None
        local = self.state.local_member.host
        participants = sorted({local, *self.fleet.active_zones()})
        return canary_bursts.Schedule(
            end_at=end_at,
            rank=participants.index(local),
            participants=len(participants),
        )

    def _left_s(self, run: runs.Run, now: ids.Instant) -> float:
        return self.state.rollouts.end_at(run.order.service) - now

    def _may_be_completed(self, run: runs.Run) -> bool:
        known = self._decider_by_run.get(run)
        if known is None:
            return False
        return known.writer.pending_state is sources.RolloutState.COMPLETED

    def _report_phase(self, run: runs.Run, reason: str) -> None:
        if run.phase is rollout_notes.Phase.ROLLED_BACK:
            run.reason = run.reason or reason
            event = events.Event.ROLLOUT_ROLLED_BACK
        else:
            event = events.Event.ROLLOUT_PROMOTING
        events.emit(
            event, service=run.order.service, target=run.order.target, reason=reason
        )

    def _set_decider_role(self, run: runs.Run, *, is_decider: bool) -> None:
        service = run.order.service
        if is_decider == (service in self._decided_services):
            return
        if is_decider:
            self._decided_services.add(service)
        else:
            self._decided_services.discard(service)
        self.state.metrics.rollout_decides.labels(service).set(int(is_decider))
        events.emit(
            events.Event.ROLLOUT_DECIDER, service=service, decides=int(is_decider)
        )

    def _decider(self, run: runs.Run) -> decider.Decider:
        if run not in self._decider_by_run:
            writer = status_writer.StatusWriter(
                self.state, self.source, run.order, self.tasks
            )
            self._decider_by_run[run] = decider.Decider(
                self.state, self.fleet, self.quorum, writer, run
            )
        return self._decider_by_run[run]

    def _runs(self) -> list[runs.Run]:
        """Return all runs, ended ones last, as the number of notes is bounded."""
        all_runs = self.state.rollouts.run_by_service.values()
        return sorted(all_runs, key=lambda run: run.final is not None)

    def _drop_old_deciders(self, all_runs: list[runs.Run]) -> None:
        for run in [run for run in self._decider_by_run if run not in all_runs]:
            del self._decider_by_run[run]

    # Messages to peers

    def _announce_phase(self) -> None:
        """Announce a phase begun by this gateway to every gateway at once."""
        # Receivers pass it on in their gossip only: if each of them announced it,
        # messages would grow with the square of the fleet size.
        self._announce_rounds = ANNOUNCE_ROUNDS
        self._publish_phases(self._runs())

    def _publish_phases(self, all_runs: list[runs.Run]) -> None:
        """Set the phases that gossip carries; announce new ones."""
        advanced = [
            run for run in all_runs if run.phase is not rollout_notes.Phase.RUNNING
        ]
        notes = tuple(
            run.phase_note() for run in advanced[: rollout_notes.NOTES_PER_MESSAGE]
        )
        self.state.gossip.rollout_phases = notes
        if self._announce_rounds:
            self._announce_rounds -= 1
            self._send(list(self.state.gossip.known_by_host), None)

    def _send_evidence(
        self,
        run: runs.Run,
        pool: upstream_pool.Pool,
        candidates: list[ids.HostId],
        now: ids.Instant,
    ) -> None:
        """Send the counts to the decider and to some other gateways."""
        active = self.fleet.active_zones()
        local = self.state.local_member.host
        if not run.split.answered and local not in active:
            return
        # A new record: it also says whether this gateway has applied a phase just set.
        record = run.record(pool, self._left_s(run, now))
        recipients = decider_rules.recipients(
            {*active} - {local}, candidates, self.state.rng
        )
        self._send(recipients, record)

    def _send(
        self, hosts: list[ids.HostId], record: rollout_notes.EvidenceRecord | None
    ) -> None:
        gossip_state = self.state.gossip
        message = messages.Message(
            gossip_state.local,
            0,
            reads_source=self.state.reads_source,
            rollout_phases=gossip_state.rollout_phases,
            evidence=record,
        )
        known = gossip_state.known_by_host
        targets = [known[host].record.peer_address for host in hosts if host in known]
        if targets:
            self.link.send(message, targets)
