"""
Stand-in for the platform's metadata store, by its published protocol.

Keys with revisions, paged ranges, watches, conditional writes and leases: the
calls that the adapter may make, no others. Runs in the scenario's own loop.
"""

import asyncio
import base64
import dataclasses
import enum
import json
import time
import typing
import weakref

from aiohttp import web

from standins import server

PAGE = 50
#: Keys that only the operator and the workers write.
FOREIGN_PREFIXES = ("op/", "servers/")
#: Longer than any call waits.
FOR_GOOD_S = 3600.0


class Lost(enum.Enum):
    """What became of a call whose answer is lost."""

    DONE = "done"
    NOT_DONE = "not-done"


@dataclasses.dataclass(slots=True)
class Item:
    """One key as the store holds it."""

    key: str
    value: bytes
    revision: int
    made: int
    lease: int = 0

    def as_json(self) -> dict[str, typing.Any]:
        """Return the item as it is sent."""
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "made": self.made,
            "lease": self.lease,
        }


@dataclasses.dataclass(slots=True)
class Trouble:
    """
    What is wrong just now.

    ``refuse`` is the status that every call is answered with, 0: none;
    ``refuse_by_ip`` the same for the hosts that are turned away. ``silent`` never
    answers, ``slow_s`` is the time that each call takes more, and ``lost`` says
    that no answer arrives and what became of the call.
    """

    refuse: int = 0
    silent: bool = False
    slow_s: float = 0.0
    lost: Lost | None = None
    refuse_by_ip: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Backup:
    """The content of the store at the time of a backup."""

    revision: int
    item_by_key: dict[str, Item]
    log: tuple[dict[str, typing.Any], ...]
    leases: frozenset[int]


