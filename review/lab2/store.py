"""
Stand-in for the platform's metadata store, by PROTOCOL.md.

Keys with revisions, ranges, watches, conditional writes. The operator and the workers
write to it by method calls, which return when the store has taken the write.
"""

import asyncio
import base64
import json
import time
import typing
import urllib.parse

from lab2 import http11

PAGE = 500


class Store:
    """The store; ``calls`` counts the calls of the gateways by name."""

    def __init__(self) -> None:
        self.address = ""
        self.revision = 100
        self.items: dict[str, dict[str, typing.Any]] = {}
        self.log: list[dict[str, typing.Any]] = []
        self.calls: dict[str, int] = {}
        self.watching: set[asyncio.StreamWriter] = set()
        self.open: set[asyncio.StreamWriter] = set()
        self.silent: set[asyncio.StreamWriter] = set()
        #: Asked at each write of a gateway: how to treat it. See ``play`` scripts.
        self.on_txn: typing.Callable[[dict[str, typing.Any]], float | None] = (
            lambda body: None
        )
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, ip: str) -> None:
        """Listen on a free port of a loopback address."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def put(self, key: str, value: typing.Any) -> float:
        """Write a key; return when the store had taken it."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self._put(key, data)
        self._wake()
        return time.monotonic()

    def remove(self, *keys: str) -> float:
        """Take keys away in one step; return when the store had taken it."""
        for key in keys:
            if self.items.pop(key, None) is not None:
                self.revision += 1
                self.log.append({"key": key, "revision": self.revision, "gone": True})
        self._wake()
        return time.monotonic()

    def value(self, key: str) -> typing.Any:
        """Return the decoded value of a key; None where there is none."""
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    def cut_watches(self) -> int:
        """Cut the watches that are waiting; return how many there were."""
        cut = list(self.watching)
        for writer in cut:
            writer.transport.abort()
        return len(cut)

    def silence_connections(self) -> int:
        """Say nothing more on the connections that are open, and return their number.

        They stay open; connections that are made afterwards work.
        """
        self.silent |= self.open
        return len(self.open)

    def _put(self, key: str, data: str) -> None:
        self.revision += 1
        before = self.items.get(key)
        made = before["made"] if before else self.revision
        item = {
            "key": key,
            "value": data,
            "revision": self.revision,
            "made": made,
            "lease": 0,
        }
        self.items[key] = item
        self.log.append(item)

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.open.add(writer)
        try:
            while True:
                head = await http11.read_head(reader)
                body = await http11.read_body(reader, head.fields)
                if writer in self.silent:
                    continue
                status, content = await self._call(head, body, writer)
                if writer in self.silent:
                    continue
                text = json.dumps(content).encode()
                fields = {"Content-Type": "application/json"}
                writer.write(http11.answer(status, text, fields))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The gateway has closed the connection, or the script ends.
            pass
        finally:
            self.open.discard(writer)
            self.silent.discard(writer)
            writer.close()

    async def _call(
        self, head: http11.Head, body: bytes, writer: asyncio.StreamWriter
    ) -> tuple[str, typing.Any]:
        path, _, text = head.line[1].partition("?")
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        name = path.strip("/").split("/")[0]
        self.calls[name] = self.calls.get(name, 0) + 1
        if name == "kv-range":
            return self._range(query)
        if name == "kv-key":
            item = self.items.get(query["key"])
            found = "404 Not Found" if item is None else "200 OK"
            return found, {**(item or {}), "at": self.revision}
        if name == "kv-watch":
            self.watching.add(writer)
            try:
                return await self._watch(query)
            finally:
                self.watching.discard(writer)
        if name == "kv-txn":
            return await self._txn(json.loads(body))
        return "404 Not Found", {}

    def _range(self, query: dict[str, str]) -> tuple[str, typing.Any]:
        prefix, after = query.get("pathPrefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items = [self.items[key] for key in keys[:PAGE]]
        more = len(keys) > PAGE
        return "200 OK", {"items": items, "more": more, "at": self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[str, typing.Any]:
        prefix, after = query.get("pathPrefix", ""), int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [
                event
                for event in self.log
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return "200 OK", {"events": events, "at": self.revision}
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _txn(self, body: dict[str, typing.Any]) -> tuple[str, typing.Any]:
        delay_s = self.on_txn(body)
        if delay_s is not None:
            await asyncio.sleep(delay_s)
        for row in body.get("expectedRev", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return "412 Precondition Failed", {"items": [item] if item else []}
        for row in body.get("put", []):
            self._put(row["key"], row["value"])
        for key in body.get("remove", []):
            self.remove(key)
        self._wake()
        return "200 OK", {"revision": self.revision}
