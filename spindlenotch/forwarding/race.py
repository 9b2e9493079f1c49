"""
The tries of one request, from its first grant to an answer or a refusal.

Starts the first try, hedges one that is overdue, retries one that failed, and
passes on the first good head. What the end of a try means is judged by
``judgement``; whether another may follow is up to the balancer.
"""

import asyncio
import typing
from collections import abc

from spindlenotch import clock, events, ids, metrics, ports
from spindlenotch.decisions import quarantine, verdicts
from spindlenotch.forwarding import (
    crash_watch,
    exchanges,
    granting,
    jobs,
    judgement,
    sending,
    signal_events,
    trials,
)
from spindlenotch.kernel import outcomes, upstream_set, upstreams

#: Seconds after which an upstream that is not heard of is asked again whether it is
#: there, as it may run a request long before it ends, and ends without a reset.
ASK_AGAIN_S = 0.5
#: Why an upstream gets no new work that turned a request away since it is draining.
SAID_DRAINING = "said it is draining"


class UpstreamState(typing.Protocol):
    """What a race needs of the process that it runs in."""

    clock: clock.Clock
    metrics: metrics.Metrics

    def leave_upstream(
        self, service: ids.ServiceName, spec: upstreams.UpstreamSpec, reason: str
    ) -> bool:
        """Give an upstream no new work; tell whether it had work until now."""


