"""
Hands over requests to whose upstreams a gateway can open no connection.

Used while the gateway is not isolated as a whole: its links to the upstreams of a
service may be lost, or the isolation is not noticed yet. If the upstreams themselves
refuse connections, other gateways refuse such requests too, so
``kernel.target_trials`` limits them.
"""

import asyncio
import weakref

from spindlenotch import ids
from spindlenotch.decisions import balancer
from spindlenotch.forwarding import jobs
from spindlenotch.gateway import state
from spindlenotch.gateway.serving import peer_offers, refusals
from spindlenotch.kernel import outcomes, target_trials, upstreams


class UnreachedServices:
    """Results at other gateways of requests that could not be connected here."""

    def __init__(
        self, gateway_state: state.GatewayState, offers: peer_offers.PeerOffers
    ) -> None:
        self.state = gateway_state
        self.offers = offers
        #: By the balancer of a service, which goes when the service is removed.
        self._trials_by_balancer: weakref.WeakKeyDictionary[
            balancer.Balancer, target_trials.TargetTrials
        ] = weakref.WeakKeyDictionary()

    async def send(
        self, job: jobs.Job, targets: list[ids.Address]
    ) -> peer_offers.PeerExchange | outcomes.Refusal | None:
        """
        Offer a request to other gateways, within the limit.

        It must not have run. Returns None if it has not run there either; the first of
        ``targets`` get trials first.
        """
        trials = self._trials_by_balancer.setdefault(
            job.balancer, target_trials.TargetTrials()
        )
        target = trials.begin_trial(targets, self.state.clock.now())
        if target is not None:
            exchange = await self._try_target(job, target, trials)
            if exchange is not None:
                return exchange
        serving = trials.serving(targets)
        if not serving:
            return None
        return await self._try_target(job, self.state.rng.choice(serving), trials)

    async def _try_target(
        self, job: jobs.Job, target: ids.Address, trials: target_trials.TargetTrials
    ) -> peer_offers.PeerExchange | outcomes.Refusal | None:
        """Offer a request to one gateway; return None if it has not run there."""
        try:
            exchange = await self.offers.send(job, [target])
        except asyncio.CancelledError:
            now = self.state.clock.now()
            if now >= job.call.deadline:
                trials.failed(target, now)
            raise
        if not isinstance(exchange, peer_offers.PeerExchange):
            trials.failed(target, self.state.clock.now())
            return exchange
        if not self.offers.is_unserved(exchange):
            trials.succeeded(target)
            return exchange
        trials.failed(target, self.state.clock.now())
        may_have_run = exchange.answer.status != refusals.NOT_RUN_STATUS
        if may_have_run or not job.is_body_buffered:
            return exchange
        exchange.end(upstreams.Result.SHED)
        return None
