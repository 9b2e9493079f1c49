"""
The answer of one request, from its head to what is delivered in its turn.

Each request gets one final answer as soon as it is known: the upstream's own; a
refusal (503 with ``Retry-After``), where the request has not run; or a failure
(502, 504) that promises nothing. Holds no state of requests. Relies on
``job_factory``, ``answers`` and ``refusals`` for the rules, and on the data path
for upstreams.
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
    job_factory,
    pipelining,
    refusals,
    request_body,
    request_log,
)
from spindlenotch.gateway.source import region_rules, routing
from spindlenotch.kernel import outcomes, upstreams


class Answerer:
    """Gets requests their answers; delivers nothing."""

    def __init__(
        self,
        gateway_state: state.GatewayState,
        path: data_path.DataPath,
        gateway_dialect: dialect.Dialect,
    ) -> None:
        self.state = gateway_state
        self.path = path
        self.dialect = gateway_dialect
        self.log = request_log.RequestLog(gateway_state)
        self._traffic = body_traffic.BodyTraffic(gateway_state)
        self._jobs = job_factory.JobFactory(
            gateway_state, gateway_dialect, self._traffic
        )

    async def answer(self, request: web_request.BaseRequest) -> pipelining.Answer:
        """
        Get a request its final answer.

        Raises ``asyncio.CancelledError`` where the caller has gone.
        """
        held_s = 0.0
        if not self.state.can_serve:
            held_s = await self._hold()
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
        if isinstance(body, request_body.TooLong):
            return refusals.body_too_long()
        return await self._forward(request, route, body, held_s)

    def _refuse_route(
        self, request: web_request.BaseRequest, route: routing.RefusedRoute
    ) -> web_response.Response:
        self.log.route_refused(self._id(request), route.name)
        return refusals.route_refused()

    def _refuse_region(
        self, request: web_request.BaseRequest, route: routing.Route
    ) -> web_response.Response:
        self.log.region_refused(self._id(request), route.name)
        return refusals.region_refused()

    async def _hold(self) -> float:
        """Hold a request while this gateway starts; return for how many seconds."""
        arrived_at = self.state.clock.now()
        hold_until = start_limit.hold_until(self.state.started_at)
        await self.state.until_can_serve(hold_until)
        return self.state.clock.now() - arrived_at

    async def _forward(
        self,
        request: web_request.BaseRequest,
        route: routing.Route,
        body: request_body.Body,
        held_s: float,
    ) -> pipelining.Answer:
        job = self._jobs.create(request, route, body, held_s)
        try:
            async with self.state.deadlines.until(job.call.deadline):
                answer = await self._try_upstreams(request, job)
        except TimeoutError:
            return self._failed(request, job, outcomes.Reason.DEADLINE_PASSED)
        finally:
            self.path.forget(job)
        if isinstance(answer, outcomes.Refusal):
            return self._refuse(request, job, answer)
        return answer

    async def _try_upstreams(
        self, request: web_request.BaseRequest, job: jobs.Job
    ) -> pipelining.Answer | outcomes.Refusal:
        """
        Try upstreams until one answer can be passed on or the job is refused.

        An answer that breaks off before its head went out is replaced by another
        upstream's, where the request may run again.
        """
        exchange = await self.path.begin(job)
        while not isinstance(exchange, outcomes.Refusal):
            answer = await answers.read(exchange)
            if not isinstance(answer, answers.CutAnswer):
                return self._pass_on(request, exchange, answer)
            if not job.call.repeatable:
                return outcomes.unknown(outcomes.Reason.CONNECTION_LOST)
            exchange = await self.path.retry(job, exchange.grant)
        return exchange

    def _pass_on(
        self,
        request: web_request.BaseRequest,
        exchange: exchanges.Exchange,
        answer: answers.WholeAnswer | answers.LongAnswer,
    ) -> pipelining.Answer | outcomes.Refusal:
        """Return the answer in the form in which it goes to the caller."""
        if answers.falsely_says_not_run(exchange):
            # Changes nothing where the answer was read to its end.
            exchange.end(upstreams.Result.FAILED)
            return outcomes.unknown(outcomes.Reason.CONNECTION_LOST)
        if isinstance(answer, answers.LongAnswer):
            return answer_stream.StreamedAnswer(exchange, answer.start)
        job = exchange.job
        self._traffic.passed_on(exchange, len(answer.body))
        self.log.count(job, outcomes.Outcome.RAN, outcomes.Reason.SERVED)
        if answer.status >= outcomes.MIN_FAILED_STATUS:
            self.log.failed_upstream(self._id(request), job, exchange)
        self.log.served(self._id(request), job, exchange)
        return web_response.Response(
            status=answer.status,
            headers=multidict.CIMultiDict(answer.headers),
            body=answer.body,
        )

    def note_streamed(
        self, request: web_request.BaseRequest, exchange: exchanges.Exchange
    ) -> None:
        """Count and log an answer that was streamed to its end."""
        job = exchange.job
        self._traffic.passed_on(exchange, exchange.answer.length or 0)
        self.log.count(job, outcomes.Outcome.RAN, outcomes.Reason.SERVED)
        self.log.served(self._id(request), job, exchange)

    def _id(self, request: web_request.BaseRequest) -> str:
        return request.headers.get(self.dialect.request_id, "")

    def _refuse(
        self,
        request: web_request.BaseRequest,
        job: jobs.Job,
        refusal: outcomes.Refusal,
    ) -> web_response.Response:
        if refusal.outcome is outcomes.Outcome.UNKNOWN:
            return self._failed(request, job, refusal.reason)
        wait_s = refusals.retry_after_s(refusal, self.state.clock.now())
        self.log.refused(self._id(request), job, refusal, wait_s)
        return refusals.not_run(refusal.reason, wait_s)

    def _failed(
        self,
        request: web_request.BaseRequest,
        job: jobs.Job,
        reason: outcomes.Reason,
    ) -> web_response.Response:
        status = refusals.failure_status(reason)
        self.log.failed(self._id(request), job, status, reason)
        return refusals.failed(reason)
