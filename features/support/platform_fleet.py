"""
Gateways as separate processes, with stand-ins for the platform around them.

Each gateway has a loopback address of its own and the ports of the others, as
machines have. Every process is ended by its own id.
"""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile
import typing
from collections import abc

import aiohttp

from features.support import (
    free_ports,
    own_address,
    platform_store,
    platform_worker,
    upstream_cuts,
    worker_records,
)

ROOT = pathlib.Path(__file__).parents[2]
#: Longest time that a scenario waits for one thing.
LIMIT_S = 20.0
#: Lines of each log that are shown when a scenario failed.
LOG_TAIL = 30
MOST_GATEWAYS = 18
ZONES = ("z1", "z2", "z3")
HOST = "shop.example"
FIRST_IP = "127.0.1.1"
PROGRAM = "platform/start.py"
#: Nothing listens here.
DEAD_IP = "127.0.1.99"

#: The reserve of retries is large: what these scenarios prove does not depend
#: on it.
SETTINGS = """
node = "{node}"
role = "gateway"
ip = "{ip}"
zone = "{zone}"
region = "{region}"
portRange = [{peer},{peer}]
seeds = ["{seed}:{control}"]
bounds = ["graceS={grace}","retryBudgetRatio=0.2","budgetWindowS=10","retrySlack=2400",
  "ttl_max_s=1","probesPerS=60"{more_bounds}]
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[provider]
address = "{store}"
[zones]
{zones}
"""


def route(
    name: str, prefix: str, kind: str = "safe", **options: typing.Any
) -> dict[str, typing.Any]:
    """Return a route as the operator writes it."""
    found = {
        "name": name,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutS": 3.0,
        "targetLatencyS": 0.5,
        "priority": 1,
        "service": "core",
        "maxAttempts": 2,
    }
    found.update(options)
    if "backends" in options:
        del found["service"]
    return found


def configuration(
    version: int,
    routes: list[dict[str, typing.Any]],
    services: tuple[str, ...],
    **cold: float,
) -> dict[str, typing.Any]:
    """
    Return a configuration as it lies in the store.

    ``cold`` holds what services say of their cold workers, where they do.
    """
    return {
        "version": f"{version:08x}",
        "services": [
            {"name": name, "healthPath": "/health", "maxConns": 100, **cold}
            for name in services
        ],
        "limits": {"maxBodyBytes": 1_000_000},
        "hosts": [{"host": HOST, "paths": routes}],
        "unknown": "fields are passed over",
    }


#: The body of a request; one that is no bytes is sent in chunks.
Body = bytes | abc.AsyncIterable[bytes] | None


class Answer(typing.NamedTuple):
    """What a client got."""

    status: int
    headers: dict[str, str]
    body: bytes


