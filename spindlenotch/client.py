"""
The library that callers embed.

Knows several entry hosts, keeps the answer which of them to use until its
deadline, goes to another when one fails, and carries tickets for requests
that may not be repeated. It never turns an unknown outcome into a resend
under a new id.
"""

import asyncio
import dataclasses
import random
from collections import abc

import aiohttp
import msgspec

from spindlenotch import api, clock, headers, ids
from spindlenotch.kernel import outcomes

TICKETS_KEPT = 8
ASK_TIMEOUT_S = 2.0
#: A ticket is used only while it has at least this long to live.
TICKET_KEPT_S = 60.0
MAX_TRIES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """
    What a caller wants. ``repeatable`` must agree with the bundle.

    ``chosen_id`` is the caller's own Idempotency-Key; without one, a request
    that may not be repeated gets a ticket.
    """

    service: str
    method: str = "GET"
    path: str = "/"
    timeout_s: float = 5.0
    body: bytes | None = None
    headers: tuple[tuple[str, str], ...] = ()
    repeatable: bool = True
    chosen_id: str = ""
    class_name: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer, with what became of the request."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    outcome: outcomes.Outcome
    reason: str
    request_id: str
    upstream: str
    entry: str
    retry_after_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """No entry gave an answer; ``outcome`` says what is known all the same."""

    outcome: outcomes.Outcome
    reason: str


@dataclasses.dataclass(slots=True)
class _Ticket:
    text: str
    entry: ids.Address
    use_by: ids.Instant


@dataclasses.dataclass(slots=True)
class _Directory:
    """Which entries to use, until ``deadline``."""

    entries: list[ids.Address]
    deadline: ids.Instant


