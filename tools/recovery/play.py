"""
One play: real gateways are lost, return, and callers go on.

``run`` ends everything that it started, also when it fails or is cancelled.
"""

import asyncio
import enum
import os
import pathlib
import shutil
import signal
import sys
import time
import typing
from collections import abc

import msgspec

from features.support import platform_fleet, platform_worker
from tools.recovery import callers, results, upstreams

#: Seconds of traffic before the loss, and for which gateways stay away.
BEFORE_S, AWAY_S = 6.0, 1.0
#: Seconds for which gateways are paused, between those that are killed in series, from
#: a return to the next loss, and from the first to the last that returns later.
PAUSED_S, SERIES_S, AGAIN_S, RETURN_S = 9.0, 0.3, 0.7, 6.0
#: Longest time until all gateways are ready at first, in seconds.
START_LIMIT_S = 60.0
#: Maximum length of a line that a child process prints.
MAX_LINE_BYTES = 1 << 20
#: Longest time of a play, in seconds.
LIMIT_S = 180.0
SIDE_SERVICE, SERVICES = "side", ("core", "side")
#: Every sixth upstream belongs to the second service.
SIDE_EVERY = 6
ROUTES = (
    callers.Route("avail", "GET", 4.0, 0.49),
    callers.Route("commit", "POST", 5.0, 0.23),
    callers.Route("peek", "GET", 2.0, 0.21),
    callers.Route("push", "POST", 5.0, 0.07),
)
CALLER_PROCESSES, UPSTREAM_PROCESSES = 2, 2
#: Seed address of gateways where all seeds are gone for good.
GONE_SEED = "127.0.2.99"


class Loss(enum.Enum):
    """How gateways are lost."""

    NOT = "not"
    KILLED = "killed"
    IN_SERIES = "in-series"
    TWICE = "twice"
    STOPPED = "stopped"
    PAUSED = "paused"


class Return(enum.Enum):
    """How gateways return."""

    AT_ONCE = "at-once"
    SLOWLY = "slowly"
    ONE_FIRST = "one-first"


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """
    How a play is laid out, and how its gateways are lost.

    ``cores`` are the processors that all gateways share, empty: all. ``factor`` is the
    rate of callers from the loss on, relative to before. ``logs`` is a folder for the
    gateways' logs, empty: not kept.
    """

    loss: Loss = Loss.KILLED
    returns: Return = Return.AT_ONCE
    gateways: int = 18
    upstreams: int = 36
    rate: float = 180.0
    factor: float = 1.0
    repeats_at_once: bool = False
    holds_answers_s: float = 1.0
    work_s: float = 0.1
    cores: frozenset[int] = frozenset()
    other_cores: frozenset[int] = frozenset()
    deployed: bool = False
    logs: str = ""


#: Loses and returns the gateways of a play, and whatever else.
Lose = abc.Callable[["Play"], abc.Coroutine[typing.Any, typing.Any, None]]


