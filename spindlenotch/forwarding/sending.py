"""
Sends one try of a request: labels, remaining time, connection.

A try that is not the first is counted and logged with its cause.
"""

import asyncio
import typing

from spindlenotch import clock, events, metrics, ports
from spindlenotch.decisions import verdicts
from spindlenotch.forwarding import jobs
from spindlenotch.kernel import outcomes

#: Taken off the time that the upstream is given, so that its answer can still get back
#: before the deadline, in seconds.
RETURN_TIME_S = 0.002
#: Least time that an upstream is given, in seconds: the header that carries it
#: counts whole milliseconds.
LEAST_TIME_S = 0.001
#: Causes of another try that are no reason of a refusal.
CAUSE_OVERDUE = "overdue"
CAUSE_BAD_ANSWER = "bad-answer"

#: A try that is under way.
TryTask = asyncio.Task[ports.UpstreamAnswer | ports.UpstreamFault]


class SendState(typing.Protocol):
    """What sending needs of the process that it runs in."""

    clock: clock.Clock
    metrics: metrics.Metrics


class Sender:
    """Sends tries through one upstream port."""

    def __init__(
        self, state: SendState, port: ports.UpstreamPort, label: jobs.Labeller
    ) -> None:
        self.state = state
        self.port = port
        self.label = label

    def start(
        self, job: jobs.Job, grant: verdicts.Grant, last_reason: outcomes.Reason
    ) -> TryTask:
        """
        Start the try that ``grant`` allows.

        ``last_reason`` is why the try before failed; for a first try, and
        where none failed on the way, it is ``NO_UPSTREAM``.
        """
        request = self.request(job, grant)
        task = asyncio.ensure_future(self.port.send(request))
        if grant.kind is not verdicts.Kind.FIRST:
            self._record_extra(job, grant, request.request_id, last_reason)
        return task

    def request(self, job: jobs.Job, grant: verdicts.Grant) -> ports.UpstreamRequest:
        """Return what goes to the upstream of ``grant``."""
        steady_clock = self.state.clock
        deadline = job.call.deadline
        left_s = max(LEAST_TIME_S, deadline - steady_clock.now() - RETURN_TIME_S)
        labels = self.label(job, grant, left_s)
        return ports.UpstreamRequest(
            address=grant.upstream.spec.address,
            method=job.method,
            target=job.target,
            headers=[*job.headers, *labels.headers],
            body=job.body,
            request_id=labels.request_id,
            needs_new_connection=job.needs_new_connection,
            may_send=lambda: (
                steady_clock.now() < deadline
                # It may have asked for rest while the connection came up.
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
    """Say in the log why a request is sent again."""
    if kind is verdicts.Kind.HEDGE:
        return CAUSE_OVERDUE
    if last_reason is outcomes.Reason.NO_UPSTREAM:
        # Nothing failed on the way: the answer itself was bad.
        return CAUSE_BAD_ANSWER
    cause: str = last_reason.value
    return cause
