"""
Hands requests to gateways that reach upstreams which this one does not reach.

Callers use a cached directory response for seconds, and their connections for longer;
until they have moved, an isolated gateway passes their requests on. A gateway that is
not isolated passes on what it could open no connection for; see
``unreached_services``. Relies on ``cluster.isolation`` for whether this gateway is
isolated.
"""

import asyncio
import contextlib
import typing
from collections import abc

from spindlenotch import ids, ports
from spindlenotch.forwarding import crash_watch, jobs
from spindlenotch.gateway import dialect, state
from spindlenotch.gateway.serving import job_factory, peer_offers, unreached_services
from spindlenotch.kernel import outcomes

#: Reasons of a refusal that lost links explain.
LINK_REASONS = (
    outcomes.Reason.NO_UPSTREAM,
    outcomes.Reason.CONNECT_FAILED,
    outcomes.Reason.CONNECTION_LOST,
)
#: Age in seconds up to which a response over a new connection shows that this gateway
#: is not isolated; limits the checks that refusals cause.
MAX_EVIDENCE_AGE_S = 0.1


class Peers(typing.Protocol):
    """The other gateways."""

    def handover_addresses(self) -> list[ids.Address]:
        """Return those that reach upstreams, none unless this one reaches none."""

    def other_addresses(self) -> list[ids.Address]:
        """Return the ready ones, active ones first; none if this one is isolated."""


class WithdrawnError(Exception):
    """
    Raised where a request was withdrawn from this gateway's own upstreams.

    ``refusal`` is what its caller gets unless another gateway takes it.
    """

    def __init__(self, refusal: outcomes.Refusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


class Handover:
    """
    Offers requests to other gateways.

    Invariant: a request that may run only once is offered to another gateway only if it
    was not sent anywhere before.
    """

    def __init__(
        self,
        gateway_state: state.GatewayState,
        gateway_dialect: dialect.Dialect,
        port: ports.UpstreamPort,
        links: crash_watch.Links,
        peers: Peers,
    ) -> None:
        self.state = gateway_state
        self.links = links
        self.peers = peers
        self._offers = peer_offers.PeerOffers(gateway_state, gateway_dialect, port)
        self._unreached = unreached_services.UnreachedServices(
            gateway_state, self._offers
        )
        self._job_by_timeout: dict[asyncio.Timeout, jobs.Job] = {}
        self._reason_by_timeout: dict[asyncio.Timeout, outcomes.Reason] = {}

    def is_possible(self, job: jobs.Job) -> bool:
        """Return whether an isolated gateway can hand over a request."""
        is_allowed = job.handovers < job_factory.MAX_HANDOVERS
        return is_allowed and bool(self.peers.handover_addresses())

    async def send(
        self, job: jobs.Job
    ) -> peer_offers.PeerExchange | outcomes.Refusal | None:
        """
        Offer a request of an isolated gateway to other gateways.

        Returns the first response, or None if no gateway was reached, so that the
        request has not run.
        """
        return await self._offers.send(job, self.peers.handover_addresses())

    async def send_refused(
        self, job: jobs.Job, refusal: outcomes.Refusal
    ) -> peer_offers.PeerExchange | outcomes.Refusal | None:
        """
        Offer a request that this gateway refuses to others, if its links explain that.

        Returns the first response; None if the refusal stands. A request that may have
        run takes a retry from the budget.
        """
        may_have_run = refusal.outcome is not outcomes.Outcome.NOT_RUN
        if refusal.reason not in LINK_REASONS:
            return None
        if may_have_run and not (job.call.repeatable and job.is_body_buffered):
            return None
        recently = ids.later(self.state.clock.now(), -MAX_EVIDENCE_AGE_S)
        if await self.links.is_isolated_since(min(job.call.arrived_at, recently)):
            if not self.is_possible(job):
                return None
            if may_have_run and not self._offers.take_retry(job):
                return None
            return await self.send(job)
        if may_have_run or refusal.reason is not outcomes.Reason.CONNECT_FAILED:
            return None
        if job.handovers:
            # Without a limit, gateways whose links are lost would pass it around.
            return None
        return await self._unreached.send(job, self.peers.other_addresses())

    @contextlib.asynccontextmanager
    async def interruptible(self, job: jobs.Job) -> abc.AsyncIterator[None]:
        """Run the body; raise ``WithdrawnError`` when the job is withdrawn."""
        try:
            async with asyncio.timeout(None) as timeout:
                self._job_by_timeout[timeout] = job
                try:
                    yield
                finally:
                    del self._job_by_timeout[timeout]
                    reason = self._reason_by_timeout.pop(timeout, None)
        except TimeoutError:
            if reason is None or not timeout.expired():
                raise
            raise WithdrawnError(_refusal_of_withdrawn(job, reason)) from None

    def interrupt(self) -> None:
        """
        Withdraw the requests that can be handed over from this gateway's upstreams.

        Those are the ones not sent yet, and those that can be repeated.
        """
        for timeout, job in self._job_by_timeout.items():
            if not self.is_possible(job):
                continue
            can_repeat = job.call.repeatable and job.is_body_buffered
            if can_repeat or not _was_sent(job):
                self._withdraw(timeout, outcomes.Reason.NO_UPSTREAM)

    def withdraw_waiting(self, is_due: abc.Callable[[jobs.Job], bool]) -> None:
        """Refuse the requests that have not been sent yet and are due to be."""
        for timeout, job in self._job_by_timeout.items():
            if not _was_sent(job) and is_due(job):
                self._withdraw(timeout, outcomes.Reason.NOT_READY)

    def _withdraw(self, timeout: asyncio.Timeout, reason: outcomes.Reason) -> None:
        self._reason_by_timeout[timeout] = reason
        timeout.reschedule(asyncio.get_running_loop().time())


def _was_sent(job: jobs.Job) -> bool:
    return job.call.id in job.balancer.attempted_by_call


def _refusal_of_withdrawn(job: jobs.Job, reason: outcomes.Reason) -> outcomes.Refusal:
    if _was_sent(job):
        return outcomes.unknown(outcomes.Reason.CONNECTION_LOST)
    return outcomes.not_run(reason)
