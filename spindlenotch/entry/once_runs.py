"""
Runs requests with an id at their home, apart from their callers' connections.

A caller that drops and asks again finds its run still going. The record of
every run is closed here, whatever ends it.
"""

import asyncio

from spindlenotch import clock, events, headers, ports
from spindlenotch.entry import once
from spindlenotch.forwarding import data_path, exchanges, jobs
from spindlenotch.kernel import outcomes, upstreams

#: A whole small answer, one that is still streaming, or a refusal.
Result = once.KeptAnswer | exchanges.Exchange | outcomes.Refusal


class OnceRuns:
    """
    The runs of one process, by the key of their record.

    Invariants: ``_task_by_key`` holds the runs under way; the record of every
    run ends as ran, unknown or refused, also when its task is cancelled.
    """

    def __init__(
        self, clock: clock.Clock, table: once.OnceTable, path: data_path.DataPath
    ) -> None:
        self.clock = clock
        self.table = table
        self.path = path
        self._task_by_key: dict[once.OnceKey, asyncio.Task[Result]] = {}

    async def run(self, job: jobs.Job, key: once.OnceKey) -> Result:
        """Run a request for which the table said ``RUN``."""
        task: asyncio.Task[Result] = asyncio.ensure_future(self._carry_out(job, key))
        self._task_by_key[key] = task
        task.add_done_callback(lambda _: self._task_by_key.pop(key, None))
        if not job.is_body_buffered:
            # A body that still streams in dies with its connection, so only a
            # request that is here in full can outlive its caller.
            return await task
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(_abandon_answer)
            raise

    async def join(self, job: jobs.Job, key: once.OnceKey) -> Result:
        """Wait, up to the deadline, for a run for which the table said ``JOIN``."""
        task = self._task_by_key.get(key)
        if task is None:
            return outcomes.unknown(outcomes.Reason.CALLER_GONE)
        left_s = max(0.0, job.call.deadline - self.clock.now())
        done, _ = await asyncio.wait({task}, timeout=left_s)
        if not done:
            return outcomes.unknown(outcomes.Reason.DEADLINE_PASSED)
        if task.cancelled() or task.exception() is not None:
            return outcomes.unknown(outcomes.Reason.CALLER_GONE)
        result = task.result()
        if isinstance(result, exchanges.Exchange):
            # It streams to the caller whose arrival started the run.
            return outcomes.Refusal(
                outcomes.Outcome.RAN, outcomes.Reason.ANSWER_NOT_KEPT
            )
        return result

    async def drained(self) -> None:
        """Return once no run is under way, their callers connected or not."""
        while self._task_by_key:
            await asyncio.wait(set(self._task_by_key.values()))

    async def _carry_out(self, job: jobs.Job, key: once.OnceKey) -> Result:
        result: Result = outcomes.unknown(outcomes.Reason.CALLER_GONE)
        try:
            result = await self._dispatch(job)
            return result
        finally:
            self._close_record(job, key, result)

    def _close_record(self, job: jobs.Job, key: once.OnceKey, result: Result) -> None:
        if isinstance(result, once.KeptAnswer):
            self.table.ran(key, result)
        elif isinstance(result, exchanges.Exchange):
            self.table.ran(key, None)
        elif result.outcome is outcomes.Outcome.NOT_RUN:
            self.table.refused(key, result)
        else:
            self.table.may_have_run(key, result)
            events.emit(
                events.Event.OUTCOME_UNKNOWN,
                call=job.call.id,
                reason=result.reason.value,
            )

    async def _dispatch(self, job: jobs.Job) -> Result:
        """Send the request; read its answer whole where it is small."""
        exchange = await self.path.dispatch(job)
        if isinstance(exchange, outcomes.Refusal):
            return exchange
        length = exchange.answer.length
        if length is None or length > once.MAX_KEPT_BODY:
            return exchange
        pieces: list[bytes] = []
        while True:
            piece = await exchange.chunk()
            if isinstance(piece, ports.UpstreamFault):
                return outcomes.unknown(outcomes.Reason.CONNECTION_LOST)
            if not piece:
                break
            pieces.append(piece)
        return _kept_answer(exchange, b"".join(pieces))


def _kept_answer(exchange: exchanges.Exchange, body: bytes) -> once.KeptAnswer:
    pairs = headers.end_to_end(exchange.answer.headers)
    pairs.append((headers.UPSTREAM, exchange.grant.upstream.spec.id))
    return once.KeptAnswer(exchange.answer.status, tuple(pairs), body)


def _abandon_answer(task: asyncio.Task[Result]) -> None:
    """Give back the slot of an answer whose caller closed its connection first."""
    if task.cancelled() or task.exception() is not None:
        return
    result = task.result()
    if isinstance(result, exchanges.Exchange):
        result.end(upstreams.Result.CANCELLED)
