"""
A store that comes back from a copy while callers send requests to all gateways.

Relies on a ``platform_fleet``. Instants are those of ``time.monotonic``; arrivals count
when the worker reads them.
"""

import asyncio
import contextlib
import dataclasses
import signal
import time

from features.support import platform_fleet, platform_store, steady_callers

#: Seconds for which the store is away before it comes back from a copy, and after which
#: the operator and the workers have written again what it has lost.
AWAY_S, WRITTEN_AGAIN_S = 0.6, 0.5
#: Seconds before the store is away at which a worker joins.
JOINED_S = 0.3
#: Seconds between two workers that leave, and until the last late request is read.
APART_S, LATE_S = 1.0, 5.0
#: Seconds for which a gateway is frozen, and for which that excuses it afterwards.
FROZEN_S, EXCUSED_S = 3.0, 3.0
OTHER_KEY = "status/other"
DOWN = 503


class Restore(steady_callers.SteadyCallers):
    """
    Callers of all gateways, and a store that is restored meanwhile.

    ``known_at_by_worker`` is when each leaving was taken by a store that answers,
    ``excused_until_by_node`` until when a gateway is not to blame.
    """

    def __init__(self, fleet: platform_fleet.PlatformFleet) -> None:
        super().__init__(fleet)
        self.writes_per_s = 0.0
        self.known_at_by_worker: dict[str, float] = {}
        self.excused_until_by_node: dict[str, float] = {}

    async def leave(self, names: list[str]) -> None:
        """Let workers say in their entries, one after the other, that they leave."""
        for name in names:
            self.leave_now(name, time.monotonic())
            await asyncio.sleep(APART_S)

    def leave_now(self, name: str, known_at: float) -> None:
        """Let a worker say in its entry that it leaves."""
        self.fleet.list_worker(self.fleet.worker_by_id[name], state="draining")
        self.known_at_by_worker[name] = known_at

    async def restore(self, copy_age_s: float) -> None:
        """Let the store be away for a moment and come back from a copy."""
        copy = await self.aged_copy(copy_age_s)
        async with self.away():
            await asyncio.sleep(AWAY_S)
            lost = self.fleet.store.restore(copy)
        await asyncio.sleep(WRITTEN_AGAIN_S)
        self.fleet.store.write_again(lost)

    async def aged_copy(self, age_s: float) -> platform_store.Copy:
        """
        Return a copy of the store of some seconds ago.

        A worker joins last, so that a list of upstreams is published by a revision that
        the copy does not have.
        """
        copy = self.fleet.store.copy()
        await asyncio.sleep(age_s - JOINED_S)
        await self.fleet.add_worker("joined-last")
        await asyncio.sleep(JOINED_S)
        return copy

    @contextlib.asynccontextmanager
    async def away(self):  # type: ignore[no-untyped-def]
        """Let the store refuse all calls meanwhile."""
        store = self.fleet.store
        store.trouble = dataclasses.replace(store.trouble, refuse=DOWN)
        try:
            yield
        finally:
            store.trouble = dataclasses.replace(store.trouble, refuse=0)

    async def freeze(self, nodes: list[str]) -> None:
        """Stop gateways for a while, one after the other."""
        for node in nodes:
            process = self.fleet.process_by_node[node]
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(FROZEN_S)
            process.send_signal(signal.SIGCONT)
            self.excused_until_by_node[node] = time.monotonic() + EXCUSED_S

    async def write_other_key(self) -> None:
        """Write a key that is nothing to the gateways, again and again."""
        while True:
            self.write_other_once()
            await asyncio.sleep(1 / self.writes_per_s)

    def write_other_once(self) -> None:
        """Write that key."""
        self.fleet.store.put(OTHER_KEY, {"at": time.time()})

    def late(self, seconds: float) -> list[tuple[str, str, float]]:
        """Return requests read so long after their worker's leaving was known."""
        return [
            (name, request.node, round(when - known_at, 2))
            for name, known_at in self.known_at_by_worker.items()
            for when, request in self.read_by(name)
            if when > known_at + seconds
            and when > self.excused_until_by_node.get(request.node, 0.0)
        ]

    async def _ask(self) -> None:
        """Send to all gateways, those that do not read the store among them."""
        self._nodes = list(self.fleet.ip_by_node)
