"""
Sends a request to other gateways and reads the response of one.

The other gateway handles it as one of its own caller's, and its response is the final
one. Each gateway that gets a request through another one counts how often it was handed
on; see ``job_factory.HANDOVERS``.
"""

import asyncio

import msgspec

from spindlenotch import events, ids, ports
from spindlenotch.forwarding import jobs, sending
from spindlenotch.gateway import dialect, state
from spindlenotch.gateway.serving import job_factory, refusals
from spindlenotch.kernel import outcomes, upstreams

#: Gateways that a request is offered to, one after the other.
MAX_TARGETS = 3
#: Statuses of gateways' own responses to requests that they did not get served.
UNSERVED_STATUSES = (
    refusals.NOT_RUN_STATUS,
    refusals.UNKNOWN_STATUS,
    refusals.DEADLINE_PASSED_STATUS,
)


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


class PeerOffers:
    """
    Offers requests to other gateways over one port.

    Invariant: a request that may have run is sent to a further gateway only if it is
    repeatable and the retry budget allows that.
    """

    def __init__(
        self,
        gateway_state: state.GatewayState,
        gateway_dialect: dialect.Dialect,
        port: ports.UpstreamPort,
    ) -> None:
        self.state = gateway_state
        self.dialect = gateway_dialect
        self.port = port

    async def send(
        self, job: jobs.Job, targets: list[ids.Address]
    ) -> PeerExchange | outcomes.Refusal | None:
        """
        Offer a request to gateways; return the first response.

        Returns None if no gateway was reached, so that the request has not run.
        """
        may_have_run = False
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
            if not self.take_retry(job):
                break
        if may_have_run:
            return outcomes.unknown(outcomes.Reason.CONNECTION_LOST)
        return None

    def take_retry(self, job: jobs.Job) -> bool:
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

    def is_unserved(self, exchange: PeerExchange) -> bool:
        """Return whether a response is a gateway's own, for want of an upstream's."""
        names = {name.lower() for name, _ in exchange.answer.headers}
        return (
            exchange.answer.status in UNSERVED_STATUSES
            and self.dialect.request_id.lower() not in names
        )

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