class PlatformFleet:
    """The processes and stand-ins of one scenario."""

    def __init__(self) -> None:
        self.store = platform_store.PlatformStore()
        self.worker_by_id: dict[str, platform_worker.PlatformWorker] = {}
        self.fault_by_version: worker_records.FaultByVersion = {}
        self.poisons: set[worker_records.Poison] = set()
        self.upstream_cuts = upstream_cuts.UpstreamCuts()
        self.process_by_node: dict[str, asyncio.subprocess.Process] = {}
        self.ip_by_node: dict[str, str] = {}
        self.logs: dict[str, pathlib.Path] = {}
        #: Address of the store for gateways that reach it on a path of their own.
        self.store_by_node: dict[str, str] = {}
        self.region_by_zone: dict[str, str] = {}
        #: What is started for gateways that are not started as on the platform.
        self.program_by_node: dict[str, str] = {}
        #: Options of the interpreter of gateways, and variables added for them.
        self.interpreter_options: tuple[str, ...] = ()
        self.more_variables: dict[str, str] = {}
        #: Processors that gateways may use; empty: all.
        self.gateway_cores: frozenset[int] = frozenset()
        self.more_bounds: tuple[str, ...] = ()
        self.folder = tempfile.TemporaryDirectory()
        names = ("front", "ready", "control", "directory", "peer")
        hosts = [f"127.0.1.{number + 1}" for number in range(MOST_GATEWAYS)]
        ports = free_ports.find(len(names), hosts)
        self.port_by_name = dict(zip(names, ports, strict=True))
        self._session: aiohttp.ClientSession | None = None

    @property
    def session(self) -> aiohttp.ClientSession:
        """Return the caller's session."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                # No limit: callers don't wait for each other's connections.
                connector=aiohttp.TCPConnector(limit=0, force_close=True)
            )
        return self._session

    async def add_worker(
        self,
        worker_id: str,
        service: str = "core",
        zone: str = "z1",
        version: str = "v1",
    ) -> platform_worker.PlatformWorker:
        """Start a worker and list it."""
        worker = platform_worker.PlatformWorker(
            worker_id,
            version=version,
            fault_by_version=self.fault_by_version,
            poisons=self.poisons,
            cuts=self.upstream_cuts,
        )
        await worker.start()
        self.worker_by_id[worker_id] = worker
        self.list_worker(worker, service, zone)
        return worker

    def list_worker(
        self,
        worker: platform_worker.PlatformWorker,
        service: str = "core",
        zone: str = "z1",
        state: str = "ready",
    ) -> None:
        """Write a worker's entry, with what is left of its coldness."""
        self.store.put(f"servers/{worker.id}", self.entry(worker, service, zone, state))

    def entry(
        self,
        worker: platform_worker.PlatformWorker,
        service: str = "core",
        zone: str = "z1",
        state: str = "ready",
    ) -> dict[str, typing.Any]:
        """Return what a worker writes; its start only where it tells one."""
        entry = {
            "service": service,
            "address": worker.listed_address or worker.address,
            "zone": zone,
            "version": worker.version,
            "slots": worker.slots,
            "state": state,
            "coldLeftS": worker.coldness.left_ms() / 1000,
            "callSeq": 1,
        }
        return entry if worker.born is None else {**entry, "born": worker.born}

    async def start_gateway(
        self, number: int, grace_s: float = 6.0, seed: str = FIRST_IP
    ) -> str:
        """Start a gateway, or start it again, and return its node name."""
        node = f"node-{number}"
        self.ip_by_node[node] = f"127.0.1.{number}"
        zone = ZONES[(number - 1) % len(ZONES)]
        path = self._settings_path(node)
        path.write_text(
            SETTINGS.format(
                node=node,
                ip=self.ip_by_node[node],
                zone=zone,
                region=self.region_by_zone.get(zone, "r"),
                zones="\n".join(f'{z} = "{r}"' for z, r in self.region_by_zone.items()),
                store=self.store_by_node.get(node, self.store.address),
                more_bounds="".join(f',"{bound}"' for bound in self.more_bounds),
                grace=grace_s,
                seed=seed,
                **self.port_by_name,
            )
        )
        self.logs[node] = path.with_suffix(".log")
        with self.logs[node].open("ab") as log:
            self.process_by_node[node] = await asyncio.create_subprocess_exec(
                sys.executable,
                *self.interpreter_options,
                self.program_by_node.get(node, PROGRAM),
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    **self.more_variables,
                    "SPINDLENOTCH_SETTINGS": str(path),
                },
            )
        if self.gateway_cores:
            os.sched_setaffinity(self.process_by_node[node].pid, self.gateway_cores)
        return node

    async def until_ready(self, node: str, limit_s: float = LIMIT_S) -> None:
        """Wait until a gateway says that it is ready."""
        url = self.url(node, "ready", "/readiness")
        await self.until(lambda: self._answers_200(url), limit_s)

    async def until(
        self, test: typing.Callable[[], typing.Any], limit_s: float = LIMIT_S
    ) -> None:
        """Wait until ``test`` is true."""
        async with asyncio.timeout(limit_s):
            while not await test():
                await asyncio.sleep(0.05)

    async def _answers_200(self, url: str) -> bool:
        try:
            async with self.session.get(url) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, OSError):
            return False

    def url(self, node: str, port: str, path: str) -> str:
        """Return the address of a page of a gateway."""
        return f"http://{self.ip_by_node[node]}:{self.port_by_name[port]}{path}"

    async def send(
        self,
        node: str,
        target: str,
        request_id: str,
        method: str = "GET",
        body: Body = None,
        deadline_ms: int = 5000,
    ) -> Answer:
        """Send a request to a gateway as a client does, on a new connection."""
        headers = {
            "Host": HOST,
            "X-Spindlenotch-Request-Id": request_id,
            "X-Spindlenotch-Deadline-Ms": str(deadline_ms),
        }
        async with self.session.request(
            method,
            self.url(node, "front", target),
            headers=headers,
            data=body,
            timeout=aiohttp.ClientTimeout(total=deadline_ms / 1000),
        ) as response:
            content = await response.read()
            return Answer(response.status, dict(response.headers), content)

    def cut_from_upstreams(self, nodes: list[str], how: upstream_cuts.How) -> None:
        """Cut gateways off from all workers; all else reaches them."""
        self.upstream_cuts.cut([self.ip_by_node[node] for node in nodes], how)
        if how is upstream_cuts.How.REFUSE:
            self.refuse_new_connections(nodes, [])
        for worker in self.worker_by_id.values():
            worker.reset_cut_connections()

    def refuse_new_connections(
        self, nodes: list[str], workers: abc.Iterable[platform_worker.PlatformWorker]
    ) -> None:
        """Let gateways open no new connection to some workers; none: to all."""
        addresses = [worker.listed_address or worker.address for worker in workers]
        for node in nodes:
            self._refusal_path(node).write_text("\n".join(addresses))

    def heal_upstream_cuts(self) -> None:
        """End all cuts between gateways and workers."""
        self.upstream_cuts.heal()
        for node in self.ip_by_node:
            self._refusal_path(node).unlink(missing_ok=True)

    def _refusal_path(self, node: str) -> pathlib.Path:
        return own_address.refusal_path(self._settings_path(node))

    def _settings_path(self, node: str) -> pathlib.Path:
        return pathlib.Path(self.folder.name) / f"{node}.toml"

    def runs_of(self, request_id: str) -> list[str]:
        """Return the workers that ran a request, one for each run."""
        return [
            worker.id
            for worker in self.worker_by_id.values()
            for run in worker.runs
            if run.request_id == request_id
        ]

    def print_logs(self) -> None:
        """Show what the gateways of a failed scenario wrote last."""
        for node, path in self.logs.items():
            print(f"{node}, code {self.process_by_node[node].returncode}:")
            print("\n".join(path.read_text().splitlines()[-LOG_TAIL:]))

    async def close(self) -> None:
        """End everything that this object started."""
        for process in self.process_by_node.values():
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
                await process.wait()
        if self._session is not None:
            await self._session.close()
        for worker in self.worker_by_id.values():
            await worker.close()
        await self.store.close()
        self.folder.cleanup()
