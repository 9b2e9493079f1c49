"""
The way of a request that may not be repeated.

Finds the home of its id (this process, or a peer to forward to), lets the
home's table decide, and runs it apart from the caller's connection, so that a
caller that drops and asks again finds its run still going.
"""

import asyncio
import dataclasses
import hashlib

from spindlenotch import events, headers, ids, ports
from spindlenotch.entry import claims, entry_state, once
from spindlenotch.forwarding import data_path
from spindlenotch.kernel import outcomes, upstreams

#: A larger answer from a peer is not held; its outcome is then unknown here.
MAX_FORWARDED_BODY = 8 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """
    The id a caller gave. Exactly one of the two texts is not empty.

    ``key`` is the caller's secret, passed on only to the id's home.
    """

    caller: ids.AccountName | None
    ticket: str
    chosen: str
    attempt: int
    first_attempt: bool
    forwarded: bool
    key: str


#: A whole small answer, one that is still streaming, or a refusal.
Result = once.KeptAnswer | data_path.Exchange | outcomes.Refusal


class OncePath:
    """
    Runs requests with an id, each at its home only.

    Invariants: a job is dispatched only after the table said ``RUN``; the
    record of every run ends as ran, unknown or refused, also when the task is
    cancelled; ``task_by_key`` holds the runs in flight.
    """

    def __init__(
        self,
        state: entry_state.EntryState,
        path: data_path.DataPath,
        claimed: claims.Claims,
    ) -> None:
        self.state = state
        self.path = path
        self.claims = claimed
        self.task_by_key: dict[once.OnceKey, asyncio.Task[Result]] = {}

    async def run(self, job: data_path.Job, identity: Identity) -> Result:
        """Bring one arrival of a request to its result."""
        home = await self._home(job, identity)
        if isinstance(home, outcomes.Refusal):
            return home
        key = _key(job, identity)
        if not claims.is_mine(home, self.state.config.host, self.state.incarnation):
            return await self._forward(job, identity, home)
        verdict = self.state.once.begin(self._arrival(job, identity, key))
        if verdict is once.Verdict.RUN:
            return await self._run(job, key)
        if verdict is once.Verdict.JOIN:
            return await self._join(job, key)
        if isinstance(verdict, outcomes.Refusal):
            self._note_full(verdict)
        return verdict

    async def drained(self) -> None:
        """Return once no run is in flight, their callers gone or not."""
        while self.task_by_key:
            await asyncio.wait(set(self.task_by_key.values()))

    async def _home(
        self, job: data_path.Job, identity: Identity
    ) -> claims.Home | outcomes.Refusal:
        if identity.ticket:
            return self._home_of_ticket(identity)
        home = await self.claims.home_of(_key(job, identity))
        if isinstance(home, claims.Home):
            return home
        reason = outcomes.Reason.CLAIM_UNAVAILABLE
        if home is claims.ClaimFault.OVER_BUDGET:
            reason = outcomes.Reason.CLAIM_OVER_BUDGET
        return once.before_home(
            reason,
            has_id=True,
            first_attempt=identity.first_attempt,
            retry_at=ids.later(self.state.clock.now(), 1.0),
        )

    def _home_of_ticket(self, identity: Identity) -> claims.Home | outcomes.Refusal:
        ticket = once.read_ticket(identity.ticket)
        if ticket is None:
            return outcomes.not_run(outcomes.Reason.BAD_ID)
        mine = ticket.incarnation == self.state.incarnation
        if mine and not self.state.mint.mine(ticket, identity.ticket):
            return outcomes.not_run(outcomes.Reason.BAD_ID)
        return claims.Home(ticket.host, ticket.incarnation)

    def _arrival(
        self, job: data_path.Job, identity: Identity, key: once.OnceKey
    ) -> once.Arrival:
        now = self.state.clock.now()
        ticket = once.read_ticket(identity.ticket)
        if ticket is not None:
            expires_at = ids.later(ticket.minted_at, once.TICKET_LIFETIME_S)
        else:
            bundle = self.state.bundle
            assert bundle is not None
            expires_at = ids.later(now, bundle.claim_keep_s)
        return once.Arrival(
            key,
            identity.attempt,
            identity.first_attempt,
            _fingerprint(job, identity),
            expires_at,
            now,
        )

    async def _run(self, job: data_path.Job, key: once.OnceKey) -> Result:
        # A body that still streams in dies with its connection, so only a
        # request that is here in full can outlive its caller.
        task: asyncio.Task[Result] = asyncio.ensure_future(self._carry_out(job, key))
        self.task_by_key[key] = task
        task.add_done_callback(lambda _: self.task_by_key.pop(key, None))
        if not isinstance(job.body, (bytes, type(None))):
            return await task
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(_let_go)
            raise

    async def _carry_out(self, job: data_path.Job, key: once.OnceKey) -> Result:
        table = self.state.once
        result: Result = outcomes.unknown(outcomes.Reason.CALLER_GONE)
        try:
            result = await self._dispatch(job)
            return result
        finally:
            if isinstance(result, once.KeptAnswer):
                table.ran(key, result)
            elif isinstance(result, data_path.Exchange):
                table.ran(key, None)
            elif result.outcome is outcomes.Outcome.NOT_RUN:
                table.refused(key, result)
            else:
                table.may_have_run(key, result)
                events.emit(
                    events.Event.OUTCOME_UNKNOWN,
                    call=job.call.id,
                    reason=result.reason.value,
                )

    async def _dispatch(self, job: data_path.Job) -> Result:
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
        return _kept(exchange, b"".join(pieces))

    async def _join(self, job: data_path.Job, key: once.OnceKey) -> Result:
        task = self.task_by_key.get(key)
        if task is None:
            return outcomes.unknown(outcomes.Reason.CALLER_GONE)
        left_s = max(0.0, job.call.deadline - self.state.clock.now())
        done, _ = await asyncio.wait({task}, timeout=left_s)
        if not done:
            return outcomes.unknown(outcomes.Reason.DEADLINE_PASSED)
        if task.cancelled() or task.exception() is not None:
            return outcomes.unknown(outcomes.Reason.CALLER_GONE)
        result = task.result()
        if isinstance(result, data_path.Exchange):
            return outcomes.Refusal(
                outcomes.Outcome.RAN, outcomes.Reason.ANSWER_NOT_KEPT
            )
        return result

    async def _forward(
        self, job: data_path.Job, identity: Identity, home: claims.Home
    ) -> Result:
        gone = once.before_home(
            outcomes.Reason.HOME_GONE,
            has_id=True,
            first_attempt=False,
        )
        address = self.state.address_of(ids.HostId(home.host))
        if identity.forwarded or address is None:
            return gone
        self.state.counters.forwarded += 1
        request = self._forward_request(job, identity, address)
        left_s = max(0.0, job.call.deadline - self.state.clock.now())
        try:
            async with asyncio.timeout(left_s):
                answer = await self.path.port.send(request)
                if isinstance(answer, ports.UpstreamFault):
                    return gone
                return await _whole(answer) or gone
        except TimeoutError:
            return outcomes.unknown(outcomes.Reason.DEADLINE_PASSED)

    def _forward_request(
        self, job: data_path.Job, identity: Identity, address: ids.Address
    ) -> ports.UpstreamRequest:
        now = self.state.clock.now()
        left_ms = max(1, int((job.call.deadline - now) * 1000))
        service = job.service.service.name
        extra = [
            (headers.TIMEOUT_MS, str(left_ms)),
            (headers.FORWARDED, "1"),
            (headers.REQUEST_ID, job.call.id),
            (headers.HOPS, str(job.hops)),
        ]
        if identity.key:
            extra.append((headers.KEY, identity.key))
        if identity.ticket:
            extra.append((headers.TICKET, identity.ticket))
        if identity.first_attempt or identity.attempt > 1:
            extra.append((headers.ATTEMPT, str(identity.attempt)))
        return ports.UpstreamRequest(
            address,
            job.method,
            f"/s/{service}{job.target}",
            [*job.headers, *extra],
            job.body,
            job.call.id,
            True,
            lambda: self.state.clock.now() < job.call.deadline,
        )

    def _note_full(self, refusal: outcomes.Refusal) -> None:
        if refusal.reason is outcomes.Reason.ID_TABLE_FULL:
            events.emit(events.Event.ID_TABLE_FULL, size=self.state.once.capacity)


