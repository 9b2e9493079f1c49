"""
Determines the final response to a request, without sending it.

Each request gets exactly one final response: the upstream's; a refusal (503 with
``Retry-After``) if the request was not executed; or a failure (502, 504) if it is
unknown whether it was. Keeps no state per request. Relies on ``job_factory``,
``answers`` and ``refusals`` for the rules, and on the data path for the upstreams.
"""

import multidict
from aiohttp import web_request, web_response

from spindlenotch.decisions import start_limit
from spindlenotch.forwarding import data_path, exchanges, jobs
from spindlenotch.gateway import dialect, state
from spindlenotch.gateway.serving import (
    answer_stream,
    answers,
    body_traffic,
    handover,
    job_factory,
    overload_gate,
    overload_guard,
    peer_offers,
    pipelining,
    refusals,
    request_body,
    request_log,
)
from spindlenotch.gateway.source import region_rules, routing
from spindlenotch.kernel import outcomes, upstreams


class RequestProcessor:
    """Determines the final response to each request; sends nothing."""

    def __init__(
        self,
        gateway_state: state.GatewayState,
        path: data_path.DataPath,
        gateway_dialect: dialect.Dialect,
        handing_over: handover.Handover,
    ) -> None:
        self.state = gateway_state
        self.overload = overload_guard.OverloadGuard(
            gateway_state.clock, gateway_state.rng
        )
        self.path = path
        self.handover = handing_over
        self.dialect = gateway_dialect
        self.log = request_log.RequestLog(gateway_state)
        self.overload_gate = overload_gate.OverloadGate(
            gateway_state, gateway_dialect, self.overload, self.log
        )
        self._traffic = body_traffic.BodyTraffic(gateway_state)
        self._jobs = job_factory.JobFactory(
            gateway_state, gateway_dialect, self._traffic
        )

    async def process(
        self, request: web_request.BaseRequest
    ) -> pipelining.PendingResponse:
        """
        Return the final response to a request.

        Raises ``asyncio.CancelledError`` if the caller disconnects.
        """
        if not self.overload.admits():
            return self._refuse_overload(request)
        with self.overload.in_progress():
            return await self._process_admitted(request)

    async def _process_admitted(
        self, request: web_request.BaseRequest
    ) -> pipelining.PendingResponse:
        startup_wait_s = 0.0
        if not self.state.can_serve:
            startup_wait_s = await self._wait_until_ready()
        table = self.state.table
        if table is None or not self.state.can_serve:
            return refusals.not_ready()
        route = table.find(request.headers.get("Host", ""), request.raw_path)
        if route is None:
            return refusals.no_route()
        if isinstance(route, routing.RefusedRoute):
            return self._refuse_route(request, route)
        if not region_rules.allows(route, self.state.region):
            return self._refuse_region(request, route)
        limit_bytes = table.configuration.limits.body_bytes
        body = await request_body.read(request, limit_bytes)
        if isinstance(body, request_body.BodyTooLong):
            return refusals.body_too_long()
        return await self._forward(request, route, body, startup_wait_s)

    def _refuse_overload(
        self, request: web_request.BaseRequest
    ) -> web_response.Response:
        wait_s = self.overload_gate.refuse(self._request_id(request))
        return refusals.not_run(outcomes.Reason.OVERLOADED, wait_s)

    def _refuse_route(
        self, request: web_request.BaseRequest, route: routing.RefusedRoute
    ) -> web_response.Response:
        self.log.route_refused(self._request_id(request), route.name)
        return refusals.route_refused()

    def _refuse_region(
        self, request: web_request.BaseRequest, route: routing.Route
    ) -> web_response.Response:
        self.log.region_refused(self._request_id(request), route.name)
        return refusals.region_refused()

    async def _wait_until_ready(self) -> float:
        """Wait until this gateway can serve; return the time waited in seconds."""
        arrived_at = self.state.clock.now()
        hold_until = start_limit.hold_until(self.state.started_at)
        await self.state.wait_until_can_serve(hold_until)
        return self.state.clock.now() - arrived_at

    async def _forward(
        self,
        request: web_request.BaseRequest,
        route: routing.Route,
        body: request_body.Body,
        startup_wait_s: float,
    ) -> pipelining.PendingResponse:
        job = self._jobs.create(request, route, body, startup_wait_s)
        schedule = self.state.stop_schedule
        now = self.state.clock.now()
        if schedule is not None and not schedule.accepts(now, job.call.deadline):
            return self._refuse(
                request, job, outcomes.not_run(outcomes.Reason.NOT_READY)
            )
        self.overload.add_timeout(job.call.deadline - job.call.arrived_at)
        try:
            async with self.state.deadlines.until(job.call.deadline):
                response = await self._respond(request, job)
        except TimeoutError:
            return self._fail(request, job, outcomes.Reason.DEADLINE_PASSED)
        except Exception:
            self.path.release(job)
            raise
        finally:
            self.path.forget(job)
        if isinstance(response, outcomes.Refusal):
            return self._refuse(request, job, response)
        return response

    async def _respond(
        self, request: web_request.BaseRequest, job: jobs.Job
    ) -> pipelining.PendingResponse | outcomes.Refusal:
        """Return the response of an upstream, or else that of another gateway."""
        if self.handover.is_possible(job):
            response = await self._read_exchange(job, await self.handover.send(job))
            if response is not None:
                return response
        try:
            async with self.handover.interruptible(job):
                response = await self._try_upstreams(request, job)
        except handover.WithdrawnError as withdrawn:
            response = withdrawn.refusal
        if isinstance(response, outcomes.Refusal):
            exchange = await self.handover.send_refused(job, response)
            return await self._read_exchange(job, exchange) or response
        return response

    async def _read_exchange(
        self,
        job: jobs.Job,
        exchange: peer_offers.PeerExchange | outcomes.Refusal | None,
    ) -> pipelining.PendingResponse | outcomes.Refusal | None:
        """Return the response of another gateway; None if there is none."""
        if not isinstance(exchange, peer_offers.PeerExchange):
            return exchange
        response = await answers.read(exchange)
        if isinstance(response, answers.TruncatedResponse):
            return outcomes.unknown(outcomes.Reason.CONNECTION_LOST)
        if isinstance(response, answers.PartialResponse):
            return answer_stream.StreamedResponse(
                exchange, response.received, job.call.deadline, on_sent=lambda: None
            )
        return _to_response(response)

    async def _try_upstreams(
        self, request: web_request.BaseRequest, job: jobs.Job
    ) -> pipelining.PendingResponse | outcomes.Refusal:
        """
        Try upstreams until a response can be forwarded or the job is refused.

        If a response is truncated before its head was sent, the request is retried
        on another upstream, provided that it is repeatable.
        """
        exchange = await self.path.begin(job)
        while not isinstance(exchange, outcomes.Refusal):
            response = await answers.read(exchange)
            if not isinstance(response, answers.TruncatedResponse):
                return self._to_pending_response(request, exchange, response)
            if not job.call.repeatable:
                return outcomes.unknown(outcomes.Reason.CONNECTION_LOST)
            exchange = await self.path.retry(job, exchange.grant)
        return exchange

    def _to_pending_response(
        self,
        request: web_request.BaseRequest,
        exchange: exchanges.Exchange,
        response: answers.BufferedResponse | answers.PartialResponse,
    ) -> pipelining.PendingResponse | outcomes.Refusal:
        """Convert an upstream's response to the one that is sent to the caller."""
        if answers.implies_not_run(exchange):
            # No effect if the response was read completely.
            exchange.end(upstreams.Result.FAILED)
            return outcomes.unknown(outcomes.Reason.CONNECTION_LOST)
        if isinstance(response, answers.PartialResponse):
            return answer_stream.StreamedResponse(
                exchange,
                response.received,
                exchange.job.call.deadline,
                on_sent=lambda: self._record_streamed(request, exchange),
            )
        job = exchange.job
        self._traffic.record_response(exchange, len(response.body))
        self.log.count(job, outcomes.Outcome.RAN, outcomes.Reason.SERVED)
        if response.status >= outcomes.MIN_FAILED_STATUS:
            self.log.upstream_failed(self._request_id(request), job, exchange)
        self.log.served(self._request_id(request), job, exchange)
        return _to_response(response)

    def _record_streamed(
        self, request: web_request.BaseRequest, exchange: exchanges.Exchange
    ) -> None:
        """Count and log a response that was streamed completely."""
        job = exchange.job
        self._traffic.record_response(exchange, exchange.answer.length or 0)
        self.log.count(job, outcomes.Outcome.RAN, outcomes.Reason.SERVED)
        self.log.served(self._request_id(request), job, exchange)

    def _request_id(self, request: web_request.BaseRequest) -> str:
        return request.headers.get(self.dialect.request_id, "")

    def _refuse(
        self,
        request: web_request.BaseRequest,
        job: jobs.Job,
        refusal: outcomes.Refusal,
    ) -> web_response.Response:
        if refusal.outcome is outcomes.Outcome.UNKNOWN:
            return self._fail(request, job, refusal.reason)
        wait_s = refusals.retry_after_s(refusal, self.state.clock.now())
        self.log.refused(self._request_id(request), job, refusal, wait_s)
        return refusals.not_run(refusal.reason, wait_s)

    def _fail(
        self,
        request: web_request.BaseRequest,
        job: jobs.Job,
        reason: outcomes.Reason,
    ) -> web_response.Response:
        status = refusals.failure_status(reason)
        self.log.failed(self._request_id(request), job, status, reason)
        return refusals.failed(reason)


def _to_response(response: answers.BufferedResponse) -> web_response.Response:
    return web_response.Response(
        status=response.status,
        headers=multidict.CIMultiDict(response.headers),
        body=response.body,
    )
