"""
Callers: they ask a directory where to go, send at a steady rate and note what they got.

Each request goes once, on a new connection, with an id of its own that its target
repeats, so that an answer shows whose it is. A caller never waits for good.
"""

import asyncio
import contextlib
import random
import time
from collections import abc

import aiohttp
import yarl

from features.support import platform_fleet
from tools.soak_processes import ledger, world as worlds

#: How often a zone's callers ask a directory, in seconds: the time that answers hold.
ASK_EVERY_S = 1.0
#: How many times as long the callers of the last zone hold an answer.
HELD_LONG = 3.0
#: How many gateways are asked at most, and how long each may take, in seconds.
MOST_ASKED, ASK_LIMIT_S = 3, 1.0
#: How long a connection may take to come up, in seconds.
CONNECT_LIMIT_S = 1.0
#: How much longer than its deadline a caller waits, in seconds, to see who is late.
WAITS_ON_S = 3.0
#: How often each gateway is asked for the newest routes, in seconds.
SOUND_EVERY_S = 0.4
#: Part of the requests that each route gets.
SHARE_BY_ROUTE = {"read": 0.5, "book": 0.25, "files": 0.15, "ledger": 0.1}


class Callers:
    """All callers of one play."""

    def __init__(self, world: worlds.World) -> None:
        self.world = world
        self.rng = random.Random(world.settings.seed)
        self.nodes_by_zone: dict[str, list[str]] = {zone: [] for zone in worlds.ZONES}
        self._sending: set[asyncio.Task[None]] = set()
        self._count = 0
        world.send_again = self._send_again

    async def run(self) -> None:
        """Send until cancelled."""
        async with asyncio.TaskGroup() as group:
            for zone in worlds.ZONES:
                group.create_task(self._ask(zone))
            for node in self.world.nodes:
                group.create_task(self._sound(node))
            group.create_task(self._send_all())

    async def finish(self) -> None:
        """Wait for the answers that are due."""
        await asyncio.gather(*self._sending)

    async def _ask(self, zone: str) -> None:
        """Ask directories where a zone's callers go, the near ones first."""
        while True:
            near = [n for n in self.world.nodes if self._zone(n) == zone]
            far = [n for n in self.world.nodes if n not in near]
            self.rng.shuffle(near)
            self.rng.shuffle(far)
            for node in [*near, *far][:MOST_ASKED]:
                found = await self._resolve(node, zone)
                if found:
                    self.nodes_by_zone[zone] = found
                    break
            holds = HELD_LONG if zone == worlds.ZONES[-1] else 1.0
            await asyncio.sleep(ASK_EVERY_S * holds)

    async def _resolve(self, node: str, zone: str) -> list[str]:
        fleet = self.world.fleet
        region = fleet.region_by_zone.get(zone, "r")
        query = f"/resolve?name={platform_fleet.HOST}&region={region}&zone={zone}"
        limit = aiohttp.ClientTimeout(total=ASK_LIMIT_S)
        node_by_ip = {ip: node for node, ip in fleet.ip_by_node.items()}
        try:
            url = fleet.url(node, "directory", query)
            async with fleet.session.get(url, timeout=limit) as page:
                addresses = (await page.json(content_type=None))["addresses"]
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError, KeyError):
            return []
        return [node_by_ip[address.rpartition(":")[0]] for address in addresses]

    def _zone(self, node: str) -> str:
        number = int(node.removeprefix("node-")) - 1
        return worlds.ZONES[number % len(worlds.ZONES)]

    async def _send_all(self) -> None:
        due = time.monotonic()
        while True:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            due += 1 / (self.world.settings.rate * self.world.load_factor)
            zone = self.rng.choice(worlds.ZONES)
            names = list(SHARE_BY_ROUTE)
            name = self.rng.choices(names, list(SHARE_BY_ROUTE.values()))[0]
            if self.nodes_by_zone[zone]:
                node = self.rng.choice(self.nodes_by_zone[zone])
                self._start(node, self.world.route_by_name[name], zone)

    async def _sound(self, node: str) -> None:
        """Ask one gateway again and again for the newest routes."""
        while True:
            version = self.world.version
            name = f"since-{version}"
            services = frozenset({"core"})
            self._start(node, ledger.Route(name, "safe", services, 2.0))
            await asyncio.sleep(SOUND_EVERY_S)

    def _send_again(self, route: ledger.Route, target: str) -> None:
        """Send a request that was sent before, under a new id, from any zone."""
        zone = self.rng.choice(worlds.ZONES)
        if self.nodes_by_zone[zone]:
            node = self.rng.choice(self.nodes_by_zone[zone])
            self._start(node, route, zone, target)

    def _start(
        self, node: str, route: ledger.Route, zone: str = "", target: str = ""
    ) -> None:
        self._count += 1
        request_id = f"{route.name}-{self._count}"
        now = time.monotonic()
        request = ledger.Request(
            request_id,
            route,
            target or f"/{route.name}/{request_id}?a=%2F",
            node,
            self.world.life_by_node[node],
            now,
            now + route.timeout_s,
        )
        self.world.ledger.request_by_id[request_id] = request
        task = asyncio.ensure_future(self._send(request, zone))
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    async def _send(self, request: ledger.Request, zone: str) -> None:
        try:
            await self._exchange(request)
        except aiohttp.ClientConnectorError as error:
            request.error = f"not connected: {error!r}"
            with contextlib.suppress(KeyError, ValueError):
                self.nodes_by_zone[zone].remove(request.node)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            request.error = f"broken off: {error!r}"
        except TimeoutError as error:
            request.error = f"no answer: {error!r}"
        request.ended_at = time.monotonic()
        request.ended_life = self.world.life_by_node[request.node]

    async def _exchange(self, request: ledger.Request) -> None:
        fleet = self.world.fleet
        headers = {
            "Host": platform_fleet.HOST,
            "X-Spindlenotch-Request-Id": request.id,
            "X-Spindlenotch-Deadline-Ms": str(int(request.route.timeout_s * 1000)),
        }
        limit = aiohttp.ClientTimeout(
            total=request.route.timeout_s + WAITS_ON_S, sock_connect=CONNECT_LIMIT_S
        )
        address = fleet.url(request.node, "front", request.target)
        url = yarl.URL(address, encoded=True)
        method, body = ("POST", b"x") if request.route.runs_once else ("GET", None)
        async with fleet.session.request(
            method, url, headers=headers, data=body, timeout=limit
        ) as answer:
            got = await answer.read()
            request.status = answer.status
            request.is_stamped = "X-Spindlenotch-Server-Stamp" in answer.headers
            request.has_own_body = got == request.target.encode()
            self._note_said(request, answer.headers)

    def _note_said(
        self, request: ledger.Request, headers: abc.Mapping[str, str]
    ) -> None:
        """Note what the answer's upstream said of how much it will take."""
        upstream = headers.get("X-Spindlenotch-Instance-Id", "")
        if "Server-Limit" in headers:
            request.limited_by = upstream
        if "Server-Leaving" in headers:
            request.left_by = upstream
            request.left_by_start = self.world.fleet.worker_by_id[upstream].born
