"""
Client library that callers embed.

Sends a request to one of the entries that ``entry_directory`` knows, fails over to
another entry, and attaches tickets to requests that may not be repeated. A request
whose outcome is unknown is never resent under a new id.
"""

import random
from collections import abc

import aiohttp
import msgspec

from spindlenotch import clock, entry_directory, headers, ids
from spindlenotch.drivers import http_client
from spindlenotch.kernel import outcomes

#: Upper bound of the attempts at one request, each at one entry.
MAX_ATTEMPTS = 4
#: Timeout for connecting to an entry, in seconds.
CONNECT_TIMEOUT_S = 1.0
#: Seconds for which the client waits beyond the deadline of a request: the entry's own
#: response that the deadline has passed arrives within them.
ANSWER_MARGIN_S = 0.05


class Request(msgspec.Struct, frozen=True):
    """
    A request of a caller; ``repeatable`` must agree with the bundle.

    ``timeout_s`` is the time within which a response is needed, in seconds.
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
    A complete response, with the outcome of the request.

    ``upstream`` and ``entry`` say which of them sent it; ``retry_after_s``, in seconds,
    is set if a later retry makes sense.
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
    """No entry responded; ``outcome`` says what is known of the request."""

    outcome: outcomes.Outcome
    reason: str


class Client:
    """
    Sends the requests of one caller.

    ``seeds`` are the addresses, ``IP:port``, of entries to query first; ``caller``
    and ``key`` are those of its client account, if any.

    Invariants: a connection is made only to a seed (to query it) or to an entry
    listed in a response that has not expired; a request that may not be repeated is
    sent under one id only.
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
        self.retry_count = 0
        self._session: aiohttp.ClientSession | None = None
        self._directory = entry_directory.EntryDirectory(
            seeds=[ids.Address(seed) for seed in seeds],
            time=self.clock,
            rng=rng or random.Random(),
            open_session=self._open,
        )

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def call(self, request: Request) -> Answer | NoAnswer:
        """
        Send a request and return its complete response.

        If a connection breaks, a repeatable request is retried through another
        entry; any other is retried under the same id. A response with the outcome
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
            self.retry_count += 1
            if ticket is not None and result.outcome is outcomes.Outcome.NOT_RUN:
                # Nothing was sent under this ticket, and its entry is unreachable:
                # start over with a ticket of another entry.
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
            self._session = http_client.new_session(
                connections=0,
                caches_addresses=False,
                # All retries are decided in this class.
                retries_idempotent=False,
                decompresses=False,
            )
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
    """Return the result of two attempts: an unknown outcome stays unknown."""
    if before.outcome is outcomes.Outcome.UNKNOWN:
        return before
    return after
