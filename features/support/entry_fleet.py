"""
Entries with their platform as separate processes on loopback ports, for tests.

Owns the processes and the operator's key. Nothing here judges; the steps do.
The gateways' counterpart is ``platform_fleet``.
"""

import asyncio
import json
import tempfile
import time
import typing

import aiohttp

from features.support import free_ports, host_records, processes, sample_bundle
from spindlenotch import client, ports
from spindlenotch.bundles import bundle_seal
from spindlenotch.cli import publishing
from spindlenotch.entry import plugins

LOOPBACK = "127.0.0.1"
PEER_KEY = "test-peer-key-0123456789"
#: Longest wait for a process or a state, in seconds.
START_LIMIT_S = 20.0


class Entry:
    """Ports and process of one entry."""

    def __init__(self, host: str, zone: str) -> None:
        self.host = host
        self.zone = zone
        listen, peer, operator = free_ports.find(3)
        self.address = f"{LOOPBACK}:{listen}"
        self.peer_address = f"{LOOPBACK}:{peer}"
        self.operator_address = f"{LOOPBACK}:{operator}"
        self.process: processes.Process | None = None

    def record(self) -> host_records.Record:
        """Return this entry as the host list shows it."""
        return host_records.entry(self.host, self.zone, self.address, self.peer_address)


