"""
Logs and counts the outcome of each request of a gateway.

Every refusal and failure is logged (within the limits of ``log_sink``); served
requests are sampled by request id, so that all processes log the same ones. Relies
on the metrics of the gateway's state; holds no state itself.
"""

import zlib

from spindlenotch import events
from spindlenotch.forwarding import exchanges, jobs
from spindlenotch.gateway import state
from spindlenotch.kernel import outcomes

#: One in this many served requests is logged.
SERVED_SAMPLE_INTERVAL = 64
#: Service label of requests refused before a service was chosen.
NO_SERVICE = ""
#: Logged reason of a failure that the upstream itself returned.
UPSTREAM_FAILED_REASON = "the upstream's own answer"


class RequestLog:
    """
    Logs and counts the outcomes of requests.

    ``request_id`` is the id that the caller sent, empty if it sent none.
    """

    def __init__(self, gateway_state: state.GatewayState) -> None:
        self.state = gateway_state

    def served(
        self, request_id: str, job: jobs.Job, exchange: exchanges.Exchange
    ) -> None:
        """Log a request that was served, if it is in the sample."""
        if not is_sampled(request_id):
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
            took_s=round(self._elapsed_s(job), 4),
            version=self.state.version,
        )

    def upstream_failed(
        self, request_id: str, job: jobs.Job, exchange: exchanges.Exchange
    ) -> None:
        """Log a failure response of an upstream that was forwarded."""
        events.emit(
            events.Event.REQUEST_FAILED,
            request=request_id,
            service=job.balancer.service.name,
            upstream=exchange.grant.upstream.spec.id,
            status=exchange.answer.status,
            reason=UPSTREAM_FAILED_REASON,
        )

    def refused(
        self,
        request_id: str,
        job: jobs.Job,
        refusal: outcomes.Refusal,
        wait_s: float,
    ) -> None:
        """
        Count and log a refused request; ``wait_s`` is its ``Retry-After`` in seconds.

        If several rules share a reason, the log names the rule that decided.
        """
        self.count(job, refusal.outcome, refusal.reason)
        events.emit(
            events.Event.REQUEST_REFUSED,
            request=request_id,
            service=job.balancer.service.name,
            reason=(refusal.rule or refusal.reason).value,
            waiting=len(job.balancer.queue),
            usable=len(job.balancer.pool.usable_order),
            version=self.state.version,
            retry_after_s=round(wait_s, 3),
        )

    def overloaded(self, request_id: str, wait_s: float, *, is_logged: bool) -> None:
        """Count a request refused for lack of processor time; log it if so told."""
        reason = outcomes.Reason.OVERLOADED
        self._count_without_service(reason)
        if not is_logged:
            return
        events.emit(
            events.Event.REQUEST_REFUSED,
            request=request_id,
            reason=reason.value,
            version=self.state.version,
            retry_after_s=round(wait_s, 3),
        )

    def route_refused(self, request_id: str, route: str) -> None:
        """Count and log a request whose route can't be served as configured."""
        reason = outcomes.Reason.ROUTE_REFUSED
        self._count_without_service(reason)
        events.emit(
            events.Event.REQUEST_REFUSED,
            request=request_id,
            route=route,
            reason=reason.value,
            version=self.state.version,
        )

    def region_refused(self, request_id: str, route: str) -> None:
        """Count and log a request whose route is not allowed in this region."""
        reason = outcomes.Reason.REGION_NOT_ALLOWED
        self._count_without_service(reason)
        events.emit(
            events.Event.REGION_NOT_ALLOWED,
            request=request_id,
            route=route,
            region=self.state.region,
            reason=reason.value,
            version=self.state.version,
        )

    def failed(
        self,
        request_id: str,
        job: jobs.Job,
        status: int,
        reason: outcomes.Reason,
    ) -> None:
        """Count and log a request whose outcome is unknown."""
        self.count(job, outcomes.Outcome.UNKNOWN, reason)
        events.emit(
            events.Event.REQUEST_FAILED,
            request=request_id,
            service=job.balancer.service.name,
            status=status,
            reason=reason.value,
            after_s=round(self._elapsed_s(job), 4),
            version=self.state.version,
        )

    def count(
        self, job: jobs.Job, outcome: outcomes.Outcome, reason: outcomes.Reason
    ) -> None:
        """Count the outcome of a request and record its duration in seconds."""
        service = job.balancer.service.name
        self.state.metrics.requests.labels(service, outcome.value, reason.value).inc()
        self.state.metrics.request_time.labels(service).observe(self._elapsed_s(job))

    def _count_without_service(self, reason: outcomes.Reason) -> None:
        """Count a request that was refused before a service was chosen."""
        not_run = outcomes.Outcome.NOT_RUN.value
        self.state.metrics.requests.labels(NO_SERVICE, not_run, reason.value).inc()

    def _elapsed_s(self, job: jobs.Job) -> float:
        return self.state.clock.now() - job.call.arrived_at


def is_sampled(request_id: str) -> bool:
    """Return whether a served request is logged; the same in every process."""
    return zlib.crc32(request_id.encode()) % SERVED_SAMPLE_INTERVAL == 0