class Race:
    """
    The tries of one request; the first good head wins.

    Invariants: ``_grant_by_task`` holds the tries under way; the grant of
    every other try is finished, or held by the exchange that was returned.
    """

    def __init__(
        self,
        *,
        job: jobs.Job,
        state: UpstreamState,
        grants: granting.Grants,
        sender: sending.Sender,
        watch: crash_watch.CrashWatch,
        trials: trials.Trials,
        on_drain_notice: abc.Callable[[], None] | None,
    ) -> None:
        self.job = job
        self.state = state
        self.grants = grants
        self.sender = sender
        self.watch = watch
        self.trials = trials
        self.on_drain_notice = on_drain_notice
        self._grant_by_task: dict[sending.TryTask, verdicts.Grant] = {}
        self._may_have_run = False
        self._ask_at = ids.Instant(0.0)
        self._reason = outcomes.Reason.NO_UPSTREAM
        self._retry_after_s: float | None = None

    async def run(self, first: verdicts.Grant) -> exchanges.Exchange | outcomes.Refusal:
        """Send the first try and those that follow from it."""
        newest = first
        self._start(first)
        try:
            while self._grant_by_task:
                done, _ = await asyncio.wait(
                    self._grant_by_task,
                    timeout=self._check_in_s(newest),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if self._deadline_passed():
                    self._may_have_run = True
                    return self._refusal(outcomes.Reason.DEADLINE_PASSED)
                if not done:
                    self._ask_after(newest)
                    newest = self._hedge(newest)
                for task in done:
                    exchange = await self._end_try(task)
                    if exchange is not None:
                        return exchange
            return self._refusal(self._reason)
        finally:
            self._cancel_rest()

    def _start(self, grant: verdicts.Grant) -> None:
        self.watch.marks.sent(self.job, grant)
        task = self.sender.start(self.job, grant, self._reason)
        self._grant_by_task[task] = grant

    def _check_in_s(self, newest: verdicts.Grant) -> float:
        """Return the seconds until the newest try is looked at again."""
        now = self.state.clock.now()
        check = self.job.balancer.next_check(newest, now)
        return max(0.0, min(check, self.job.call.deadline) - now)

    def _deadline_passed(self) -> bool:
        return self.state.clock.now() >= self.job.call.deadline

    def _ask_after(self, grant: verdicts.Grant) -> None:
        """Find out, now and then, whether an upstream has ended without a sign."""
        now = self.state.clock.now()
        if now < self._ask_at or not self.job.balancer.seems_ended(grant, now):
            return
        self._ask_at = ids.later(now, ASK_AGAIN_S)
        self.watch.lost(self.job, grant)

    def _hedge(self, newest: verdicts.Grant) -> verdicts.Grant:
        """Send a second copy if the newest try is overdue; return the newest."""
        if self.trials.standing(self.job) is not quarantine.Standing.CLEAR:
            # Of a request that ends what runs it each copy costs an upstream.
            return newest
        hedge = self.job.balancer.hedge(newest, self.state.clock.now())
        if hedge is None:
            return newest
        self._start(hedge)
        return hedge

    async def _end_try(self, task: sending.TryTask) -> exchanges.Exchange | None:
        """Judge a try that ended; return its answer if that is the request's."""
        grant = self._grant_by_task.pop(task)
        answer = task.result()
        if isinstance(answer, ports.UpstreamFault):
            await self._end_with_fault(grant, self._told_apart(answer))
            return None
        if answer.draining:
            self._note_drain(grant, SAID_DRAINING)
        end = judgement.end_of_answer(answer)
        self._take_signals(grant, answer, end)
        if end is judgement.SHED:
            await self._end_shed(grant, answer)
            return None
        exchange = exchanges.Exchange(self.grants, self.watch, self.job, grant, answer)
        if end is judgement.FAILED_ANSWER and await self._is_replaced(exchange):
            return None
        return exchange

    async def _is_replaced(self, exchange: exchanges.Exchange) -> bool:
        """Do as ``_replace``; end the exchange where the caller leaves meanwhile."""
        try:
            return await self._replace(exchange)
        except asyncio.CancelledError:
            exchange.end(upstreams.Result.CANCELLED)
            raise

    def _told_apart(self, fault: ports.UpstreamFault) -> ports.UpstreamFault:
        """Tell what was not sent too late from what its upstream wants no more."""
        if fault is ports.UpstreamFault.TOO_LATE and not self._deadline_passed():
            return ports.UpstreamFault.WITHDRAWN
        return fault

    async def _end_with_fault(
        self, grant: verdicts.Grant, fault: ports.UpstreamFault
    ) -> None:
        if fault is ports.UpstreamFault.FOREIGN_ANSWER:
            self._record_foreign(grant)
        if fault is ports.UpstreamFault.CONNECTION_LOST:
            self.watch.lost(self.job, grant)
        end = judgement.end_of_fault(fault)
        self._keep(end)
        self.grants.finish(self.job, grant, end.result, None)
        await self._retry(grant, known_not_run=not end.may_have_run)

    async def _end_shed(
        self, grant: verdicts.Grant, answer: ports.UpstreamAnswer
    ) -> None:
        answer.abandon()
        self._keep(judgement.SHED)
        if answer.signals.backoff_s is None:
            self._retry_after_s = answer.retry_after_s
        self.grants.finish(self.job, grant, judgement.SHED.result, answer.report)
        await self._retry(grant, known_not_run=True)

    def _keep(self, end: judgement.TryEnd) -> None:
        """Keep what an ended try adds to the refusal that may follow."""
        self._may_have_run |= end.may_have_run
        if end.reason is not None:
            self._reason = end.reason

    async def _retry(self, grant: verdicts.Grant, *, known_not_run: bool) -> bool:
        """Send a failed try again if that is allowed; tell whether it was."""
        retry = await self.next_grant(grant, known_not_run=known_not_run)
        if retry is None:
            return False
        self._start(retry)
        return True

    async def next_grant(
        self, failed: verdicts.Grant, *, known_not_run: bool
    ) -> verdicts.Grant | None:
        """Return the grant of a retry if the body, the balancer and trials allow it."""
        if not self.job.body_is_whole:
            return None
        if not known_not_run and not await self._may_risk_another():
            return None
        if self.trials.refusal(self.job) is not None:
            return None
        now = self.state.clock.now()
        return self.job.balancer.retry(failed, now, known_not_run=known_not_run)

    async def _may_risk_another(self) -> bool:
        """Tell whether a request that may end what runs it gets another upstream."""
        if self.trials.standing(self.job) is quarantine.Standing.CLEAR:
            return True
        if self._grant_by_task or not self.watch.marks.may_retry(self.job.call.id):
            return False
        return await self.trials.admit(self.job) is None

    async def _replace(self, exchange: exchanges.Exchange) -> bool:
        """
        Drop a server error if another try may still do better.

        That is a try under way or, without one, a retry. Returns False where the
        error is the request's answer.
        """
        self.watch.answered(self.job)
        alone = not self._grant_by_task
        if alone and not await self._retry(exchange.grant, known_not_run=False):
            return False
        self._keep(judgement.FAILED_ANSWER)
        exchange.end(judgement.FAILED_ANSWER.result)
        return True

    def _note_drain(self, grant: verdicts.Grant, reason: str) -> None:
        service = self.job.balancer.service.name
        left_now = self.state.leave_upstream(service, grant.upstream.spec, reason)
        if left_now and self.on_drain_notice is not None:
            self.on_drain_notice()

    def _take_signals(
        self,
        grant: verdicts.Grant,
        answer: ports.UpstreamAnswer,
        end: judgement.TryEnd,
    ) -> None:
        """Take in what an answer says of how much its upstream will take."""
        news = grant.upstream.backpressure.record_signals(
            answer.signals,
            sent_at=grant.sent_at,
            is_whole=end is judgement.GOOD_ANSWER,
            now=self.state.clock.now(),
        )
        service = self.job.balancer.service.name
        signal_events.report(service, grant.upstream.spec.id, news)
        if answer.signals.is_leaving:
            self._note_drain(grant, upstream_set.ANNOUNCED_LEAVING)

    def _record_foreign(self, grant: verdicts.Grant) -> None:
        service = self.job.balancer.service.name
        self.state.metrics.foreign_answers.labels(service).inc()
        events.emit(
            events.Event.FOREIGN_ANSWER,
            service=service,
            upstream=grant.upstream.spec.id,
        )

    def _refusal(self, reason: outcomes.Reason) -> outcomes.Refusal:
        return judgement.refusal(
            reason,
            may_have_run=self._may_have_run,
            room_at=self._room_at(),
        )

    def _room_at(self) -> ids.Instant:
        """
        Return when the caller may come back.

        What one upstream asked of this process says nothing of the others: as long as
        they have room, the caller need not wait for that one.
        """
        now = self.state.clock.now()
        room_at = self.job.balancer.room_at(self.job.call, now)
        return max(room_at, ids.later(now, self._retry_after_s or 0.0))

    def _cancel_rest(self) -> None:
        for task, grant in self._grant_by_task.items():
            if task.done() and not task.cancelled():
                answer = task.result()
                if not isinstance(answer, ports.UpstreamFault):
                    answer.abandon()
            task.cancel()
            self.grants.finish(self.job, grant, upstreams.Result.CANCELLED, None)
        self._grant_by_task.clear()