class Play:
    """The processes of one play."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.fleet = platform_fleet.PlatformFleet()
        self.fleet.gateway_cores = settings.cores
        if settings.deployed:
            self.fleet.interpreter_options = ("-OO", "-S")
            self.fleet.more_variables["PYTHONPATH"] = str(
                platform_fleet.ROOT / "target" / "deps"
            )
            self.fleet.more_variables["SSL_CERT_FILE"] = "/dev/null"
        self.returned_at = 0.0
        self._seed = platform_fleet.FIRST_IP
        self._children: list[asyncio.subprocess.Process] = []
        self._caller_processes: list[asyncio.subprocess.Process] = []
        self._upstream_processes: list[asyncio.subprocess.Process] = []

    @property
    def numbers(self) -> list[int]:
        """Return the numbers of all gateways."""
        return list(range(1, self.settings.gateways + 1))

    async def run(self, lose: Lose) -> list[callers.Attempt]:
        """Play, and return the attempts of callers."""
        try:
            async with asyncio.timeout(LIMIT_S):
                return await self._run(lose)
        finally:
            if self.settings.logs:
                self._keep_logs(pathlib.Path(self.settings.logs))
            for child in self._children:
                if child.returncode is None:
                    child.kill()
                    await child.wait()
            await self.fleet.close()

    def _keep_logs(self, folder: pathlib.Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        for path in self.fleet.logs.values():
            shutil.copy(path, folder)

    async def _run(self, lose: Lose) -> list[callers.Attempt]:
        await self._start()
        await asyncio.sleep(BEFORE_S)
        await self._change_rate(self.settings.factor)
        await lose(self)
        await asyncio.sleep(results.AFTER_S)
        return await self._attempts()

    async def _start(self) -> None:
        if self.settings.other_cores:
            os.sched_setaffinity(0, self.settings.other_cores)
        await self.fleet.store.start()
        routes = [
            platform_fleet.route(
                route.name,
                f"/{route.name}/",
                "safe" if route.method == "GET" else "unsafe",
                timeoutS=route.deadline_s,
                targetLatencyS=route.deadline_s / 6,
                service=SIDE_SERVICE if route.name == "push" else "core",
            )
            for route in ROUTES
        ]
        configuration = platform_fleet.configuration(3, routes, SERVICES)
        self.fleet.store.put("op/config", configuration)
        await self.start_upstreams("a")
        await self.start_gateways(self.numbers)
        for node in list(self.fleet.process_by_node):
            await self.fleet.until_ready(node, START_LIMIT_S)
        for number in range(CALLER_PROCESSES):
            await self._start_callers(f"c{number}")

    async def start_gateways(self, numbers: abc.Iterable[int]) -> None:
        """Start gateways, all at once."""
        for number in numbers:
            await self.fleet.start_gateway(number, seed=self._seed)
        self.returned_at = time.monotonic()

    async def start_upstreams(self, prefix: str) -> None:
        """Start all upstreams as new ones, and list them."""
        count = self.settings.upstreams // UPSTREAM_PROCESSES
        number = 0
        for process in range(UPSTREAM_PROCESSES):
            child = await self._child(
                "upstreams",
                f"i-{prefix}{process}",
                str(count),
                str(self.settings.work_s),
            )
            self._upstream_processes.append(child)
            assert child.stdout is not None
            addresses = msgspec.json.decode(await child.stdout.readline())
            for upstream, address in addresses.items():
                self._list_upstream(upstream, address, number)
                number += 1

    def _list_upstream(self, upstream: str, address: str, number: int) -> None:
        """Write the entry of an upstream that runs in another process."""
        listed = platform_worker.PlatformWorker(upstream)
        listed.listed_address = address
        listed.slots = upstreams.SLOTS
        service = SERVICES[number % SIDE_EVERY == SIDE_EVERY - 1]
        zone = platform_fleet.ZONES[number % len(platform_fleet.ZONES)]
        self.fleet.list_worker(listed, service, zone)

    async def end_upstreams(self) -> None:
        """End all upstreams; their entries go, as their leases do."""
        for child in self._upstream_processes:
            child.kill()
            await child.wait()
        self._upstream_processes.clear()
        for key in list(self.fleet.store.item_by_key):
            if key.startswith("servers/"):
                self.fleet.store.remove(key)

    def forget_seeds(self) -> None:
        """Let gateways that start from now on be told a seed that is gone for good."""
        self._seed = GONE_SEED

    async def _start_callers(self, name: str) -> None:
        directories = [
            f"{ip}:{self.fleet.port_by_name['directory']}"
            for ip in self.fleet.ip_by_node.values()
        ]
        plan = callers.Plan(
            name,
            self.settings.rate / CALLER_PROCESSES,
            directories,
            list(ROUTES),
            self.settings.repeats_at_once,
            self.settings.holds_answers_s,
        )
        child = await self._child("callers", msgspec.json.encode(plan).decode())
        self._caller_processes.append(child)

    async def _change_rate(self, factor: float) -> None:
        for child in self._caller_processes:
            assert child.stdin is not None
            child.stdin.write(msgspec.json.encode(callers.Change(factor)) + b"\n")
            await child.stdin.drain()

    async def _attempts(self) -> list[callers.Attempt]:
        await self._change_rate(0.0)
        outputs = await asyncio.gather(
            *(child.communicate() for child in self._caller_processes)
        )
        lines = b"".join(output for output, _ in outputs).splitlines()
        return [msgspec.json.decode(line, type=callers.Attempt) for line in lines]

    async def _child(self, module: str, *arguments: str) -> asyncio.subprocess.Process:
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            f"tools.recovery.{module}",
            *arguments,
            cwd=platform_fleet.ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MAX_LINE_BYTES,
        )
        self._children.append(child)
        return child

    async def lose_and_return(self) -> None:
        """Lose all gateways, and let them return, as the settings say."""
        match self.settings.loss:
            case Loss.NOT:
                self.returned_at = time.monotonic()
            case Loss.PAUSED:
                self._signal(signal.SIGSTOP)
                await asyncio.sleep(PAUSED_S)
                self._signal(signal.SIGCONT)
                self.returned_at = time.monotonic()
            case Loss.STOPPED:
                for number in self.numbers:
                    process = self.fleet.process_by_node[f"node-{number}"]
                    process.terminate()
                    await process.wait()
                    await self.start_gateways([number])
            case Loss.IN_SERIES:
                for number in self.numbers:
                    await self._kill([number])
                    await asyncio.sleep(SERIES_S)
                await self._return()
            case Loss.KILLED | Loss.TWICE:
                await self._kill(self.numbers)
                await self._return()
                if self.settings.loss is Loss.TWICE:
                    await asyncio.sleep(AGAIN_S)
                    await self._kill(self.numbers)
                    await self._return()

    def _signal(self, number: signal.Signals) -> None:
        for process in self.fleet.process_by_node.values():
            process.send_signal(number)

    async def _kill(self, numbers: abc.Iterable[int]) -> None:
        processes = [self.fleet.process_by_node[f"node-{n}"] for n in numbers]
        for process in processes:
            process.kill()
        for process in processes:
            await process.wait()

    async def _return(self) -> None:
        await asyncio.sleep(AWAY_S)
        first, *others = self.numbers
        match self.settings.returns:
            case Return.AT_ONCE:
                await self.start_gateways(self.numbers)
            case Return.SLOWLY:
                for number in self.numbers:
                    await self.start_gateways([number])
                    await asyncio.sleep(RETURN_S / len(self.numbers))
            case Return.ONE_FIRST:
                await self.start_gateways([first])
                await asyncio.sleep(RETURN_S)
                await self.start_gateways(others)
