"""
A configuration that changes steadily, and requests that show which one is in force.

Each version adds a route of its own. Times are those of ``time.monotonic``.
"""

import asyncio
import math
import time

import msgspec

from features.support import (
    connection_timeouts,
    platform_fleet,
    steady_callers,
)

#: Seconds between two versions, and between two requests to each gateway.
CHANGE_PERIOD_S, REQUEST_PERIOD_S = 1.0, 0.1
#: Versions whose routes are kept.
KEPT_VERSIONS = 10
NOT_FOUND = 404
CONFIGURATION_KEY = "op/config"


class LateRequest(msgspec.Struct, frozen=True):
    """A request that a gateway handled as an older version requires."""

    node: str
    version: int
    #: Seconds from the acknowledgement of the version to the request.
    after_s: float


class ConfigurationChanges:
    """
    Changes the configuration, and asks each gateway for the newest route it must know.

    A version must be in force ``apply_s`` seconds after its acknowledgement. A silence
    of connections excuses the gateways for ``excused_s`` seconds.
    """

    def __init__(
        self, fleet: platform_fleet.PlatformFleet, apply_s: float, excused_s: float
    ) -> None:
        self.fleet = fleet
        self.apply_s = apply_s
        self.excused_s = excused_s
        self.request_count = 0
        self.late: list[LateRequest] = []
        self._version = 4
        self._acknowledged_at_by_version: dict[int, float] = {}
        self._excused_until = 0.0
        self._aborting: set[asyncio.Task[None]] = set()

    async def run(self, trouble: steady_callers.Trouble) -> None:
        """Change the configuration and send requests until ``trouble`` is over."""
        changing = asyncio.ensure_future(self._change())
        asking = [
            asyncio.ensure_future(self._ask(node)) for node in self.fleet.ip_by_node
        ]
        try:
            await trouble
        finally:
            for task in (changing, *asking, *self._aborting):
                task.cancel()
            await asyncio.gather(changing, *asking, return_exceptions=True)

    def silence_store_connections(self) -> None:
        """Silence the open connections to the store until the kernel would end them."""
        self._excused_until = time.monotonic() + self.excused_s
        transport_by_address = {
            one.get_extra_info("peername")[:2]: one
            for one in self.fleet.store.silence_connections()
        }
        for process in self.fleet.process_by_node.values():
            with connection_timeouts.sockets_of(process.pid) as socket_by_address:
                for address in socket_by_address.keys() & transport_by_address.keys():
                    after_s = connection_timeouts.abort_after_s(
                        socket_by_address[address]
                    )
                    self._abort_later(transport_by_address[address], after_s)

    def _abort_later(self, transport: asyncio.Transport, after_s: float) -> None:
        async def abort() -> None:
            await asyncio.sleep(after_s)
            transport.abort()

        if after_s < math.inf:
            task = asyncio.ensure_future(abort())
            self._aborting.add(task)
            task.add_done_callback(self._aborting.discard)

    async def _change(self) -> None:
        while True:
            self._version += 1
            routes = [
                platform_fleet.route(f"r{version}", f"/v{version}/")
                for version in range(
                    max(5, self._version - KEPT_VERSIONS + 1), self._version + 1
                )
            ]
            changed = platform_fleet.configuration(
                self._version, routes, (steady_callers.SERVICE,)
            )
            self.fleet.store.put(CONFIGURATION_KEY, changed)
            self._acknowledged_at_by_version[self._version] = time.monotonic()
            await asyncio.sleep(CHANGE_PERIOD_S)

    async def _ask(self, node: str) -> None:
        """Ask a gateway for the newest route that it must know by now."""
        while True:
            sent_at = time.monotonic()
            due = [
                version
                for version, at in self._acknowledged_at_by_version.items()
                if at + self.apply_s < sent_at
            ]
            if due and sent_at > self._excused_until:
                await self._ask_for(node, max(due), sent_at)
            await asyncio.sleep(REQUEST_PERIOD_S)

    async def _ask_for(self, node: str, version: int, sent_at: float) -> None:
        self.request_count += 1
        request_id = f"{node}-{self.request_count}"
        answer = await self.fleet.send(node, f"/v{version}/x", request_id)
        if answer.status == NOT_FOUND:
            after_s = sent_at - self._acknowledged_at_by_version[version]
            self.late.append(LateRequest(node, version, round(after_s, 2)))
