"""
Sends one attempt of a request with its own headers and remaining time.

Retries and hedges are counted and logged with their cause.
"""

import asyncio
import typing

from spindlenotch import clock, events, metrics, ports
from spindlenotch.decisions import verdicts
from spindlenotch.forwarding import jobs
from spindlenotch.kernel import outcomes

#: Subtracted from the timeout that the upstream is given, so that its answer still
#: arrives before the deadline, in seconds.
RESPONSE_TRANSIT_S = 0.002
#: Shortest timeout that an upstream is given, in seconds: its header is in whole
#: milliseconds.
MIN_TIMEOUT_S = 0.001
#: Causes of a retry or hedge that are not refusal reasons.
CAUSE_OVERDUE = "overdue"
CAUSE_BAD_ANSWER = "bad-answer"

#: An attempt in flight.
AttemptTask = asyncio.Task[ports.UpstreamAnswer | ports.UpstreamFault]


class SendState(typing.Protocol):
    """The process state that sending uses."""

    clock: clock.Clock
    metrics: metrics.Metrics


class Sender:
    """Sends attempts through one upstream port."""

    def __init__(
        self,
        state: SendState,
        port: ports.UpstreamPort,
        make_headers: jobs.AttemptHeadersFactory,
    ) -> None:
        self.state = state
        self.port = port
        self.make_headers = make_headers

    def start(
        self, job: jobs.Job, grant: verdicts.Grant, last_reason: outcomes.Reason
    ) -> AttemptTask:
        """
        Start the attempt that ``grant`` allows.

        ``last_reason`` is why the attempt before failed; it is ``NO_UPSTREAM`` for
        a first attempt, and if none before got a fault or was shed.
        """
        request = self.request(job, grant)
        task = asyncio.ensure_future(self.port.send(request))
        if grant.kind is not verdicts.Kind.FIRST:
            self._record_extra(job, grant, request.request_id, last_reason)
        return task

    def request(self, job: jobs.Job, grant: verdicts.Grant) -> ports.UpstreamRequest:
        """Build the request that is sent to the upstream of ``grant``."""
        steady_clock = self.state.clock
        deadline = job.call.deadline
        left_s = max(MIN_TIMEOUT_S, deadline - steady_clock.now() - RESPONSE_TRANSIT_S)
        attempt_headers = self.make_headers(job, grant, left_s)
        return ports.UpstreamRequest(
            address=grant.upstream.spec.address,
            method=job.method,
            target=job.target,
            headers=[*job.headers, *attempt_headers.headers],
            body=job.body,
            request_id=attempt_headers.request_id,
            needs_new_connection=job.needs_new_connection,
            may_send=lambda: (
                steady_clock.now() < deadline
                # The upstream may have asked for a backoff while connecting.
                and not grant.upstream.backpressure.in_backoff(steady_clock.now())
            ),
        )

    def _record_extra(
        self,
        job: jobs.Job,
        grant: verdicts.Grant,
        request_id: str,
        last_reason: outcomes.Reason,
    ) -> None:
        name = job.balancer.service.name
        kind = grant.kind.value
        cause = _cause(grant.kind, last_reason)
        self.state.metrics.extra_sends.labels(name, kind).inc()
        if grant.taken_from is not None:
            part = grant.taken_from.value
            self.state.metrics.extra_taken.labels(name, part, cause).inc()
        events.emit(
            events.Event.REQUEST_SENT_AGAIN,
            request=request_id,
            service=name,
            upstream=grant.upstream.spec.id,
            kind=kind,
            reason=cause,
            pace=round(grant.slowdown, 2),
            told_s_ago=round(grant.sent_at - grant.upstream.report_at, 3),
            extra_left=round(job.balancer.retries.balance, 1),
        )


def _cause(kind: verdicts.Kind, last_reason: outcomes.Reason) -> str:
    """Return the logged cause of a retry or hedge."""
    if kind is verdicts.Kind.HEDGE:
        return CAUSE_OVERDUE
    if last_reason is outcomes.Reason.NO_UPSTREAM:
        # No attempt got a fault or was shed: the answer itself was bad.
        return CAUSE_BAD_ANSWER
    cause: str = last_reason.value
    return cause