class Fleet:
    """Store, host list, upstreams and entries, each a process."""

    def __init__(self) -> None:
        self.processes: list[processes.Process] = []
        self.entry_by_host: dict[str, Entry] = {}
        self.address_by_upstream: dict[str, str] = {}
        self.store_url = ""
        self.hosts_url = ""
        self.private_key, self.public_key = bundle_seal.generate_key()
        self.session: aiohttp.ClientSession | None = None
        self.clients: list[client.Client] = []
        self.scratch = tempfile.TemporaryDirectory()

    async def start_platform(self, upstreams: int = 3, slots: int = 6) -> None:
        """Start store, host list and upstreams (zones z1 to z3 in turn)."""
        plugins.load()
        self.session = aiohttp.ClientSession()
        self.store_url = await self._stand_in("store", [])
        self.hosts_url = await self._stand_in("hosts", [])
        for number in range(upstreams):
            await self.add_upstream(f"w{number}", f"z{number % 3 + 1}", slots)

    async def add_upstream(self, name: str, zone: str, slots: int = 6) -> None:
        """Start one upstream and list it."""
        arguments = ["--name", name, "--slots", str(slots)]
        address = await self._stand_in("upstream", arguments)
        self.address_by_upstream[name] = address
        await self.list_upstream(name, zone)

    async def list_upstream(
        self, name: str, zone: str, generation: int = 1, state: str = "live"
    ) -> None:
        """Put an upstream into the host list."""
        record = host_records.upstream(
            name,
            zone=zone,
            address=self.address_by_upstream[name],
            generation=generation,
            state=state,
        )
        await self.post(f"{self.hosts_url}/host", [record])

    async def start_entries(self, count: int = 3, **flags: str) -> None:
        """Start entries e0, e1, ... in zones z1 to z3 in turn; wait for ready."""
        started = []
        for _ in range(count):
            number = len(self.entry_by_host)
            entry = Entry(f"e{number}", f"z{number % 3 + 1}")
            self.entry_by_host[entry.host] = entry
            started.append(entry)
        await self.post(f"{self.hosts_url}/host", [e.record() for e in started])
        for entry in started:
            await self.start_entry(entry, **flags)
        for entry in started:
            await self.until_ready(entry)

    async def start_entry(self, entry: Entry, **flags: str) -> None:
        """Start the process of one entry."""
        settings = {
            "host": entry.host,
            "zone": entry.zone,
            "listen": entry.address,
            "peer_listen": entry.peer_address,
            "operator_listen": entry.operator_address,
            "store": self.store_url,
            "host_list": self.hosts_url,
            "peer_keys": PEER_KEY,
            "trusted_keys": self.public_key,
            "hand_out_s": "1",
            "peers": ",".join(e.peer_address for e in self.entry_by_host.values()),
            **flags,
        }
        arguments = ["-m", "spindlenotch", "entry"]
        for name, value in settings.items():
            arguments += ["--" + name.replace("_", "-"), value]
        entry.process = await self._start(entry.host, arguments)

    async def until_ready(self, entry: Entry) -> None:
        """Wait until the entry says that it is ready."""
        await self.until(lambda: self._ready(entry), f"{entry.host} ready")

    async def _ready(self, entry: Entry) -> bool:
        assert entry.process is not None
        if entry.process.child.returncode is not None:
            raise AssertionError(f"{entry.host} ended:\n{entry.process.log[-3000:]}")
        status, _ = await self.get(f"http://{entry.operator_address}/readyz")
        return status == 200

    async def until(
        self,
        check: typing.Callable[[], typing.Awaitable[bool]],
        what: str,
        limit_s: float = START_LIMIT_S,
    ) -> float:
        """Wait until ``check`` holds; return how long that took."""
        began = time.monotonic()
        while not await check():
            if time.monotonic() - began > limit_s:
                raise AssertionError(f"not within {limit_s} s: {what}")
            await asyncio.sleep(0.05)
        return time.monotonic() - began

    async def publish(
        self, version: int, extra: str = "", base: int | None = None
    ) -> publishing.Published:
        """Sign and publish a bundle as an operator."""
        store = ports.STORES.get("http")(self.store_url)
        sealed = bundle_seal.seal(
            sample_bundle.text_of(version, extra), self.private_key
        )
        try:
            return await publishing.publish(
                store,
                sealed,
                version=version,
                base=version - 1 if base is None else base,
                published_at=1.0,
            )
        finally:
            await store.close()

    def client(self, **options: typing.Any) -> client.Client:
        """Return a caller's client that knows all entries as seeds."""
        seeds = [entry.address for entry in self.entry_by_host.values()]
        connected = client.Client(
            seeds, sample_bundle.ACCOUNT, sample_bundle.KEY, **options
        )
        self.clients.append(connected)
        return connected

    async def state(self, host: str) -> dict[str, typing.Any]:
        """Return an entry's state dump."""
        entry = self.entry_by_host[host]
        status, body = await self.get(f"http://{entry.operator_address}/state")
        assert status == 200, body
        return typing.cast(dict[str, typing.Any], json.loads(body))

    async def behave(self, upstream: str, **changes: typing.Any) -> None:
        """Change how an upstream behaves."""
        address = self.address_by_upstream[upstream]
        await self.post(f"http://{address}/-/control", changes)

    async def ledger(self) -> list[dict[str, typing.Any]]:
        """Return every run of every upstream."""
        runs = []
        for address in self.address_by_upstream.values():
            _, body = await self.get(f"http://{address}/-/ledger")
            runs += json.loads(body)["runs"]
        return runs

    async def runs_of(self, work: str) -> int:
        """Return how often ``work`` began to run anywhere."""
        return sum(run["work"] == work for run in await self.ledger())

    async def get(self, url: str) -> tuple[int, bytes]:
        """Fetch a URL; status zero where nothing answers."""
        assert self.session is not None
        try:
            timeout = aiohttp.ClientTimeout(total=5)
            async with self.session.get(url, timeout=timeout) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0, b""

    async def post(self, url: str, body: object) -> None:
        """Post JSON to a stand-in."""
        assert self.session is not None
        async with self.session.post(url, json=body) as response:
            assert response.status == 200, await response.text()

    async def close(self) -> None:
        """End every process that is left."""
        for connected in self.clients:
            await connected.close()
        if self.session is not None:
            await self.session.close()
        for process in self.processes:
            await process.kill()
        self.scratch.cleanup()

    async def _stand_in(self, kind: str, arguments: list[str]) -> str:
        process = await self._start(kind, ["-m", "standins", kind, *arguments])
        assert process.child.stdout is not None
        async with asyncio.timeout(START_LIMIT_S):
            line = await process.child.stdout.readline()
        assert line, f"{kind} did not start:\n{process.log}"
        return line.decode().strip()

    async def _start(self, name: str, arguments: list[str]) -> processes.Process:
        process = await processes.start(name, arguments)
        self.processes.append(process)
        return process
