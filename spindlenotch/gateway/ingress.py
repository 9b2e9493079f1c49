"""
The way of one request through the gateway, from its head to its final answer.

Each request gets one final answer as soon as it is known: the upstream's own; a
refusal (503 with ``Retry-After``), where the request has not run; or a failure
(502, 504) that promises nothing. Owns the count of requests in flight. Relies
on ``caller_listener`` for connections, on ``job_factory``, ``answers`` and
``refusals`` for the rules, and on the data path for upstreams.
"""

import asyncio

import multidict
from aiohttp import web_request, web_response

from spindlenotch import ids
from spindlenotch.forwarding import data_path, exchanges, jobs
from spindlenotch.gateway import (
    answer_stream,
    answers,
    caller_listener,
    dialect,
    job_factory,
    lifecycle,
    pipelining,
    refusals,
    request_body,
    request_log,
    routing,
    state,
)
from spindlenotch.kernel import outcomes, upstreams


class Ingress:
    """
    Serves callers' requests.

    ``closing`` is set late in a planned stop; requests that come then are
    refused. Invariant: ``in_flight`` counts the requests whose answer has not ended.
    """

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
        self.in_flight = 0
        self.closing = False
        self._jobs = job_factory.JobFactory(gateway_state, gateway_dialect)
        self._listener = caller_listener.CallerListener(
            self.handle, self.begin_early, self._idle_timeout_s
        )

    async def start(self) -> None:
        """Listen for callers; raises ``OSError`` where the address can't be bound."""
        await self._listener.start(self.state.config.listen)

    def stop_listening(self) -> None:
        """Accept no new connections; refuse requests on those that are open."""
        self.closing = True
        self._listener.stop_accepting()

    async def stop(self, limit_s: float) -> None:
        """Close all connections when their requests are answered, or at the limit."""
        self.stop_listening()
        await self._listener.stop(limit_s)

    @property
    def _leaving(self) -> bool:
        """Tell whether connections are closed with their next answer."""
        return self.state.phase is lifecycle.Phase.LEAVING

    def _idle_timeout_s(self) -> float:
        table = self.state.table
        limits = routing.Limits() if table is None else table.configuration.limits
        return limits.idle_timeout_s

    async def handle(
        self, request: web_request.BaseRequest
    ) -> web_response.StreamResponse:
        """
        Serve one request.

        Raises ``asyncio.CancelledError`` where the caller has gone, or where its
        connection was broken because a streamed answer broke off.
        """
        self.in_flight += 1
        try:
            answer = await self._answer_in_turn(request)
            response = await self._deliver(request, answer)
            self.state.demand.count(_bodies_length(request, response))
            return response
        finally:
            self.in_flight -= 1

    def begin_early(
        self, request: web_request.BaseRequest
    ) -> pipelining.AnswerTask | None:
        """
        Begin a request that was sent behind others, where it may run again.

        Its connection closes then only after its answer; so none is begun late in
        the life of this gateway.
        """
        table = self.state.table
        if self.closing or self._leaving or table is None:
            return None
        route = table.find(request.headers.get("Host", ""), request.raw_path)
        if route is None or not route.repeatable:
            return None
        return asyncio.ensure_future(self._count_while(request))

    async def _count_while(self, request: web_request.BaseRequest) -> pipelining.Answer:
        self.in_flight += 1
        try:
            return await self._serve(request)
        finally:
            self.in_flight -= 1

    async def _answer_in_turn(
        self, request: web_request.BaseRequest
    ) -> pipelining.Answer:
        begun = pipelining.take(request)
        if begun is None:
            return await self._serve(request)
        try:
            return await begun
        except asyncio.CancelledError:
            pipelining.discard(begun)
            raise

    async def _deliver(
        self, request: web_request.BaseRequest, answer: pipelining.Answer
    ) -> web_response.StreamResponse:
        """Return the response, streamed already where the answer is a long one."""
        close = self._leaving and not pipelining.owes_answers(request)
        if isinstance(answer, answer_stream.StreamedAnswer):
            return await self._stream(request, answer, close_connection=close)
        if close:
            answer.force_close()
        return answer

    async def _serve(self, request: web_request.BaseRequest) -> pipelining.Answer:
        table = self.state.table
        if self.closing or table is None or not self.state.listed_once:
            return refusals.not_ready()
        route = table.find(request.headers.get("Host", ""), request.raw_path)
        if route is None:
            return refusals.no_route()
        limit_bytes = table.configuration.limits.body_bytes
        body = await request_body.read(request, limit_bytes)
        if isinstance(body, request_body.TooLong):
            return refusals.body_too_long()
        return await self._forward(request, route, body)

    async def _forward(
        self,
        request: web_request.BaseRequest,
        route: routing.Route,
        body: request_body.Body,
    ) -> pipelining.Answer:
        job = self._jobs.create(request, route, body)
        loop_deadline = self._loop_time(job.call.deadline)
        try:
            async with asyncio.timeout_at(loop_deadline):
                answer = await self._answer(request, job, loop_deadline)
        except TimeoutError:
            return self._failed(request, job, outcomes.Reason.DEADLINE_PASSED)
        finally:
            job.balancer.forget(job.call.id)
        if isinstance(answer, outcomes.Refusal):
            return self._refuse(request, job, answer)
        return answer

    async def _answer(
        self, request: web_request.BaseRequest, job: jobs.Job, loop_deadline: float
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
                return self._pass_on(request, exchange, answer, loop_deadline)
            if not job.call.repeatable:
                return outcomes.unknown(outcomes.Reason.CONNECTION_LOST)
            exchange = await self.path.again(job, exchange.grant)
        return exchange

    def _pass_on(
        self,
        request: web_request.BaseRequest,
        exchange: exchanges.Exchange,
        answer: answers.WholeAnswer | answers.LongAnswer,
        loop_deadline: float,
    ) -> pipelining.Answer | outcomes.Refusal:
        """Return the answer in the form in which it goes to the caller."""
        if answers.falsely_says_not_run(exchange):
            # Changes nothing where the answer was read to its end.
            exchange.end(upstreams.Result.FAILED)
            return outcomes.unknown(outcomes.Reason.CONNECTION_LOST)
        if isinstance(answer, answers.LongAnswer):
            return answer_stream.StreamedAnswer(exchange, answer.start, loop_deadline)
        job = exchange.job
        self.log.count(job, outcomes.Outcome.RAN, outcomes.Reason.SERVED)
        if answer.status >= outcomes.FIRST_FAILED_STATUS:
            self.log.failed_upstream(self._id(request), job, exchange)
        self.log.served(self._id(request), job, exchange)
        return web_response.Response(
            status=answer.status,
            headers=multidict.CIMultiDict(answer.headers),
            body=answer.body,
        )

    async def _stream(
        self,
        request: web_request.BaseRequest,
        answer: answer_stream.StreamedAnswer,
        *,
        close_connection: bool,
    ) -> web_response.StreamResponse:
        """
        Pass on a long answer; break the connection where it does not end well.

        A second response in its place would be taken for the rest of its body.
        """
        try:
            async with asyncio.timeout_at(answer.loop_deadline):
                response = await answer_stream.pass_on(
                    request, answer, close_connection=close_connection
                )
        except (TimeoutError, answer_stream.BrokenAnswerError):
            # Without an answer in return, aiohttp sends nothing more.
            if request.transport is not None:
                request.transport.abort()
            raise asyncio.CancelledError from None
        job = answer.exchange.job
        self.log.count(job, outcomes.Outcome.RAN, outcomes.Reason.SERVED)
        self.log.served(self._id(request), job, answer.exchange)
        return response

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

    def _loop_time(self, instant: ids.Instant) -> float:
        """Turn an instant of the gateway's clock into one of the event loop's."""
        loop = asyncio.get_running_loop()
        return loop.time() + (instant - self.state.clock.now())


def _bodies_length(
    request: web_request.BaseRequest, response: web_response.StreamResponse
) -> int:
    """Return the declared bytes of both bodies; those without a length count 0."""
    return (request.content_length or 0) + (response.content_length or 0)
