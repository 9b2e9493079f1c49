"""
Claims: give an id that the caller chose its one home, through the store.

A claim is written only if none is there, and names this life of this process.
Whoever finds it sends the request there. Whether the request runs is then up
to the home's table alone, so a write whose answer was lost does no harm: it
can only have named this process.
"""

import asyncio
import enum
import hashlib

import msgspec

from spindlenotch import ids, ports
from spindlenotch.entry import entry_state, once
from spindlenotch.kernel import budgets

#: Longest that a claim waits for a token of the claim budget, in seconds: above the
#: 0.09 s in which an entry that had just started refused claims while the fleet's
#: budget was unused.
MAX_CLAIM_WAIT_S = 0.25
#: How often a claim is written before its id is given up: once more after an answer
#: that was lost.
MAX_WRITES = 2


class ClaimFault(enum.Enum):
    """Why an id has no home yet."""

    UNAVAILABLE = "unavailable"
    OVER_BUDGET = "over-budget"


class Home(msgspec.Struct, frozen=True):
    """The life of an entry process that alone may run an id."""

    host: str
    incarnation: str


class ClaimRates(msgspec.Struct):
    """
    This process's share of the claim budget in force, and its bucket.

    ``per_second`` counts claims written a second.
    """

    per_second: float
    bucket: budgets.RateBudget


class Claims:
    """Finds or makes the home of caller-chosen ids."""

    def __init__(self, state: entry_state.EntryState, store: ports.Store) -> None:
        self.state = state
        self.store = store
        now = state.clock.now()
        self.rates = ClaimRates(0.0, budgets.RateBudget(0.0, 1.0, now))

    async def home_of(self, key: once.OnceKey) -> Home | ClaimFault:
        """
        Return the home of ``key``, claiming it for this process if free.

        May wait ``MAX_CLAIM_WAIT_S`` for the claim budget.
        """
        own_home = Home(self.state.config.host, self.state.incarnation)
        if key in self.state.once.record_by_key:
            return own_home
        write_at = self._reserve_write()
        if write_at is None:
            return ClaimFault.OVER_BUDGET
        await asyncio.sleep(max(0.0, write_at - self.state.clock.now()))
        for _ in range(MAX_WRITES):
            result = await self._swap(key, own_home)
            if isinstance(result, ports.Stored):
                return own_home
            if result is ports.StoreFault.OVER_LIMIT:
                return ClaimFault.OVER_BUDGET
            holder = await self._read(key)
            if holder is not None:
                return holder
            # Absent after a lost answer: swapping again is safe, since a
            # late first write would make the second one lose to ourselves.
        return ClaimFault.UNAVAILABLE

    async def _swap(
        self, key: once.OnceKey, own_home: Home
    ) -> ports.Stored | ports.Conflict | ports.StoreFault:
        bundle = self.state.bundle
        assert bundle is not None
        self.state.metrics.store_calls.labels("claim").inc()
        return await self.store.compare_and_swap(
            _store_key(key),
            msgspec.json.encode(own_home),
            expected=0,
            lease_s=float(bundle.claim_keep_s),
        )

    async def _read(self, key: once.OnceKey) -> Home | None:
        """
        Return the home that the store holds for ``key``.

        None where it is absent, the store does not answer, or the value is no
        claim: the next write then decides, and only an absent key takes it.
        """
        self.state.metrics.store_calls.labels("claim").inc()
        stored = await self.store.get(_store_key(key))
        if isinstance(stored, ports.StoreFault) or stored.revision == 0:
            return None
        try:
            return msgspec.json.decode(stored.value, type=Home)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return None

    def _reserve_write(self) -> ids.Instant | None:
        """Return when one claim may be written; None if that is too late."""
        bundle = self.state.bundle
        if bundle is None:
            return None
        now = self.state.clock.now()
        member_count = max(1, len(self.state.gossip.ready_members()))
        self._adopt_rate(bundle.claims_per_second / member_count)
        return self.rates.bucket.reserve(now, MAX_CLAIM_WAIT_S)

    def _adopt_rate(self, per_second: float) -> None:
        """Take in another share of the budget; the tokens saved so far stay."""
        if per_second == self.rates.per_second:
            return
        old = self.rates.bucket
        bucket = budgets.RateBudget(
            per_second, max(1.0, per_second), old.filled_at, old.tokens
        )
        self.rates = ClaimRates(per_second, bucket)


def _store_key(key: once.OnceKey) -> str:
    return "claims/" + hashlib.sha256(key.encode()).hexdigest()


def is_mine(home: Home, host: ids.HostId, incarnation: ids.Incarnation) -> bool:
    """Tell whether ``home`` is this very process."""
    return home.host == host and home.incarnation == incarnation