class PlatformStore:
    """
    The store; ``calls_by_name`` counts what was asked.

    ``era`` is sent with each answer and increases when the store is restored.
    """

    def __init__(self) -> None:
        self.trouble = Trouble()
        self.item_by_key: dict[str, Item] = {}
        self.log: list[dict[str, typing.Any]] = []
        self.forgotten = 0
        self.revision = 0
        self.era = 1
        self._written_since_restore: set[str] = set()
        self.calls_by_name: dict[str, int] = {}
        self.address = ""
        self.lease_ttl_s: dict[int, float] = {}
        self._expiry_by_lease: dict[int, asyncio.TimerHandle] = {}
        self._open: weakref.WeakSet[asyncio.Transport] = weakref.WeakSet()
        self._silenced: weakref.WeakSet[asyncio.Transport] = weakref.WeakSet()
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen on a free loopback port."""
        app = web.Application(middlewares=[self._trouble])
        app.router.add_get("/kv-key", self._key)
        app.router.add_get("/kv-range", self._range)
        app.router.add_get("/kv-watch", self._watch)
        app.router.add_post("/kv-txn", self._txn)
        app.router.add_post("/kv-lease", self._lease)
        app.router.add_post("/kv-keep/{lease}", self._keep)
        app.router.add_delete("/kv-lease-end/{lease}", self._end_lease)
        self._runner, self.address = await server.serve(app)

    async def close(self) -> None:
        """Stop listening."""
        for timer in self._expiry_by_lease.values():
            timer.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def silence_connections(self) -> list[asyncio.Transport]:
        """
        Answer nothing more on the connections that are open, and return these.

        Connections that are made afterwards work.
        """
        silenced = [one for one in self._open if not one.is_closing()]
        self._silenced.update(silenced)
        return silenced

    def read(self, key: str) -> typing.Any:
        """Return a key's decoded value as the operator reads it; None: no such key."""
        item = self.item_by_key.get(key)
        return None if item is None else json.loads(item.value)

    def order_version(self, service: str, version: str, ramp_s: float) -> int:
        """Ask for a service's traffic to move to a version, as the operator does."""
        order = {"service": service, "targetVersion": version, "rampS": ramp_s}
        return self.put(f"op/rollout/{service}", order)

    def order_state(self, service: str, version: str) -> str:
        """Return what is said of the order for a version; empty: nothing yet."""
        status = self.read(f"status/rollout/{service}") or {}
        is_of_order = status.get("targetVersion") == version
        return str(status["state"]) if is_of_order else ""

    def put(self, key: str, value: typing.Any, lease: int = 0) -> int:
        """Write a key as the operator or a worker does; return the revision."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self._written_since_restore.add(key)
        old = self.item_by_key.get(key)
        made = old.made if old else self.revision
        item = Item(key, data, self.revision, made, lease)
        self.item_by_key[key] = item
        self._log(item.as_json())
        return self.revision

    def remove(self, key: str) -> None:
        """Take a key away."""
        self._written_since_restore.add(key)
        if self.item_by_key.pop(key, None) is not None:
            self.revision += 1
            self._log({"key": key, "revision": self.revision, "gone": True})

    def forget_history(self) -> None:
        """Drop the history and cut the watches, as a compaction does."""
        self.forgotten = self.revision
        self.log.clear()
        self._wake()

    def backup(self) -> Backup:
        """Return a backup of the store's content."""
        return Backup(
            self.revision,
            dict(self.item_by_key),
            tuple(self.log),
            frozenset(self.lease_ttl_s),
        )

    def restore(self, backup: Backup) -> dict[str, bytes | None]:
        """
        Restore the content of a backup and start a new era.

        Return the values, by key, that the operator and the workers have written since
        the backup; None for each key that they have removed.
        """
        lost_value_by_key: dict[str, bytes | None] = {
            key: item.value
            for key, item in self.item_by_key.items()
            if key.startswith(FOREIGN_PREFIXES) and backup.item_by_key.get(key) != item
        }
        for key in backup.item_by_key.keys() - self.item_by_key.keys():
            if key.startswith(FOREIGN_PREFIXES):
                lost_value_by_key[key] = None
        self._written_since_restore.clear()
        for lease in self.lease_ttl_s.keys() - backup.leases:
            self.lease_ttl_s.pop(lease)
            self._expiry_by_lease.pop(lease).cancel()
        self.revision = backup.revision
        self.item_by_key = dict(backup.item_by_key)
        self.log = list(backup.log)
        self.era += 1
        self._wake()
        return lost_value_by_key

    def rewrite(self, value_by_key: dict[str, bytes | None]) -> None:
        """Reapply writes and removals that a restore lost, but not over newer ones."""
        for key, value in value_by_key.items():
            if key in self._written_since_restore:
                continue
            if value is None:
                self.remove(key)
            else:
                self.put(key, value)

    def _log(self, event: dict[str, typing.Any]) -> None:
        self.log.append(event)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    @web.middleware
    async def _trouble(self, request: web.Request, handler: typing.Any) -> typing.Any:
        transport = typing.cast(asyncio.Transport, request.transport)
        self._open.add(transport)
        if transport in self._silenced:
            await asyncio.sleep(FOR_GOOD_S)
        answer = await self._answer(request, handler)
        if transport in self._silenced:
            await asyncio.sleep(FOR_GOOD_S)
        answer.headers["Store-Era"] = str(self.era)
        return answer

    async def _answer(self, request: web.Request, handler: typing.Any) -> typing.Any:
        name = request.path.split("/")[1].removeprefix("kv-")
        self.calls_by_name[name] = self.calls_by_name.get(name, 0) + 1
        if self.trouble.lost is not Lost.DONE:
            refused = await self._refusal(request)
            if refused is not None:
                return refused
        answer = await handler(request)
        # What is wrong by now goes for watches that waited, too.
        if name == "watch" or self.trouble.lost is Lost.DONE:
            return await self._refusal(request) or answer
        return answer

    async def _refusal(self, request: web.Request) -> web.Response | None:
        """Return the answer that trouble makes of a call, after what it takes."""
        trouble = self.trouble
        if trouble.silent or trouble.lost is not None:
            await asyncio.sleep(FOR_GOOD_S)
        if trouble.slow_s:
            await asyncio.sleep(trouble.slow_s)
        refuse = trouble.refuse_by_ip.get(request.remote or "", trouble.refuse)
        return web.Response(status=refuse) if refuse else None

    async def _key(self, request: web.Request) -> web.Response:
        item = self.item_by_key.get(request.query["key"])
        if item is None:
            return web.json_response({"at": self.revision}, status=404)
        return web.json_response({**item.as_json(), "at": self.revision})

    async def _range(self, request: web.Request) -> web.Response:
        prefix = request.query["pathPrefix"]
        after = request.query.get("after", "")
        keys = sorted(k for k in self.item_by_key if k.startswith(prefix) and k > after)
        items = [self.item_by_key[key].as_json() for key in keys[:PAGE]]
        more = len(keys) > PAGE
        return web.json_response({"items": items, "more": more, "at": self.revision})

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query["pathPrefix"]
        after = int(request.query["after"])
        end = time.monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            if after < self.forgotten or after > self.revision:
                return web.Response(status=410)
            found = [
                event
                for event in self.log
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = end - time.monotonic()
            if found or left_s <= 0:
                return web.json_response({"events": found, "at": self.revision})
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _txn(self, request: web.Request) -> web.Response:
        body = await request.json()
        put, remove = body.get("put", []), body.get("remove", [])
        if any(k.startswith(FOREIGN_PREFIXES) for k in [*_keys(put), *remove]):
            return web.Response(status=403)
        if any(row.get("lease", 0) not in {0, *self.lease_ttl_s} for row in put):
            return web.Response(status=404)
        for row in body.get("expectedRev", []):
            item = self.item_by_key.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return web.json_response(
                    {"items": [item.as_json() if item else {}]}, status=412
                )
        for row in put:
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row.get("lease", 0))
        for key in remove:
            self.remove(key)
        return web.json_response({"revision": self.revision})

    async def _lease(self, request: web.Request) -> web.Response:
        ttl_s = (await request.json())["ttl_s"]
        self.revision += 1
        self.lease_ttl_s[self.revision] = ttl_s
        self._expire_later(self.revision)
        return web.json_response({"lease": self.revision, "ttl_s": ttl_s})

    async def _keep(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["lease"])
        if lease not in self.lease_ttl_s:
            return web.Response(status=404)
        self._expire_later(lease)
        return web.json_response({"ttl_s": self.lease_ttl_s[lease]})

    async def _end_lease(self, request: web.Request) -> web.Response:
        self._expire(int(request.match_info["lease"]))
        return web.json_response({"revision": self.revision})

    def _expire_later(self, lease: int) -> None:
        old = self._expiry_by_lease.pop(lease, None)
        if old is not None:
            old.cancel()
        self._expiry_by_lease[lease] = asyncio.get_running_loop().call_later(
            self.lease_ttl_s[lease], self._expire, lease
        )

    def _expire(self, lease: int) -> None:
        """End a lease; its keys go with it."""
        timer = self._expiry_by_lease.pop(lease, None)
        if timer is not None:
            timer.cancel()
        self.lease_ttl_s.pop(lease, None)
        for key in [k for k, i in self.item_by_key.items() if i.lease == lease]:
            self.remove(key)


def _keys(rows: list[dict[str, typing.Any]]) -> list[str]:
    return [row["key"] for row in rows]
