"""
The platform of a ``virtual_world``: its key-value service and its host list.

Their state is shared by all entries and operators, each of which has a driver
of its own. Faults are attributes of the state, which the machines set.
"""

import asyncio
import dataclasses
import typing
from collections import abc

import msgspec

from features.support import fake_network, virtual_world
from spindlenotch import ports

#: How long a driver waits for the store, in seconds.
STORE_TIMEOUT_S = 1.5
#: What a driver adds to the time that a watch lasts, in seconds.
WATCH_MARGIN_S = 2.0
#: When a late write takes effect, in seconds: after its driver gave up.
LATE_WRITE_S = 2.5


@dataclasses.dataclass(slots=True)
class StoredValue:
    """A value and, for a leased one, when it vanishes."""

    revision: int
    data: bytes
    expires_at: float | None


class StoreState:
    """
    The one store of a world.

    ``down`` lets every call vanish; ``lose_answers`` lets that many writes
    take effect unanswered; ``late_writes`` lets that many take effect only
    seconds later, when the client has long given up.
    """

    def __init__(self, world: virtual_world.World) -> None:
        self.world = world
        self.value_by_key: dict[str, StoredValue] = {}
        self.revision = 0
        self.down = False
        self.lose_answers = 0
        self.late_writes = 0
        self.watchers: list[tuple[str, int, abc.Callable[[ports.Stored], None]]] = []

    def read(self, key: str) -> ports.Stored:
        """Return a value; revision zero where there is none."""
        value = self.value_by_key.get(key)
        if value is None:
            return ports.Stored(0, b"")
        if value.expires_at is not None and value.expires_at <= self.world.now:
            del self.value_by_key[key]
            return ports.Stored(0, b"")
        return ports.Stored(value.revision, value.data)

    def compare_and_swap(
        self, key: str, data: bytes, expected: int, lease_s: float | None
    ) -> ports.Stored | ports.Conflict:
        """Compare and swap now."""
        found = self.read(key).revision
        if found != expected:
            return ports.Conflict(found)
        self.revision += 1
        expires_at = None if lease_s is None else self.world.now + lease_s
        self.value_by_key[key] = StoredValue(self.revision, data, expires_at)
        self._notify()
        return ports.Stored(self.revision, data)

    def _notify(self) -> None:
        left = []
        for key, after, resolve in self.watchers:
            stored = self.read(key)
            if stored.revision > after and not self.down:
                resolve(stored)
            else:
                left.append((key, after, resolve))
        self.watchers = left


class FakeStore:
    """One entry's, or operator's, driver for the store."""

    def __init__(self, state: StoreState, loop: virtual_world.WorldLoop) -> None:
        self.state = state
        self.loop = loop

    async def get(self, key: str) -> ports.Stored | ports.StoreFault:
        """Read a value."""
        return await self._call(
            lambda resolve: resolve(self.state.read(key), fake_network.DELIVERY_S)
        )

    async def compare_and_swap(
        self, key: str, value: bytes, expected: int, lease_s: float | None = None
    ) -> ports.Stored | ports.Conflict | ports.StoreFault:
        """Compare and swap, with the faults of the moment."""
        state = self.state

        def carry_out(resolve: abc.Callable[[typing.Any, float], None]) -> None:
            if state.late_writes > 0:
                state.late_writes -= 1
                state.world.after(
                    LATE_WRITE_S,
                    lambda: (
                        state.compare_and_swap(key, value, expected, lease_s) and None
                    ),
                )
                return
            result = state.compare_and_swap(key, value, expected, lease_s)
            if isinstance(result, ports.Stored) and state.lose_answers > 0:
                state.lose_answers -= 1
                return
            resolve(result, fake_network.DELIVERY_S)

        return await self._call(carry_out)

    async def watch(
        self, key: str, after: int, wait_s: float
    ) -> ports.Stored | ports.StoreFault:
        """Wait for a newer revision."""
        state = self.state

        def carry_out(resolve: abc.Callable[[typing.Any, float], None]) -> None:
            stored = state.read(key)
            if stored.revision > after:
                resolve(stored, fake_network.DELIVERY_S)
            else:
                state.watchers.append(
                    (key, after, lambda s: resolve(s, fake_network.DELIVERY_S))
                )
                state.world.after(
                    wait_s, lambda: resolve(state.read(key), fake_network.DELIVERY_S)
                )

        return await self._call(carry_out, wait_s + WATCH_MARGIN_S)

    async def close(self) -> None:
        """Do nothing."""

    async def _call(
        self, carry_out: abc.Callable[..., None], timeout_s: float = STORE_TIMEOUT_S
    ) -> typing.Any:
        future, resolve = fake_network.reply(self.state.world, self.loop)

        def reach() -> None:
            if not self.state.down:
                carry_out(resolve)

        self.state.world.after(fake_network.DELIVERY_S, reach)
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            return ports.StoreFault.UNAVAILABLE


class HostsState:
    """The one host list of a world; ``down`` lets every call fail."""

    def __init__(self) -> None:
        self.revision = 1
        self.record_by_id: dict[str, dict[str, typing.Any]] = {}
        self.down = False

    def put(self, **record: typing.Any) -> None:
        """Add or change a host."""
        self.revision += 1
        self.record_by_id[record["id"]] = record

    def listing(self) -> ports.HostListing:
        """Return the list."""
        hosts = list(self.record_by_id.values())
        table = {"revision": self.revision, "hosts": hosts}
        return ports.HostListing(self.revision, msgspec.json.encode(table))


class FakeHostList:
    """One entry's driver for the host list."""

    def __init__(self, state: HostsState) -> None:
        self.state = state

    async def fetch(self, known: int) -> ports.HostListing | ports.HostListFault | None:
        """Return the list if it is news."""
        await asyncio.sleep(fake_network.DELIVERY_S)
        if self.state.down:
            return ports.HostListFault.UNAVAILABLE
        listing = self.state.listing()
        return None if listing.revision == known else listing

    async def close(self) -> None:
        """Do nothing."""
