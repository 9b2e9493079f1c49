"""
The way of one request from the balancer to an upstream and back.

Carries out what the balancer grants: sends, waits in the queue, hedges and
retries, and tells the balancer how each try ended. Says of every failure
whether the request ran. Sits between the caller port and the upstream port.
"""

import asyncio
import dataclasses
import typing
from collections import abc

from spindlenotch import clock as clocks, events, headers, ids, metrics, ports
from spindlenotch.decisions import balancer, queueing
from spindlenotch.kernel import outcomes, upstreams, waiting

#: How often the queue is looked at while calls wait and no answer ends.
QUEUE_CHECK_S = 0.02
#: Taken off the deadline that is passed on, for the way back.
WAY_BACK_S = 0.002
FAILED_STATUS = 500
#: Why a request was sent again where no fault of the connection was the cause.
OVERDUE = "overdue"
BAD_ANSWER = "bad-answer"

_REASON_BY_FAULT = {
    ports.UpstreamFault.CONNECT_FAILED: outcomes.Reason.CONNECT_FAILED,
    ports.UpstreamFault.TOO_LATE: outcomes.Reason.DEADLINE_PASSED,
    ports.UpstreamFault.CONNECTION_LOST: outcomes.Reason.CONNECTION_LOST,
    ports.UpstreamFault.FOREIGN_ANSWER: outcomes.Reason.FOREIGN_ANSWER,
    ports.UpstreamFault.DRAINING: outcomes.Reason.UPSTREAM_SHED,
}
_NOT_RUN_FAULTS = (ports.UpstreamFault.CONNECT_FAILED, ports.UpstreamFault.TOO_LATE)


class PathState(typing.Protocol):
    """What the data path needs of the process that it runs in."""

    clock: clocks.Clock
    metrics: metrics.Metrics
    balancer_by_service: dict[ids.ServiceName, balancer.Balancer]

    def leave_upstream(
        self, service: ids.ServiceName, spec: upstreams.UpstreamSpec, reason: str
    ) -> bool:
        """Give an upstream no new work; tell whether that was news."""


