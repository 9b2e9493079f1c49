"""
The entries known to the caller library, with their expiry.

Queries the known entries, then the seeds, and caches the response and the tickets in
it until its deadline. Used by ``client`` only.
"""

import asyncio
import random
from collections import abc

import aiohttp
import msgspec

from spindlenotch import api, clock, ids

#: Tickets requested from an entry when one is needed.
TICKET_BATCH_SIZE = 8
#: Timeout for querying one entry, in seconds.
QUERY_TIMEOUT_S = 2.0
#: Longest age at which a ticket is used, in seconds since it arrived: half of the time
#: for which its entry accepts it.
TICKET_USE_S = 60.0


class Ticket(msgspec.Struct):
    """A ticket, the entry that issued it, and the instant until which to use it."""

    text: str
    entry: ids.Address
    use_by: ids.Instant


class EntryDirectory:
    """
    The entries to use until a deadline, and unused tickets.

    Invariant: except for the entry of a ticket, only entries listed in a response
    that has not expired are used.
    """

    def __init__(
        self,
        *,
        seeds: list[ids.Address],
        time: clock.Clock,
        rng: random.Random,
        open_session: abc.Callable[[], aiohttp.ClientSession],
    ) -> None:
        self.seeds = seeds
        self.clock = time
        self.rng = rng
        self._open_session = open_session
        self._entries: list[ids.Address] = []
        self._deadline = ids.Instant(0.0)
        self._tickets: list[Ticket] = []
        self._refreshing = asyncio.Lock()

    async def ticket(self) -> Ticket | None:
        """Take an unused ticket, requesting some if there is none."""
        now = self.clock.now()
        self._tickets = [t for t in self._tickets if t.use_by > now]
        if not self._tickets:
            await self._query(TICKET_BATCH_SIZE)
        return self._tickets.pop() if self._tickets else None

    async def ticket_of_another(self, failed: ids.Address) -> Ticket | None:
        """Take a ticket of another entry; discard those of the one that failed."""
        self._tickets = [t for t in self._tickets if t.entry != failed]
        if not self._tickets:
            await self._query(TICKET_BATCH_SIZE, skip=failed)
        return self._tickets.pop() if self._tickets else None

    async def pick(
        self, ticket: Ticket | None, failed: abc.Container[ids.Address]
    ) -> ids.Address | None:
        """
        Choose an entry: that of the ticket first, else any listed one.

        One that failed is chosen only if no other is left; None if no entry is
        known.
        """
        if ticket is not None and ticket.entry not in failed:
            return ticket.entry
        if self.clock.now() >= self._deadline:
            async with self._refreshing:
                if self.clock.now() >= self._deadline:
                    await self._query(0)
        untried = [e for e in self._entries if e not in failed]
        if not untried:
            # All listed entries have failed: another source may list more.
            await self._query(0)
            untried = [e for e in self._entries if e not in failed]
        options = untried or self._entries
        return self.rng.choice(options) if options else None

    async def _query(self, tickets: int, skip: str = "") -> None:
        """Query the entries in turn, known ones first, until one responds."""
        known = list(self._entries)
        self.rng.shuffle(known)
        seeds = list(self.seeds)
        self.rng.shuffle(seeds)
        for source in [*known, *seeds]:
            if source == skip:
                continue
            answer = await self._query_one(source, tickets)
            if answer is not None:
                self._adopt(source, answer)
                return

    async def _query_one(
        self, source: ids.Address, tickets: int
    ) -> api.EntriesAnswer | None:
        """Query one entry; return None if it gives no usable response."""
        try:
            async with self._open_session().get(
                f"http://{source}/v1/entries",
                params={"tickets": str(tickets)},
                timeout=aiohttp.ClientTimeout(total=QUERY_TIMEOUT_S),
                allow_redirects=False,
            ) as response:
                body = await response.read()
            if response.status != 200:
                return None
            return msgspec.json.decode(body, type=api.EntriesAnswer)
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError):
            # Whatever the fault of this entry, the next one is queried.
            return None

    def _adopt(self, source: ids.Address, answer: api.EntriesAnswer) -> None:
        now = self.clock.now()
        valid_for_s = answer.valid_for_ms / 1000
        self._entries = [ids.Address(entry.address) for entry in answer.entries]
        self._deadline = ids.later(now, valid_for_s)
        use_by = ids.later(now, min(TICKET_USE_S, valid_for_s))
        self._tickets += [Ticket(text, source, use_by) for text in answer.tickets]