class Client:
    """
    One caller's way into the system.

    Invariants: a connection is made only to a seed (to ask) or to an entry
    named in an answer that has not expired; a request that may not be
    repeated is sent under one id from first to last.
    """

    def __init__(
        self,
        seeds: abc.Sequence[str],
        caller: str = "",
        key: str = "",
        time: clock.Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.seeds = [ids.Address(seed) for seed in seeds]
        self.caller = caller
        self.key = key
        self.clock = time or clock.BoottimeClock()
        self.rng = rng or random.Random()
        self.directory = _Directory([], ids.Instant(0.0))
        self.tickets: list[_Ticket] = []
        self.resends = 0
        self._session: aiohttp.ClientSession | None = None
        self._asking = asyncio.Lock()

    async def close(self) -> None:
        """Drop all connections."""
        if self._session is not None:
            await self._session.close()

    async def call(self, request: Request) -> Answer | NoAnswer:
        """
        Send a request and return its whole answer.

        A repeatable one is sent again through another entry when a connection
        breaks. One that is not is sent again under the same id, and an answer
        "unknown" is final.
        """
        deadline = ids.later(self.clock.now(), request.timeout_s)
        ticket = await self._ticket_for(request)
        if isinstance(ticket, NoAnswer):
            return ticket
        last = NoAnswer(outcomes.Outcome.NOT_RUN, "no entry could be reached")
        avoid: set[ids.Address] = set()
        for attempt in range(1, MAX_TRIES + 1):
            entry = await self._pick(ticket, avoid)
            left_s = deadline - self.clock.now()
            if entry is None or left_s <= 0:
                break
            result = await self._send(entry, request, ticket, attempt, left_s)
            if isinstance(result, Answer):
                return result
            last = _worse(last, result)
            avoid.add(entry)
            self.resends += 1
            if ticket is not None and last.outcome is outcomes.Outcome.NOT_RUN:
                # Nothing was ever sent under this ticket, and its home is
                # gone: begin anew at another entry.
                ticket = await self._new_ticket(entry)
                if ticket is None:
                    break
        return last

    async def _new_ticket(self, dead: ids.Address) -> _Ticket | None:
        self.tickets = [t for t in self.tickets if t.entry != dead]
        if not self.tickets:
            await self._ask(TICKETS_KEPT, dead)
        return self.tickets.pop() if self.tickets else None

    async def _send(
        self,
        entry: ids.Address,
        request: Request,
        ticket: _Ticket | None,
        attempt: int,
        left_s: float,
    ) -> Answer | NoAnswer:
        try:
            async with self._open().request(
                request.method,
                f"http://{entry}/s/{request.service}{request.path}",
                headers=self._headers(request, ticket, attempt, left_s),
                data=request.body,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=left_s + 0.05, sock_connect=1.0),
            ) as response:
                body = await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return NoAnswer(outcomes.Outcome.NOT_RUN, "connection refused")
        except (aiohttp.ClientError, OSError, TimeoutError):
            return NoAnswer(outcomes.Outcome.UNKNOWN, "connection to the entry broke")
        return _answer(entry, response, body)

    def _headers(
        self, request: Request, ticket: _Ticket | None, attempt: int, left_s: float
    ) -> dict[str, str]:
        fields = dict(request.headers)
        fields[headers.TIMEOUT_MS] = str(max(1, int(left_s * 1000)))
        if self.caller:
            fields[headers.CALLER] = self.caller
            fields[headers.KEY] = self.key
        if request.class_name:
            fields[headers.CLASS] = request.class_name
        if ticket is not None:
            fields[headers.TICKET] = ticket.text
        if request.chosen_id:
            fields[headers.IDEMPOTENCY_KEY] = request.chosen_id
        if ticket is not None or request.chosen_id:
            fields[headers.ATTEMPT] = str(attempt)
        return fields

    async def _ticket_for(self, request: Request) -> _Ticket | NoAnswer | None:
        if request.repeatable or request.chosen_id:
            return None
        now = self.clock.now()
        self.tickets = [t for t in self.tickets if t.use_by > now]
        if not self.tickets:
            await self._ask(TICKETS_KEPT)
        if not self.tickets:
            return NoAnswer(outcomes.Outcome.NOT_RUN, "no entry gave a ticket")
        return self.tickets.pop()

    async def _pick(
        self, ticket: _Ticket | None, avoid: abc.Container[ids.Address]
    ) -> ids.Address | None:
        """Choose an entry: the ticket's own first, else any that is named."""
        if ticket is not None and ticket.entry not in avoid:
            return ticket.entry
        if self.clock.now() >= self.directory.deadline:
            async with self._asking:
                if self.clock.now() >= self.directory.deadline:
                    await self._ask(0)
        fresh = [e for e in self.directory.entries if e not in avoid]
        if not fresh:
            # All that were named have failed: others may know of more.
            await self._ask(0)
            fresh = [e for e in self.directory.entries if e not in avoid]
        options = fresh or self.directory.entries
        return self.rng.choice(options) if options else None

    async def _ask(self, tickets: int, skip: str = "") -> None:
        """Ask one entry after another which to use."""
        known = list(self.directory.entries)
        self.rng.shuffle(known)
        seeds = list(self.seeds)
        self.rng.shuffle(seeds)
        for source in [*known, *seeds]:
            if source == skip:
                continue
            answer = await self._ask_one(source, tickets)
            if answer is not None:
                self._take(source, answer)
                return

    async def _ask_one(
        self, source: ids.Address, tickets: int
    ) -> api.EntriesAnswer | None:
        try:
            async with self._open().get(
                f"http://{source}/v1/entries",
                params={"tickets": str(tickets)},
                timeout=aiohttp.ClientTimeout(total=ASK_TIMEOUT_S),
                allow_redirects=False,
            ) as response:
                body = await response.read()
            if response.status != 200:
                return None
            return msgspec.json.decode(body, type=api.EntriesAnswer)
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError):
            return None

    def _take(self, source: ids.Address, answer: api.EntriesAnswer) -> None:
        now = self.clock.now()
        entries = [ids.Address(entry.address) for entry in answer.entries]
        self.directory = _Directory(entries, ids.later(now, answer.valid_for_ms / 1000))
        use_by = ids.later(now, min(TICKET_KEPT_S, answer.valid_for_ms / 1000))
        self.tickets += [_Ticket(text, source, use_by) for text in answer.tickets]

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                connector=aiohttp.TCPConnector(limit=0, use_dns_cache=False),
            )
            # As towards upstreams: no resend that is not decided here.
            self._session._retry_connection = False
        return self._session


def _answer(
    entry: ids.Address, response: aiohttp.ClientResponse, body: bytes
) -> Answer:
    fields = response.headers
    after_ms = fields.get(headers.RETRY_AFTER_MS)
    return Answer(
        response.status,
        tuple((k, v) for k, v in fields.items()),
        body,
        outcomes.Outcome(fields.get(headers.OUTCOME, "unknown")),
        fields.get(headers.REASON, ""),
        fields.get(headers.REQUEST_ID, ""),
        fields.get(headers.UPSTREAM, ""),
        entry,
        int(after_ms) / 1000 if after_ms else None,
    )


def _worse(before: NoAnswer, after: NoAnswer) -> NoAnswer:
    """Once the outcome is unknown it stays so."""
    if before.outcome is outcomes.Outcome.UNKNOWN:
        return before
    return after
