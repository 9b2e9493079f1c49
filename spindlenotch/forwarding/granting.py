"""
Acquires grants from the balancers for requests, and returns them.

A request that gets no upstream slot waits here for its grant. While any request waits,
a timer checks the queues, since it may take long until the next answer ends.
"""

import asyncio
import typing
from collections import abc

from spindlenotch import clock, events, ids
from spindlenotch.decisions import balancer, verdicts
from spindlenotch.forwarding import crash_watch, jobs
from spindlenotch.kernel import outcomes, upstreams

#: Longest interval between two checks of the queues while calls wait, in seconds.
MAX_QUEUE_CHECK_S = 0.02
#: Shortest interval between two checks of the queues, in seconds.
MIN_QUEUE_CHECK_S = 0.001

Verdict = verdicts.Grant | outcomes.Refusal


def queue_check_delay_s(
    balancers: abc.Iterable[balancer.Balancer], now: ids.Instant
) -> float:
    """
    Return the seconds until the queues must be checked again.

    A call that is sent later than scheduled delays all calls behind it: those that were
    queued because they would be sent in time would then be refused.
    """
    dispatch_instants = [
        service_balancer.next_dispatch_at(now) for service_balancer in balancers
    ]
    due_in_s = [
        dispatch_at - now for dispatch_at in dispatch_instants if dispatch_at > now
    ]
    return max(MIN_QUEUE_CHECK_S, min([MAX_QUEUE_CHECK_S, *due_in_s]))


class GrantState(typing.Protocol):
    """The process state that grants use."""

    clock: clock.Clock
    balancer_by_service: dict[ids.ServiceName, balancer.Balancer]


class Grants:
    """
    The grants of one process.

    Invariants: a waiting request gets exactly one verdict; a grant that is made in the
    same iteration of the event loop in which its request is cancelled, before or after
    that, is returned here.
    """

    def __init__(
        self, state: GrantState, crash_detector: crash_watch.CrashDetector
    ) -> None:
        self.state = state
        self.crash_detector = crash_detector
        self._future_by_call: dict[ids.CallId, asyncio.Future[Verdict]] = {}
        self._queue_check: asyncio.TimerHandle | None = None

    async def acquire(self, job: jobs.Job) -> Verdict:
        """Acquire the first grant of a new request, which may wait in the queue."""
        offered = job.balancer.offer(job.call, self.state.clock.now())
        if isinstance(offered, verdicts.Waiting):
            return await self._wait(job, offered)
        return offered

    def finish(
        self,
        job: jobs.Job,
        grant: verdicts.Grant,
        result: upstreams.Result,
        report: upstreams.LoadReport | None,
    ) -> None:
        """Return a grant with its result; the slot may go to a waiting call."""
        now = self.state.clock.now()
        self.crash_detector.snapshots.drop(grant)
        try:
            settlements = job.balancer.finish(grant, result, report, now)
        except Exception as error:
            # The slot is free. The request still gets the response of its upstream,
            # which may have run it.
            self._report_error(job, grant, error)
            settlements = job.balancer.settle(now)
        self._settle(settlements)

    def release(self, job: jobs.Job) -> None:
        """Return the grants of a request that failed before it finished them."""
        self._settle(job.balancer.release(job.call.id, self.state.clock.now()))

    def _report_error(
        self, job: jobs.Job, grant: verdicts.Grant, error: Exception
    ) -> None:
        events.emit(
            events.Event.INTERNAL_ERROR,
            service=job.balancer.service.name,
            upstream=grant.upstream.spec.id,
            error=repr(error),
        )

    def _settle(self, settlements: list[verdicts.Settlement]) -> None:
        for settlement in settlements:
            future = self._future_by_call.pop(settlement.call.id, None)
            if future is not None and not future.done():
                future.set_result(settlement.verdict)

    async def _wait(self, job: jobs.Job, offered: verdicts.Waiting) -> Verdict:
        if offered.displaced is not None:
            self._settle([offered.displaced])
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Verdict] = loop.create_future()
        self._future_by_call[job.call.id] = future
        self._schedule_queue_check()
        try:
            return await future
        except asyncio.CancelledError:
            self._withdraw(job)
            raise

    def _withdraw(self, job: jobs.Job) -> None:
        self._future_by_call.pop(job.call.id, None)
        job.balancer.withdraw(job.call.id)
        self.release(job)

    def _schedule_queue_check(self) -> None:
        if self._queue_check is None:
            loop = asyncio.get_running_loop()
            balancers = self.state.balancer_by_service.values()
            delay_s = queue_check_delay_s(balancers, self.state.clock.now())
            self._queue_check = loop.call_later(delay_s, self._check_queues)

    def _check_queues(self) -> None:
        self._queue_check = None
        now = self.state.clock.now()
        for service_balancer in self.state.balancer_by_service.values():
            if len(service_balancer.queue):
                self._settle(service_balancer.settle(now))
                self._settle(service_balancer.refuse_hopeless(now))
        if self._future_by_call:
            self._schedule_queue_check()
