"""
Stand-in for the platform's metadata store, by its page in PROTOCOL.md.

Ranges, watches and conditional writes of keys with revisions. ``cut_watches`` cuts the
watches that wait, as the page says may happen at any time.
"""

import asyncio
import base64
import json
import time
import typing

from lab import http11

#: Most items of one page.
PAGE = 500
NOT_THE_SYSTEMS = ("op/", "servers/")

Json = dict[str, typing.Any]


class Store:
    """The store; ``put`` and ``remove`` are what operator and workers do."""

    def __init__(self) -> None:
        self.address = ""
        self.revision = 0
        self.items: dict[str, Json] = {}
        self.events: list[Json] = []
        self._changed = asyncio.Event()
        #: Connections on which a watch waits.
        self._watching: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def put(self, key: str, value: typing.Any) -> None:
        """Write a key."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        made = self.items[key]["made"] if key in self.items else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "made": made,
            "lease": 0,
        }
        self.items[key] = item
        self._add_event(item)

    def remove(self, *keys: str) -> None:
        """Take keys away."""
        for key in keys:
            self.revision += 1
            del self.items[key]
            self._add_event({"key": key, "revision": self.revision, "gone": True})

    def cut_watches(self) -> int:
        """Close the connections of the watches that wait; return how many."""
        waiting = list(self._watching)
        for writer in waiting:
            writer.close()
        return len(waiting)

    def _add_event(self, event: Json) -> None:
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await http11.read_request(reader)
                body = await http11.read_body(reader, request.fields)
                if request.path == "/kv-watch":
                    self._watching.add(writer)
                try:
                    status, content = await self._answer(request, body)
                finally:
                    self._watching.discard(writer)
                data = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The run is over.
            pass
        finally:
            writer.close()

    async def _answer(self, request: http11.Request, body: bytes) -> tuple[int, Json]:
        query = request.query
        if request.path == "/kv-range":
            return self._range(query.get("pathPrefix", ""), query.get("after", ""))
        if request.path == "/kv-watch":
            return await self._watch(query)
        if request.path == "/kv-txn":
            return self._transact(json.loads(body))
        return 404, {}

    def _range(self, prefix: str, after: str) -> tuple[int, Json]:
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items = [self.items[key] for key in keys[:PAGE]]
        more = len(keys) > PAGE
        return 200, {"items": items, "more": more, "at": self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, Json]:
        after, end = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        prefix = query.get("pathPrefix", "")
        while True:
            found = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = end - time.monotonic()
            if found or left_s <= 0:
                return 200, {"events": found, "at": self.revision}
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _transact(self, call: Json) -> tuple[int, Json]:
        for row in call.get("put", []):
            if row["key"].startswith(NOT_THE_SYSTEMS):
                return 403, {}
        for row in call.get("expectedRev", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        for row in call.get("put", []):
            self.put(row["key"], base64.b64decode(row["value"]))
        for key in call.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
