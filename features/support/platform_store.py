"""
Stand-in for the platform's metadata store, by its published protocol.

Keys with revisions, paged ranges, watches and conditional writes: the calls
that the adapter makes, no others. Runs in the scenario's own loop.
"""

import asyncio
import base64
import dataclasses
import json
import time
import typing

from aiohttp import web

from standins import server

PAGE = 50


@dataclasses.dataclass(slots=True)
class Item:
    """One key as the store holds it."""

    key: str
    value: bytes
    revision: int
    made: int

    def as_json(self) -> dict[str, typing.Any]:
        """Return the item as it is sent."""
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "made": self.made,
            "lease": 0,
        }


@dataclasses.dataclass(slots=True)
class Trouble:
    """
    What is wrong just now.

    ``refuse`` is the status that every call is answered with, 0: none;
    ``silent`` never answers.
    """

    refuse: int = 0
    silent: bool = False


class PlatformStore:
    """The store; ``calls_by_name`` counts what was asked."""

    def __init__(self) -> None:
        self.trouble = Trouble()
        self.item_by_key: dict[str, Item] = {}
        self.log: list[dict[str, typing.Any]] = []
        self.forgotten = 0
        self.revision = 0
        self.calls_by_name: dict[str, int] = {}
        self.address = ""
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen on a free loopback port."""
        app = web.Application()
        app.router.add_get("/kv-range", self._range)
        app.router.add_get("/kv-watch", self._watch)
        app.router.add_post("/kv-txn", self._txn)
        self._runner, self.address = await server.serve(app)

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, key: str, value: typing.Any) -> int:
        """Write a key as the operator or a worker does; return the revision."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        old = self.item_by_key.get(key)
        made = old.made if old else self.revision
        item = Item(key, data, self.revision, made)
        self.item_by_key[key] = item
        self._log(item.as_json())
        return self.revision

    def remove(self, key: str) -> None:
        """Take a key away."""
        if self.item_by_key.pop(key, None) is not None:
            self.revision += 1
            self._log({"key": key, "revision": self.revision, "gone": True})

    def forget_history(self) -> None:
        """Drop the history and cut the watches, as a compaction does."""
        self.forgotten = self.revision
        self.log.clear()
        self._wake()

    def _log(self, event: dict[str, typing.Any]) -> None:
        self.log.append(event)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _before(self, request: web.Request, name: str) -> web.Response | None:
        self.calls_by_name[name] = self.calls_by_name.get(name, 0) + 1
        if self.trouble.silent:
            await asyncio.sleep(3600)
        if self.trouble.refuse:
            return web.Response(status=self.trouble.refuse)
        return None

    async def _range(self, request: web.Request) -> web.Response:
        refused = await self._before(request, "range")
        if refused is not None:
            return refused
        prefix = request.query["pathPrefix"]
        after = request.query.get("after", "")
        keys = sorted(k for k in self.item_by_key if k.startswith(prefix) and k > after)
        items = [self.item_by_key[key].as_json() for key in keys[:PAGE]]
        more = len(keys) > PAGE
        return web.json_response({"items": items, "more": more, "at": self.revision})

    async def _watch(self, request: web.Request) -> web.Response:
        refused = await self._before(request, "watch")
        if refused is not None:
            return refused
        prefix = request.query["pathPrefix"]
        after = int(request.query["after"])
        end = time.monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            if after < self.forgotten:
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
        refused = await self._before(request, "txn")
        if refused is not None:
            return refused
        body = await request.json()
        for row in body.get("expectedRev", []):
            item = self.item_by_key.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return web.json_response(
                    {"items": [item.as_json() if item else {}]}, status=412
                )
        for row in body.get("put", []):
            self.put(row["key"], base64.b64decode(row["value"]))
        for key in body.get("remove", []):
            self.remove(key)
        return web.json_response({"revision": self.revision})
