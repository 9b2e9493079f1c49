"""
The library that callers embed.

Sends a request to one of the entries that ``entry_directory`` knows, goes to
another when one fails, and carries tickets for requests that may not be
repeated. It never turns an unknown outcome into a resend under a new id.
"""

import random
from collections import abc

import aiohttp
import msgspec

from spindlenotch import clock, entry_directory, headers, ids
from spindlenotch.kernel import outcomes

#: How many entries one request is sent to at the most.
MAX_ATTEMPTS = 4
#: How long a connection to an entry may take to be made, in seconds.
CONNECT_TIMEOUT_S = 1.0
#: How long after its deadline an answer is still waited for, in seconds: the entry's
#: own answer that the deadline passed comes in this time.
ANSWER_MARGIN_S = 0.05


class Request(msgspec.Struct, frozen=True):
    """
    What a caller wants; ``repeatable`` must agree with the bundle.

    ``timeout_s`` is the time within which the answer is wanted, in seconds.
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


class Answer(msgspec.Struct, frozen=True):
    """
    A whole answer, with what became of the request.

    ``upstream`` and ``entry`` say who gave it; ``retry_after_s`` is set where
    asking again later makes sense.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    outcome: outcomes.Outcome
    reason: str
    request_id: str
    upstream: str
    entry: str
    retry_after_s: float | None


class NoAnswer(msgspec.Struct, frozen=True):
    """No entry gave an answer; ``outcome`` says what is known nevertheless."""

    outcome: outcomes.Outcome
    reason: str


class Client:
    """
    One caller's way into the system.

    ``seeds`` are addresses, ``IP:port``, of entries to ask first; ``caller``
    and ``key`` are those of its client account, if any.

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
        self.caller = caller
        self.key = key
        self.clock = time or clock.BoottimeClock()
        self.resends = 0
        self._session: aiohttp.ClientSession | None = None
        self._directory = entry_directory.EntryDirectory(
            seeds=[ids.Address(seed) for seed in seeds],
            time=self.clock,
            rng=rng or random.Random(),
            open_session=self._open,
        )

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
        ticket: entry_directory.Ticket | None = None
        if not request.repeatable and not request.chosen_id:
            ticket = await self._directory.ticket()
            if ticket is None:
                return NoAnswer(outcomes.Outcome.NOT_RUN, "no entry gave a ticket")
        result = NoAnswer(outcomes.Outcome.NOT_RUN, "no entry could be reached")
        failed: set[ids.Address] = set()
        for attempt in range(1, MAX_ATTEMPTS + 1):
            entry = await self._directory.pick(ticket, failed)
            left_s = deadline - self.clock.now()
            if entry is None or left_s <= 0:
                break
            answer = await self._send(entry, request, ticket, attempt, left_s)
            if isinstance(answer, Answer):
                return answer
            result = _combine_results(result, answer)
            failed.add(entry)
            self.resends += 1
            if ticket is not None and result.outcome is outcomes.Outcome.NOT_RUN:
                # Nothing was ever sent under this ticket, and its home is
                # gone: start again with a ticket of another entry.
                ticket = await self._directory.ticket_of_another(entry)
                if ticket is None:
                    break
        return result

    async def _send(
        self,
        entry: ids.Address,
        request: Request,
        ticket: entry_directory.Ticket | None,
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
                timeout=aiohttp.ClientTimeout(
                    total=left_s + ANSWER_MARGIN_S, sock_connect=CONNECT_TIMEOUT_S
                ),
            ) as response:
                body = await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return NoAnswer(outcomes.Outcome.NOT_RUN, "connection refused")
        except (aiohttp.ClientError, OSError, TimeoutError):
            return NoAnswer(outcomes.Outcome.UNKNOWN, "connection to the entry broke")
        return _answer(entry, response, body)

    def _headers(
        self,
        request: Request,
        ticket: entry_directory.Ticket | None,
        attempt: int,
        left_s: float,
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

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                connector=aiohttp.TCPConnector(limit=0, use_dns_cache=False),
            )
            # aiohttp would send some requests again by itself; every resend is
            # decided here.
            self._session._retry_connection = False
        return self._session


def _answer(
    entry: ids.Address, response: aiohttp.ClientResponse, body: bytes
) -> Answer:
    fields = response.headers
    after_ms = fields.get(headers.RETRY_AFTER_MS)
    return Answer(
        status=response.status,
        headers=tuple((k, v) for k, v in fields.items()),
        body=body,
        outcome=outcomes.Outcome(fields.get(headers.OUTCOME, "unknown")),
        reason=fields.get(headers.REASON, ""),
        request_id=fields.get(headers.REQUEST_ID, ""),
        upstream=fields.get(headers.UPSTREAM, ""),
        entry=entry,
        retry_after_s=int(after_ms) / 1000 if after_ms else None,
    )


def _combine_results(before: NoAnswer, after: NoAnswer) -> NoAnswer:
    """Return what is known of two tries: once unknown, an outcome stays so."""
    if before.outcome is outcomes.Outcome.UNKNOWN:
        return before
    return after
