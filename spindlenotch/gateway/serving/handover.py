"""
Hands requests of an isolated gateway to gateways that reach upstreams.

Callers use a cached directory response for seconds, and their connections for longer;
until they have moved, an isolated gateway passes their requests on. The other gateway
handles a request as one of its own caller's, and its response is the final one. Relies
on ``cluster.isolation`` for whether that is needed.
"""

import asyncio
import contextlib
from collections import abc

import msgspec

from spindlenotch import events, ids, ports
from spindlenotch.forwarding import crash_watch, jobs, sending
from spindlenotch.gateway import dialect, state
from spindlenotch.gateway.serving import job_factory
from spindlenotch.kernel import outcomes, upstreams

#: Gateways that a request is offered to, one after the other.
MAX_TARGETS = 3
#: Reasons of a refusal that lost links explain.
LINK_REASONS = (
    outcomes.Reason.NO_UPSTREAM,
    outcomes.Reason.CONNECT_FAILED,
    outcomes.Reason.CONNECTION_LOST,
)


class WithdrawnError(Exception):
    """
    Raised where a request was withdrawn from this gateway's own upstreams.

    ``refusal`` is what its caller gets unless another gateway takes it.
    """

    def __init__(self, refusal: outcomes.Refusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


class PeerExchange(msgspec.Struct):
    """A response of another gateway, while its body is read."""

    answer: ports.UpstreamAnswer
    ended: bool = False

    async def chunk(self) -> bytes | ports.UpstreamFault:
        """Return the next chunk of the body; empty at its end."""
        try:
            chunk = await self.answer.chunk()
        except asyncio.CancelledError:
            # The other gateway withdraws the request when its connection closes.
            self.end(upstreams.Result.CANCELLED)
            raise
        self.ended |= not chunk
        return chunk

    def end(self, result: upstreams.Result) -> None:
        """Close the connection unless the body was read to its end."""
        if not self.ended:
            self.ended = True
            self.answer.abandon()


class Handover:
    """
    Offers requests to other gateways.

    ``addresses`` returns those that reach upstreams, none if this gateway does so
    itself or no gateway does. Invariant: a request that may run only once is offered
    to another gateway only if it was not sent anywhere before.
    """

    def __init__(
        self,
        gateway_state: state.GatewayState,
        gateway_dialect: dialect.Dialect,
        port: ports.UpstreamPort,
        links: crash_watch.Links,
        addresses: abc.Callable[[], list[ids.Address]],
    ) -> None:
        self.state = gateway_state
        self.dialect = gateway_dialect
        self.port = port
        self.links = links
        self.addresses = addresses
        self._job_by_timeout: dict[asyncio.Timeout, jobs.Job] = {}

    def is_possible(self, job: jobs.Job) -> bool:
        """Return whether there is a gateway to which a request may be handed."""
        return job.handovers < job_factory.MAX_HANDOVERS and bool(self.addresses())

    async def is_due(self, job: jobs.Job, refusal: outcomes.Refusal) -> bool:
        """
        Return whether a request that this gateway refuses should be handed over.

        One that may have run takes a retry from the budget.
        """
        if not job.is_body_buffered or refusal.reason not in LINK_REASONS:
            return False
        may_have_run = refusal.outcome is not outcomes.Outcome.NOT_RUN
        if may_have_run and not job.call.repeatable:
            return False
        is_isolated = await self.links.is_isolated_since(job.call.arrived_at)
        if not is_isolated or not self.is_possible(job):
            return False
        return not may_have_run or self._take_retry(job)

    @contextlib.asynccontextmanager
    async def interruptible(self, job: jobs.Job) -> abc.AsyncIterator[None]:
        """
        Run the body; raise ``WithdrawnError`` when ``interrupt`` withdraws the job.
        """
        try:
            async with asyncio.timeout(None) as timeout:
                self._job_by_timeout[timeout] = job
                try:
                    yield
                finally:
                    del self._job_by_timeout[timeout]
        except TimeoutError:
            if not timeout.expired():
                raise
            raise WithdrawnError(_refusal_of_withdrawn(job)) from None

    def interrupt(self) -> None:
        """
        Withdraw the requests that can be handed over from this gateway's upstreams.

        Those are the ones not sent yet, and those that may be repeated.
        """
        for timeout, job in self._job_by_timeout.items():
            if not job.is_body_buffered or not self.is_possible(job):
                continue
            if job.call.repeatable or not _was_sent(job):
                timeout.reschedule(asyncio.get_running_loop().time())

    async def send(self, job: jobs.Job) -> PeerExchange | outcomes.Refusal | None:
        """
        Offer a request to other gateways; return the first response.

        Return None if no gateway was reached, so that the request has not run.
        """
        may_have_run = False
        targets = self.addresses()
        self.state.rng.shuffle(targets)
        for address in targets[:MAX_TARGETS]:
            answer = await self.port.send(self._request(job, address))
            if not isinstance(answer, ports.UpstreamFault):
                self.state.metrics.handed_over.inc()
                events.emit(
                    events.Event.REQUEST_HANDED_OVER,
                    request=dict(job.headers).get(self.dialect.request_id, ""),
                    gateway=address,
                    status=answer.status,
                )
                return PeerExchange(answer)
            if answer is ports.UpstreamFault.CONNECT_FAILED:
                continue
            if answer is ports.UpstreamFault.TOO_LATE:
                break
            may_have_run = True
            if not self._take_retry(job):
                break
        if may_have_run:
            return outcomes.unknown(outcomes.Reason.CONNECTION_LOST)
        return None

    def _take_retry(self, job: jobs.Job) -> bool:
        """Take a retry of a request from the budget; return whether one is allowed."""
        if not job.call.repeatable or not job.is_body_buffered:
            return False
        now = self.state.clock.now()
        retries = job.balancer.retries
        if not retries.available(now):
            return False
        retries.spend(now)
        # It is sent at once, so none of it is outstanding here.
        retries.settle(now)
        return True

    def _request(self, job: jobs.Job, address: ids.Address) -> ports.UpstreamRequest:
        clock = self.state.clock
        deadline = job.call.deadline
        left_s = deadline - clock.now() - sending.RESPONSE_TRANSIT_S
        left_ms = max(job_factory.MIN_REMAINING_MS, int(left_s * 1000))
        return ports.UpstreamRequest(
            address=address,
            method=job.method,
            target=job.target,
            headers=[
                *job.headers,
                (self.dialect.deadline_ms, str(left_ms)),
                (job_factory.HANDOVERS, str(job.handovers + 1)),
            ],
            body=job.body,
            request_id=dict(job.headers).get(self.dialect.request_id, ""),
            needs_new_connection=job.needs_new_connection,
            may_send=lambda: clock.now() < deadline,
        )


def _was_sent(job: jobs.Job) -> bool:
    return job.call.id in job.balancer.attempted_by_call


def _refusal_of_withdrawn(job: jobs.Job) -> outcomes.Refusal:
    if _was_sent(job):
        return outcomes.unknown(outcomes.Reason.CONNECTION_LOST)
    return outcomes.not_run(outcomes.Reason.NO_UPSTREAM)
