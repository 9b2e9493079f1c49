"""
The attempts of one request, from its first grant to an answer or a refusal.

Starts the first attempt, hedges an overdue one, retries a failed one, and returns the
first answer whose head is good. ``classification`` classifies the result of an attempt;
the balancer decides whether another attempt may follow.
"""

import asyncio
import typing
from collections import abc

from spindlenotch import clock, events, ids, metrics, ports
from spindlenotch.decisions import quarantine, verdicts
from spindlenotch.forwarding import (
    backpressure_events,
    classification,
    crash_watch,
    exchanges,
    granting,
    jobs,
    sending,
    trials,
)
from spindlenotch.kernel import outcomes, upstream_set, upstreams

#: Seconds between two liveness checks of an upstream that has gone silent, as it may
#: crash long after the request was sent, and without a connection reset.
LIVENESS_RECHECK_S = 0.5
#: Logged reason for sending no new requests to an upstream whose answer said that it is
#: draining.
SAID_DRAINING = "said it is draining"


class UpstreamState(typing.Protocol):
    """The process state that the attempts of a request use."""

    clock: clock.Clock
    metrics: metrics.Metrics

    def leave_upstream(
        self, service: ids.ServiceName, spec: upstreams.UpstreamSpec, reason: str
    ) -> bool:
        """Stop sending an upstream new requests; return whether it got any before."""