@dataclasses.dataclass(frozen=True, slots=True)
class Labels:
    """
    The headers that are set anew for one try, and the id it goes by.

    An answer that bears another id is foreign.
    """

    request_id: str
    headers: list[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A request on its way to an upstream."""

    service: balancer.Balancer
    call: waiting.Call
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes | abc.AsyncIterable[bytes] | None
    hops: int
    fresh: bool


@dataclasses.dataclass(slots=True)
class Exchange:
    """An answer whose head is good; the slot is held until ``end``."""

    path: "DataPath"
    job: Job
    grant: balancer.Grant
    answer: ports.UpstreamAnswer
    ended: bool = False

    async def chunk(self) -> bytes | ports.UpstreamFault:
        """Return the next piece of the body, and end with the last."""
        try:
            piece = await self.answer.chunk()
        except asyncio.CancelledError:
            self.end(upstreams.Result.CANCELLED)
            raise
        if isinstance(piece, ports.UpstreamFault):
            self.end(upstreams.Result.FAILED)
        elif not piece:
            failed = self.answer.status >= FAILED_STATUS
            result = upstreams.Result.FAILED if failed else upstreams.Result.ANSWERED
            self.end(result)
        return piece

    def end(self, result: upstreams.Result) -> None:
        """Give the slot back; only the first call counts."""
        if self.ended:
            return
        self.ended = True
        if result is not upstreams.Result.ANSWERED:
            self.answer.abandon()
        self.path.finish(self.job, self.grant, result, self.answer.report)


class DataPath:
    """
    Carries requests for one entry.

    Invariant: every grant that is taken from a balancer is finished exactly
    once, whatever ends the request.
    """

    def __init__(
        self,
        state: PathState,
        port: ports.UpstreamPort,
        label: abc.Callable[[Job, balancer.Grant, float], Labels] | None = None,
    ) -> None:
        self.state = state
        self.port = port
        self.label = label or own_labels
        self.future_by_call: dict[
            ids.CallId, asyncio.Future[balancer.Grant | outcomes.Refusal]
        ] = {}
        #: Called when an upstream is found to be leaving, to tell the peers.
        self.on_drain_notice: abc.Callable[[], None] = _nothing
        self._queue_check: asyncio.TimerHandle | None = None

    async def dispatch(self, job: Job) -> Exchange | outcomes.Refusal:
        """Get a request its answer's head, or a final refusal."""
        try:
            return await self.begin(job)
        finally:
            job.service.forget(job.call.id)

    async def begin(self, job: Job) -> Exchange | outcomes.Refusal:
        """
        Do the same for a request that may go on with ``again``.

        The caller ends it with ``job.service.forget``: until then the tries of
        the call count together.
        """
        offered = job.service.offer(job.call, self.state.clock.now())
        if isinstance(offered, balancer.Waiting):
            offered = await self._wait(job, offered)
        if isinstance(offered, outcomes.Refusal):
            return offered
        return await _Race(self, job).run(offered)

    async def again(
        self, job: Job, failed: balancer.Grant
    ) -> Exchange | outcomes.Refusal:
        """Get another answer in place of one whose body came to a bad end."""
        grant = job.service.retry(failed, self.state.clock.now())
        if grant is None:
            return outcomes.unknown(outcomes.Reason.CONNECTION_LOST)
        return await _Race(self, job).run(grant)

    def finish(
        self,
        job: Job,
        grant: balancer.Grant,
        result: upstreams.Result,
        report: upstreams.LoadReport | None,
    ) -> None:
        """Tell the balancer how a try ended and wake whom that lets in."""
        now = self.state.clock.now()
        self.settle(job.service.finish(grant, result, report, now))

    def settle(self, settlements: list[balancer.Settlement]) -> None:
        """Hand verdicts to the requests that wait for them."""
        for settlement in settlements:
            future = self.future_by_call.pop(settlement.call.id, None)
            if future is not None and not future.done():
                future.set_result(settlement.verdict)

    async def _wait(
        self, job: Job, offered: balancer.Waiting
    ) -> balancer.Grant | outcomes.Refusal:
        if offered.displaced is not None:
            self.settle([offered.displaced])
        loop = asyncio.get_running_loop()
        future: asyncio.Future[balancer.Grant | outcomes.Refusal]
        future = loop.create_future()
        self.future_by_call[job.call.id] = future
        self._schedule_queue_check()
        try:
            return await future
        except asyncio.CancelledError:
            self._withdraw(job, future)
            raise

    def _withdraw(
        self, job: Job, future: "asyncio.Future[balancer.Grant | outcomes.Refusal]"
    ) -> None:
        self.future_by_call.pop(job.call.id, None)
        job.service.withdraw(job.call.id)
        # The grant may have come in the same turn of the loop.
        if future.done() and not future.cancelled():
            verdict = future.result()
            if isinstance(verdict, balancer.Grant):
                self.finish(job, verdict, upstreams.Result.CANCELLED, None)

    def _schedule_queue_check(self) -> None:
        if self._queue_check is None:
            loop = asyncio.get_running_loop()
            self._queue_check = loop.call_later(QUEUE_CHECK_S, self._check_queues)

    def _check_queues(self) -> None:
        self._queue_check = None
        now = self.state.clock.now()
        for service in self.state.balancer_by_service.values():
            if len(service.queue):
                self.settle(service.settle(now))
                self.settle(service.give_up(now))
        if self.future_by_call:
            self._schedule_queue_check()


def own_labels(job: Job, grant: balancer.Grant, left_s: float) -> Labels:
    """Name a try as the product's own protocol does."""
    request_id = f"{job.call.id}.{grant.kind.value}"
    extra = [
        (headers.TIMEOUT_MS, str(int(left_s * 1000))),
        (headers.REQUEST_ID, request_id),
        (headers.HOPS, str(job.hops)),
    ]
    if grant.kind is not balancer.Kind.FIRST or not job.call.repeatable:
        extra.append((headers.NO_RETRY, "1"))
    return Labels(request_id, extra)


def _nothing() -> None:
    """Stand in for a listener that is not set."""


class _Race:
    """The tries of one request; the first good head wins."""

    def __init__(self, path: DataPath, job: Job) -> None:
        self.path = path
        self.job = job
        self.grant_by_task: dict[
            asyncio.Task[ports.UpstreamAnswer | ports.UpstreamFault], balancer.Grant
        ] = {}
        self.may_have_run = False
        self.reason = outcomes.Reason.NO_UPSTREAM
        self.retry_after_s: float | None = None

    async def run(self, first: balancer.Grant) -> Exchange | outcomes.Refusal:
        """Send the first try and what follows from it."""
        newest = first
        self._start(first)
        try:
            while self.grant_by_task:
                done, _ = await asyncio.wait(
                    self.grant_by_task,
                    timeout=self._patience(newest),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if self._late():
                    return self._refusal(outcomes.Reason.DEADLINE_PASSED, True)
                if not done:
                    newest = self._hedge(newest)
                for task in done:
                    exchange = self._judge(task)
                    if exchange is not None:
                        return exchange
            return self._refusal(self.reason, self.may_have_run)
        finally:
            self._cancel_rest()

    def _start(self, grant: balancer.Grant) -> None:
        request = self._request(grant)
        task = asyncio.ensure_future(self.path.port.send(request))
        self.grant_by_task[task] = grant
        if grant.kind is not balancer.Kind.FIRST:
            self._note_extra(grant, request.request_id)

    def _note_extra(self, grant: balancer.Grant, request_id: str) -> None:
        service = self.job.service
        kind = grant.kind.value
        self.path.state.metrics.extra_sends.labels(service.service.name, kind).inc()
        reason = self.reason.value
        if grant.kind is balancer.Kind.HEDGE:
            reason = OVERDUE
        elif self.reason is outcomes.Reason.NO_UPSTREAM:
            # Nothing failed on the way: the answer itself was bad.
            reason = BAD_ANSWER
        events.emit(
            events.Event.REQUEST_SENT_AGAIN,
            request=request_id,
            service=service.service.name,
            upstream=grant.upstream.spec.id,
            kind=kind,
            reason=reason,
            pace=round(grant.slowdown, 2),
            told_s_ago=round(grant.sent_at - grant.upstream.report_at, 3),
            extra_left=round(service.retries.balance, 1),
        )

    def _request(self, grant: balancer.Grant) -> ports.UpstreamRequest:
        job = self.job
        clock = self.path.state.clock
        left_s = max(0.001, job.call.deadline - clock.now() - WAY_BACK_S)
        labels = self.path.label(job, grant, left_s)
        deadline = job.call.deadline
        return ports.UpstreamRequest(
            grant.upstream.spec.address,
            job.method,
            job.target,
            [*job.headers, *labels.headers],
            job.body,
            labels.request_id,
            job.fresh,
            lambda: clock.now() < deadline,
        )

    def _patience(self, newest: balancer.Grant) -> float:
        now = self.path.state.clock.now()
        check = self.job.service.next_check(newest, now)
        return max(0.0, min(check, self.job.call.deadline) - now)

    def _late(self) -> bool:
        return self.path.state.clock.now() >= self.job.call.deadline

    def _hedge(self, newest: balancer.Grant) -> balancer.Grant:
        hedge = self.job.service.hedge(newest, self.path.state.clock.now())
        if hedge is None:
            return newest
        self._start(hedge)
        return hedge

    def _judge(
        self, task: "asyncio.Task[ports.UpstreamAnswer | ports.UpstreamFault]"
    ) -> Exchange | None:
        grant = self.grant_by_task.pop(task)
        answer = task.result()
        if isinstance(answer, ports.UpstreamFault):
            self._failed(grant, answer)
            return None
        self._heed_state(grant, answer)
        if answer.not_run:
            self._shed(grant, answer)
            return None
        exchange = Exchange(self.path, self.job, grant, answer)
        if answer.status >= FAILED_STATUS and self._another_try_instead(exchange):
            return None
        return exchange

    def _failed(self, grant: balancer.Grant, fault: ports.UpstreamFault) -> None:
        not_run = fault in _NOT_RUN_FAULTS
        result = upstreams.Result.FAILED
        if fault is ports.UpstreamFault.CONNECT_FAILED:
            result = upstreams.Result.CONNECT_FAILED
        if fault is ports.UpstreamFault.TOO_LATE:
            result = upstreams.Result.CANCELLED
        if fault is ports.UpstreamFault.FOREIGN_ANSWER:
            self._foreign(grant)
        self.may_have_run |= not not_run
        self.reason = _REASON_BY_FAULT[fault]
        self.path.finish(self.job, grant, result, None)
        self._retry(grant, known_not_run=not_run)

    def _shed(self, grant: balancer.Grant, answer: ports.UpstreamAnswer) -> None:
        answer.abandon()
        self.reason = outcomes.Reason.UPSTREAM_SHED
        self.retry_after_s = answer.retry_after_s
        self.path.finish(self.job, grant, upstreams.Result.SHED, answer.report)
        self._retry(grant, known_not_run=True)

    def _retry(self, grant: balancer.Grant, *, known_not_run: bool) -> None:
        body = self.job.body
        if body is not None and not isinstance(body, bytes):
            # A streamed body is read only once.
            return
        now = self.path.state.clock.now()
        retry = self.job.service.retry(grant, now, known_not_run=known_not_run)
        if retry is not None:
            self._start(retry)

    def _another_try_instead(self, exchange: Exchange) -> bool:
        now = self.path.state.clock.now()
        if self.grant_by_task:
            retry = None
        else:
            retry = self.job.service.retry(exchange.grant, now)
            if retry is None:
                return False
        self.may_have_run = True
        exchange.end(upstreams.Result.FAILED)
        if retry is not None:
            self._start(retry)
        return True

    def _heed_state(self, grant: balancer.Grant, answer: ports.UpstreamAnswer) -> None:
        if answer.draining:
            service = self.job.service.service.name
            if self.path.state.leave_upstream(
                service, grant.upstream.spec, "said it is draining"
            ):
                self.path.on_drain_notice()

    def _foreign(self, grant: balancer.Grant) -> None:
        service = self.job.service.service.name
        self.path.state.metrics.foreign_answers.labels(service).inc()
        events.emit(
            events.Event.FOREIGN_ANSWER,
            service=service,
            upstream=grant.upstream.spec.id,
        )

    def _refusal(self, reason: outcomes.Reason, may_have_run: bool) -> outcomes.Refusal:
        retry_at = None
        if reason is not outcomes.Reason.DEADLINE_PASSED:
            wait_s = self.retry_after_s or queueing.LEAST_RETRY_AFTER_S
            retry_at = ids.later(self.path.state.clock.now(), wait_s)
        if may_have_run:
            return outcomes.unknown(reason, retry_at)
        return outcomes.not_run(reason, retry_at)

    def _cancel_rest(self) -> None:
        for task, grant in self.grant_by_task.items():
            if task.done() and not task.cancelled():
                answer = task.result()
                if not isinstance(answer, ports.UpstreamFault):
                    answer.abandon()
            task.cancel()
            self.path.finish(self.job, grant, upstreams.Result.CANCELLED, None)
        self.grant_by_task.clear()
