"""
What the caller library knows of the entries: which to use, until when.

Asks entries it knows, then the seeds, and keeps the answer until its deadline,
together with the tickets in it. Used by ``client`` only.
"""

import asyncio
import random
from collections import abc

import aiohttp
import msgspec

from spindlenotch import api, clock, ids

#: Tickets that are asked for when one is needed.
TICKET_BATCH_SIZE = 8
#: How long one entry may take to say which entries to use, in seconds.
QUERY_TIMEOUT_S = 2.0
#: A ticket is used at the most this long after it arrived, in seconds: half of the time
#: for which its entry takes it.
TICKET_USE_S = 60.0


class Ticket(msgspec.Struct):
    """A ticket, the entry that minted it, and until when to use it."""

    text: str
    entry: ids.Address
    use_by: ids.Instant


class EntryDirectory:
    """
    Entries to use, until a deadline, and unused tickets.

    Invariant: an entry is named only by an answer that has not expired, but
    for one that a ticket names.
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
        """Take an unused ticket, asking for some if there is none."""
        now = self.clock.now()
        self._tickets = [t for t in self._tickets if t.use_by > now]
        if not self._tickets:
            await self._query(TICKET_BATCH_SIZE)
        return self._tickets.pop() if self._tickets else None

    async def ticket_of_another(self, failed: ids.Address) -> Ticket | None:
        """Take a ticket of another entry; drop those of the one that failed."""
        self._tickets = [t for t in self._tickets if t.entry != failed]
        if not self._tickets:
            await self._query(TICKET_BATCH_SIZE, skip=failed)
        return self._tickets.pop() if self._tickets else None

    async def pick(
        self, ticket: Ticket | None, failed: abc.Container[ids.Address]
    ) -> ids.Address | None:
        """
        Choose an entry: the ticket's own first, else any that is named.

        One that failed is chosen only where no other is left; None where no
        entry is known at all.
        """
        if ticket is not None and ticket.entry not in failed:
            return ticket.entry
        if self.clock.now() >= self._deadline:
            async with self._refreshing:
                if self.clock.now() >= self._deadline:
                    await self._query(0)
        untried = [e for e in self._entries if e not in failed]
        if not untried:
            # All that were named have failed: others may know of more.
            await self._query(0)
            untried = [e for e in self._entries if e not in failed]
        options = untried or self._entries
        return self.rng.choice(options) if options else None

    async def _query(self, tickets: int, skip: str = "") -> None:
        """Ask one entry after another, known ones first, until one answers."""
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
        """Ask one entry; None where it gives no answer that can be used."""
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
            # Whatever is wrong with this entry, the next one is asked.
            return None

    def _adopt(self, source: ids.Address, answer: api.EntriesAnswer) -> None:
        now = self.clock.now()
        valid_for_s = answer.valid_for_ms / 1000
        self._entries = [ids.Address(entry.address) for entry in answer.entries]
        self._deadline = ids.later(now, valid_for_s)
        use_by = ids.later(now, min(TICKET_USE_S, valid_for_s))
        self._tickets += [Ticket(text, source, use_by) for text in answer.tickets]