class Attempts:
    """
    The attempts of one request; the first answer whose head is good is used.

    Invariants: ``_grant_by_task`` holds the attempts in flight; the grant of
    every other attempt is finished, or held by the exchange that was returned.
    """

    def __init__(
        self,
        *,
        job: jobs.Job,
        state: UpstreamState,
        grants: granting.Grants,
        sender: sending.Sender,
        crash_detector: crash_watch.CrashDetector,
        trials: trials.Trials,
        on_drain_notice: abc.Callable[[], None] | None,
    ) -> None:
        self.job = job
        self.state = state
        self.grants = grants
        self.sender = sender
        self.crash_detector = crash_detector
        self.trials = trials
        self.on_drain_notice = on_drain_notice
        self._grant_by_task: dict[sending.AttemptTask, verdicts.Grant] = {}
        self._may_have_run = False
        self._next_liveness_check_at = ids.Instant(0.0)
        self._reason = outcomes.Reason.NO_UPSTREAM
        self._retry_after_s: float | None = None

    async def run(self, first: verdicts.Grant) -> exchanges.Exchange | outcomes.Refusal:
        """Send the first attempt, and the hedges and retries that follow."""
        newest = first
        self._start(first)
        try:
            while self._grant_by_task:
                done, _ = await asyncio.wait(
                    self._grant_by_task,
                    timeout=self._check_delay_s(newest),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if self._deadline_passed():
                    self._may_have_run = True
                    return self._refusal(outcomes.Reason.DEADLINE_PASSED)
                if not done:
                    self._check_liveness(newest)
                    newest = self._hedge(newest)
                for task in done:
                    exchange = await self._finish_attempt(task)
                    if exchange is not None:
                        return exchange
            return self._refusal(self._reason)
        finally:
            self._cancel_remaining()

    def _start(self, grant: verdicts.Grant) -> None:
        self.crash_detector.snapshots.record_sent(self.job, grant)
        task = self.sender.start(self.job, grant, self._reason)
        self._grant_by_task[task] = grant

    def _check_delay_s(self, newest: verdicts.Grant) -> float:
        """Return the seconds until the newest attempt is checked again."""
        now = self.state.clock.now()
        check = self.job.balancer.next_check(newest, now)
        return max(0.0, min(check, self.job.call.deadline) - now)

    def _deadline_passed(self) -> bool:
        return self.state.clock.now() >= self.job.call.deadline

    def _check_liveness(self, grant: verdicts.Grant) -> None:
        """Start a periodic check whether a silent upstream has crashed."""
        now = self.state.clock.now()
        if now < self._next_liveness_check_at or not self.job.balancer.may_have_crashed(
            grant, now
        ):
            return
        self._next_liveness_check_at = ids.later(now, LIVENESS_RECHECK_S)
        self.crash_detector.record_lost(self.job, grant)

    def _hedge(self, newest: verdicts.Grant) -> verdicts.Grant:
        """Send a hedge if the newest attempt is overdue; return the newest grant."""
        if self.trials.status(self.job) is not quarantine.CrashStatus.CLEAR:
            # If the request crashes upstreams, each copy costs one more.
            return newest
        hedge = self.job.balancer.hedge(newest, self.state.clock.now())
        if hedge is None:
            return newest
        self._start(hedge)
        return hedge

    async def _finish_attempt(
        self, task: sending.AttemptTask
    ) -> exchanges.Exchange | None:
        """Process the result of an attempt; return its answer if it is final."""
        grant = self._grant_by_task.pop(task)
        answer = task.result()
        if isinstance(answer, ports.UpstreamFault):
            await self._finish_with_fault(grant, self._refine_fault(answer))
            return None
        if answer.draining:
            self._mark_draining(grant, SAID_DRAINING)
        end = classification.classify_answer(answer)
        self._apply_signals(grant, answer, end)
        if end is classification.SHED:
            await self._finish_shed(grant, answer)
            return None
        exchange = exchanges.Exchange(
            self.grants, self.crash_detector, self.job, grant, answer
        )
        if end is classification.FAILED_ANSWER and await self._is_replaced(exchange):
            return None
        return exchange

    async def _is_replaced(self, exchange: exchanges.Exchange) -> bool:
        """Call ``_replace``; end the exchange if the caller disconnects meanwhile."""
        try:
            return await self._replace(exchange)
        except asyncio.CancelledError:
            exchange.end(upstreams.Result.CANCELLED)
            raise

    def _refine_fault(self, fault: ports.UpstreamFault) -> ports.UpstreamFault:
        """Distinguish a passed deadline from an upstream that takes no requests now."""
        if fault is ports.UpstreamFault.TOO_LATE and not self._deadline_passed():
            return ports.UpstreamFault.WITHDRAWN
        return fault

    async def _finish_with_fault(
        self, grant: verdicts.Grant, fault: ports.UpstreamFault
    ) -> None:
        if fault is ports.UpstreamFault.FOREIGN_ANSWER:
            self._record_foreign(grant)
        if fault is ports.UpstreamFault.CONNECTION_LOST:
            self.crash_detector.record_lost(self.job, grant)
        end = classification.classify_fault(fault)
        self._record_outcome(end)
        self.grants.finish(self.job, grant, end.result, None)
        await self._retry(grant, known_not_run=not end.may_have_run)

    async def _finish_shed(
        self, grant: verdicts.Grant, answer: ports.UpstreamAnswer
    ) -> None:
        answer.abandon()
        self._record_outcome(classification.SHED)
        if answer.signals.backoff_s is None:
            self._retry_after_s = answer.retry_after_s
        self.grants.finish(self.job, grant, classification.SHED.result, answer.report)
        await self._retry(grant, known_not_run=True)

    def _record_outcome(self, end: classification.AttemptOutcome) -> None:
        """Record what an attempt adds to the refusal that may follow."""
        self._may_have_run |= end.may_have_run
        if end.reason is not None:
            self._reason = end.reason

    async def _retry(self, grant: verdicts.Grant, *, known_not_run: bool) -> bool:
        """Retry a failed attempt if that is allowed; return whether it was."""
        retry = await self.next_grant(grant, known_not_run=known_not_run)
        if retry is None:
            return False
        self._start(retry)
        return True

    async def next_grant(
        self, failed: verdicts.Grant, *, known_not_run: bool
    ) -> verdicts.Grant | None:
        """Return the grant of a retry if body, balancer and trials allow one."""
        if not self.job.is_body_buffered:
            return None
        if not known_not_run and not await self._may_retry_suspect():
            return None
        if self.trials.refusal(self.job) is not None:
            return None
        now = self.state.clock.now()
        return self.job.balancer.retry(failed, now, known_not_run=known_not_run)

    async def _may_retry_suspect(self) -> bool:
        """Return whether a retry is allowed if the request may crash its upstream."""
        if self.trials.status(self.job) is quarantine.CrashStatus.CLEAR:
            return True
        if self._grant_by_task or not self.crash_detector.snapshots.may_retry(
            self.job.call.id
        ):
            return False
        return await self.trials.admit(self.job) is None

    async def _replace(self, exchange: exchanges.Exchange) -> bool:
        """
        Drop a server error if another attempt may still succeed.

        That is an attempt in flight or, if there is none, a retry. Returns False if the
        error is the request's final answer.
        """
        self.crash_detector.record_answer(self.job)
        no_other_attempt = not self._grant_by_task
        if no_other_attempt and not await self._retry(
            exchange.grant, known_not_run=False
        ):
            return False
        self._record_outcome(classification.FAILED_ANSWER)
        exchange.end(classification.FAILED_ANSWER.result)
        return True

    def _mark_draining(self, grant: verdicts.Grant, reason: str) -> None:
        service = self.job.balancer.service.name
        newly_draining = self.state.leave_upstream(service, grant.upstream.spec, reason)
        if newly_draining and self.on_drain_notice is not None:
            self.on_drain_notice()

    def _apply_signals(
        self,
        grant: verdicts.Grant,
        answer: ports.UpstreamAnswer,
        end: classification.AttemptOutcome,
    ) -> None:
        """Apply the backpressure signals of an answer to its upstream."""
        now = self.state.clock.now()
        changes = grant.upstream.backpressure.record_signals(
            answer.signals,
            sent_at=grant.sent_at,
            is_whole=end is classification.GOOD_ANSWER,
            now=now,
        )
        self.job.balancer.pool.pass_on_signals(grant.upstream, now)
        service = self.job.balancer.service.name
        backpressure_events.report(service, grant.upstream.spec.id, changes)
        if answer.signals.is_leaving:
            self._mark_draining(grant, upstream_set.ANNOUNCED_LEAVING)

    def _record_foreign(self, grant: verdicts.Grant) -> None:
        service = self.job.balancer.service.name
        self.state.metrics.foreign_answers.labels(service).inc()
        events.emit(
            events.Event.FOREIGN_ANSWER,
            service=service,
            upstream=grant.upstream.spec.id,
        )

    def _refusal(self, reason: outcomes.Reason) -> outcomes.Refusal:
        return classification.refusal(
            reason,
            may_have_run=self._may_have_run,
            next_retry_at=self._room_at(),
        )

    def _room_at(self) -> ids.Instant:
        """
        Return when the caller may send the request again.

        A retry delay that one upstream asked of this process does not apply to the
        others: while they have capacity, the caller need not wait for that one.
        """
        now = self.state.clock.now()
        next_retry_at = self.job.balancer.next_retry_at(self.job.call, now)
        return max(next_retry_at, ids.later(now, self._retry_after_s or 0.0))

    def _cancel_remaining(self) -> None:
        for task, grant in self._grant_by_task.items():
            if task.done() and not task.cancelled():
                answer = task.result()
                if not isinstance(answer, ports.UpstreamFault):
                    answer.abandon()
            task.cancel()
            self.grants.finish(self.job, grant, upstreams.Result.CANCELLED, None)
        self._grant_by_task.clear()
