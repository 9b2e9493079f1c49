"""
What a gateway tells of each request's end: log lines and counters.

Failures and refusals are told one by one (within the limits of ``log_sink``),
successes as a sample by request id, so that all processes tell of the same ones.
"""

import zlib

from spindlenotch import events
from spindlenotch.forwarding import exchanges, jobs
from spindlenotch.gateway import state as states
from spindlenotch.kernel import outcomes

#: One in so many answered requests is logged, chosen by its id.
SERVED_SAMPLE = 64
UPSTREAM_FAILED = "the upstream's own answer"


class RequestLog:
    """Tells how requests ended."""

    def __init__(self, state: states.GatewayState) -> None:
        self.state = state

    def served(
        self, request_id: str, job: jobs.Job, exchange: exchanges.Exchange
    ) -> None:
        """Tell of an answer that was passed on, if its id is in the sample."""
        if zlib.crc32(request_id.encode()) % SERVED_SAMPLE:
            return
        grant = exchange.grant
        events.emit(
            events.Event.REQUEST_SERVED,
            request=request_id,
            route=job.call.latency_key,
            service=job.balancer.service.name,
            upstream=grant.upstream.spec.id,
            kind=grant.kind.value,
            status=exchange.answer.status,
            pace=round(grant.slowdown, 2),
            waited_s=round(grant.sent_at - job.call.arrived_at, 4),
            took_s=round(self._took_s(job), 4),
            version=self.state.version,
        )

    def failed_upstream(
        self, request_id: str, job: jobs.Job, exchange: exchanges.Exchange
    ) -> None:
        """Tell of an upstream's own failure that was passed on."""
        events.emit(
            events.Event.REQUEST_FAILED,
            request=request_id,
            service=job.balancer.service.name,
            upstream=exchange.grant.upstream.spec.id,
            status=exchange.answer.status,
            reason=UPSTREAM_FAILED,
        )

    def refused(
        self,
        request_id: str,
        job: jobs.Job,
        refusal: outcomes.Refusal,
        wait_s: float,
    ) -> None:
        """Tell of a request that has not run and may come back in ``wait_s``."""
        self.count(job, refusal.outcome, refusal.reason)
        events.emit(
            events.Event.REQUEST_REFUSED,
            request=request_id,
            service=job.balancer.service.name,
            reason=refusal.reason.value,
            waiting=len(job.balancer.queue),
            usable=len(job.balancer.pool.usable_order),
            version=self.state.version,
            retry_after_s=round(wait_s, 3),
        )

    def failed(
        self,
        request_id: str,
        job: jobs.Job,
        status: int,
        reason: outcomes.Reason,
    ) -> None:
        """Tell of a final answer of our own that promises nothing."""
        self.count(job, outcomes.Outcome.UNKNOWN, reason)
        events.emit(
            events.Event.REQUEST_FAILED,
            request=request_id,
            service=job.balancer.service.name,
            status=status,
            reason=reason.value,
            after_s=round(self._took_s(job), 4),
            version=self.state.version,
        )

    def count(
        self, job: jobs.Job, outcome: outcomes.Outcome, reason: outcomes.Reason
    ) -> None:
        """Count the end of a request."""
        service = job.balancer.service.name
        self.state.metrics.requests.labels(service, outcome.value, reason.value).inc()
        self.state.metrics.request_time.labels(service).observe(self._took_s(job))

    def _took_s(self, job: jobs.Job) -> float:
        return self.state.clock.now() - job.call.arrived_at