def _key(job: data_path.Job, identity: Identity) -> once.OnceKey:
    if identity.ticket:
        return once.OnceKey(f"ticket/{identity.ticket}")
    service = job.service.service.name
    return once.OnceKey(f"chosen/{identity.caller}/{service}/{identity.chosen}")


def _fingerprint(job: data_path.Job, identity: Identity) -> str:
    body = job.body if isinstance(job.body, bytes) else b""
    parts = (str(identity.caller), job.service.service.name, job.method, job.target)
    head = "\n".join(parts).encode()
    return hashlib.sha256(head + b"\n" + body).hexdigest()


def _kept(exchange: data_path.Exchange, body: bytes) -> once.KeptAnswer:
    pairs = headers.end_to_end(exchange.answer.headers)
    pairs.append((headers.UPSTREAM, exchange.grant.upstream.spec.id))
    return once.KeptAnswer(exchange.answer.status, tuple(pairs), body)


def _let_go(task: "asyncio.Task[Result]") -> None:
    """Give back the slot of an answer whose caller went before it came."""
    if task.cancelled() or task.exception() is not None:
        return
    result = task.result()
    if isinstance(result, data_path.Exchange):
        result.end(upstreams.Result.CANCELLED)


async def _whole(answer: ports.UpstreamAnswer) -> once.KeptAnswer | None:
    """Read a peer's answer; None where it broke or is too large to hold."""
    body = bytearray()
    while True:
        piece = await answer.chunk()
        if isinstance(piece, ports.UpstreamFault):
            return None
        if not piece:
            break
        body += piece
        if len(body) > MAX_FORWARDED_BODY:
            answer.abandon()
            return None
    pairs = tuple(headers.end_to_end(answer.headers))
    return once.KeptAnswer(answer.status, pairs, bytes(body))
