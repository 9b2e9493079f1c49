"""
Load on all gateways while the store is restored from a backup.

Relies on a ``platform_fleet``. Times are those of ``time.monotonic``; a request arrives
when the worker reads it.
"""

import asyncio
import contextlib
import dataclasses
import signal
import time

from features.support import platform_fleet, platform_store, steady_callers

#: Seconds for which the store refuses all calls before it is restored, and from the
#: restore until the operator and the workers write the lost values again.
OUTAGE_S, REWRITE_DELAY_S = 0.6, 0.5
#: Seconds between the last worker's joining and the outage.
JOIN_LEAD_S = 0.3
#: Seconds between two workers that drain, and for which late requests are recorded
#: afterwards.
DRAIN_INTERVAL_S, OBSERVATION_S = 1.0, 5.0
#: Seconds for which a gateway is frozen, and for which its requests are not counted
#: after it resumes or starts again.
FREEZE_S, FREEZE_GRACE_S = 3.0, 3.0
UNRELATED_KEY = "status/other"
DOWN = 503


class StoreRestorePlay(steady_callers.SteadyCallers):
    """
    Sends requests to all gateways while the store is restored.

    ``acknowledged_at_by_worker`` is when the store acknowledged that a worker drains.
    Requests of a gateway before its time in ``ignored_until_by_node`` do not count as
    late.
    """

    def __init__(self, fleet: platform_fleet.PlatformFleet) -> None:
        super().__init__(fleet)
        self.unrelated_writes_per_s = 0.0
        self.acknowledged_at_by_worker: dict[str, float] = {}
        self.ignored_until_by_node: dict[str, float] = {}

    async def drain_workers(self, names: list[str]) -> None:
        """Mark workers as draining in their entries, one after the other."""
        for name in names:
            self.drain_worker(name, time.monotonic())
            await asyncio.sleep(DRAIN_INTERVAL_S)

    def drain_worker(self, name: str, acknowledged_at: float) -> None:
        """Mark a worker as draining in its entry."""
        self.fleet.list_worker(self.fleet.worker_by_id[name], state="draining")
        self.acknowledged_at_by_worker[name] = acknowledged_at

    async def restore_store(self, backup_age_s: float) -> None:
        """Restore the store from a backup after a short outage."""
        backup = await self.make_backup(backup_age_s)
        await self.restore_backup(backup, REWRITE_DELAY_S)

    async def restore_backup(
        self, backup: platform_store.Backup, rewrite_delay_s: float
    ) -> None:
        """Restore a backup after a short outage, and rewrite lost values later."""
        async with self.store_outage():
            await asyncio.sleep(OUTAGE_S)
            lost_value_by_key = self.fleet.store.restore(backup)
        await asyncio.sleep(rewrite_delay_s)
        self.fleet.store.rewrite(lost_value_by_key)

    def remove_entries(self, names: list[str]) -> None:
        """
        Remove the entries of workers, which keep serving.

        The first removal of an entry counts as the acknowledgement.
        """
        for name in names:
            self.fleet.store.remove(f"servers/{name}")
            self.acknowledged_at_by_worker.setdefault(name, time.monotonic())

    async def make_backup(self, age_s: float) -> platform_store.Backup:
        """
        Back up the store, and return the backup once it is ``age_s`` seconds old.

        A worker joins meanwhile, so that gateways publish an upstream list of a
        revision that is not in the backup.
        """
        backup = self.fleet.store.backup()
        await asyncio.sleep(age_s - JOIN_LEAD_S)
        await self.fleet.add_worker("joined-last")
        await asyncio.sleep(JOIN_LEAD_S)
        return backup

    @contextlib.asynccontextmanager
    async def store_outage(self):  # type: ignore[no-untyped-def]
        """Make the store refuse all calls within the context."""
        store = self.fleet.store
        store.trouble = dataclasses.replace(store.trouble, refuse=DOWN)
        try:
            yield
        finally:
            store.trouble = dataclasses.replace(store.trouble, refuse=0)

    async def freeze_gateways(self, nodes: list[str]) -> None:
        """Freeze gateways for ``FREEZE_S`` each, one after the other."""
        for node in nodes:
            process = self.fleet.process_by_node[node]
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            process.send_signal(signal.SIGCONT)
            self.ignored_until_by_node[node] = time.monotonic() + FREEZE_GRACE_S

    async def kill_gateways(self, nodes: list[str]) -> None:
        """Kill gateways, start them again and set their grace period."""
        await self.kill(nodes)
        for node in nodes:
            self.ignored_until_by_node[node] = time.monotonic() + FREEZE_GRACE_S

    async def keep_writing_unrelated_key(self) -> None:
        """Write a key that gateways ignore, at a steady rate until cancelled."""
        while True:
            self.write_unrelated_key()
            await asyncio.sleep(1 / self.unrelated_writes_per_s)

    def write_unrelated_key(self) -> None:
        """Write a key that gateways ignore, which increases the store's revision."""
        self.fleet.store.put(UNRELATED_KEY, {"at": time.time()})

    def late_requests(self, allowed_s: float) -> list[tuple[str, str, float]]:
        """
        Return requests that reached a draining worker too late.

        Each with its worker, its gateway and the seconds since the acknowledgement.
        """
        return [
            (name, request.node, round(arrived_at - acknowledged_at, 2))
            for name, acknowledged_at in self.acknowledged_at_by_worker.items()
            for arrived_at, request in self.read_by(name)
            if arrived_at > acknowledged_at + allowed_s
            and arrived_at > self.ignored_until_by_node.get(request.node, 0.0)
        ]

    async def _ask(self) -> None:
        """Select all gateways, including those that do not read the store."""
        self._nodes = list(self.fleet.ip_by_node)
