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

from features.support import platform_fleet
from spindlenotch import registry
from tools.recovery import callers

#: Seconds of traffic before the loss, and for which gateways stay away.
BEFORE_S, AWAY_S = 6.0, 1.0
#: Seconds after the return until which requests are sent, and from which they count.
AFTER_S, RECOVERY_S = 24.0, 15.0
#: Longest time until all gateways are ready at first, in seconds.
START_LIMIT_S = 60.0
#: Longest time of a play, in seconds.
LIMIT_S = 180.0
#: Seconds after the return for which trouble with the store lasts.
STORE_TROUBLE_S = 4.0
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
    What is played.

    ``cores`` are the processors that all gateways share, empty: all. ``factor`` is the
    rate of callers from the loss on, relative to before. ``logs`` is a folder for the
    gateways' logs, empty: not kept.
    """

    loss: Loss = Loss.KILLED
    beside: str = "nothing"
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


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """
    What callers saw; times in seconds from the last start of a gateway.

    ``served`` and ``sent`` count the first attempts from ``RECOVERY_S`` on;
    ``attempts_served`` and ``attempts`` all of them.
    """

    first_served_s: float | None
    most_served_s: float | None
    served: int
    sent: int
    attempts_served: int
    attempts: int
    refused: int
    deadlines_passed: int
    served_by_second: list[tuple[int, int]]


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

    async def run(self) -> Result:
        """Play, and return what callers saw."""
        try:
            async with asyncio.timeout(LIMIT_S):
                return await self._run()
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

    async def _run(self) -> Result:
        await self._start()
        await asyncio.sleep(BEFORE_S)
        await self._change_rate(self.settings.factor)
        await BESIDE.get(self.settings.beside)(self, self._lose_and_return())
        await asyncio.sleep(AFTER_S)
        return _judge(await self._attempts(), self.returned_at)

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
        async with asyncio.timeout(START_LIMIT_S):
            for node in list(self.fleet.process_by_node):
                while not await self.fleet._answers_200(
                    self.fleet.url(node, "ready", "/readiness")
                ):
                    await asyncio.sleep(0.1)
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
                service = SERVICES[number % SIDE_EVERY == SIDE_EVERY - 1]
                self.fleet.store.put(
                    f"servers/{upstream}", _entry(service, address, number)
                )
                number += 1

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
            limit=1 << 20,
        )
        self._children.append(child)
        return child

    async def _lose_and_return(self) -> None:
        match self.settings.loss:
            case Loss.NOT:
                self.returned_at = time.monotonic()
            case Loss.PAUSED:
                self._signal(signal.SIGSTOP)
                await asyncio.sleep(9.0)
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
                    await asyncio.sleep(0.3)
                await self._return()
            case Loss.KILLED | Loss.TWICE:
                await self._kill(self.numbers)
                await self._return()
                if self.settings.loss is Loss.TWICE:
                    await asyncio.sleep(0.7)
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
                    await asyncio.sleep(6.0 / len(self.numbers))
            case Return.ONE_FIRST:
                await self.start_gateways([first])
                await asyncio.sleep(6.0)
                await self.start_gateways(others)


Loses = abc.Coroutine[typing.Any, typing.Any, None]
Beside = abc.Callable[[Play, Loses], abc.Coroutine[typing.Any, typing.Any, None]]
#: What else is lost, with the coroutine that loses and returns the gateways.
BESIDE: registry.Registry[Beside] = registry.Registry("loss beside the gateways'")


@BESIDE.register("nothing")
async def nothing(play: Play, loses: Loses) -> None:
    """Only the gateways are lost."""
    await loses


@BESIDE.register("store-down")
async def store_down(play: Play, loses: Loses) -> None:
    """The store refuses all calls until some seconds after the return."""
    play.fleet.store.trouble.refuse = 503
    await loses
    await asyncio.sleep(STORE_TROUBLE_S)
    play.fleet.store.trouble.refuse = 0


@BESIDE.register("store-silent")
async def store_silent(play: Play, loses: Loses) -> None:
    """The store does not answer until some seconds after the return."""
    play.fleet.store.trouble.silent = True
    await loses
    await asyncio.sleep(STORE_TROUBLE_S)
    play.fleet.store.trouble.silent = False


@BESIDE.register("store-restored")
async def store_restored(play: Play, loses: Loses) -> None:
    """The store is restored from a backup while the gateways are away."""
    backup = play.fleet.store.backup()
    await play.end_upstreams()
    await play.start_upstreams("b")
    await loses
    lost = play.fleet.store.restore(backup)
    await asyncio.sleep(1.0)
    play.fleet.store.rewrite(lost)


@BESIDE.register("upstreams")
async def upstreams_lost(play: Play, loses: Loses) -> None:
    """All upstreams are lost too, and return under other ids and addresses."""
    await play.end_upstreams()
    await loses
    await play.start_upstreams("b")


@BESIDE.register("seeds")
async def seeds_gone(play: Play, loses: Loses) -> None:
    """The seeds that the settings name never return."""
    play.forget_seeds()
    await loses


@BESIDE.register("clock")
async def clock_set_back(play: Play, loses: Loses) -> None:
    """Gateways start again with the time of day 30 s behind."""
    play.fleet.more_variables["CLOCK_BEHIND_S"] = "30"
    for number in play.numbers:
        program = "tools/recovery/clock_behind.py"
        play.fleet.program_by_node[f"node-{number}"] = program
    await loses


@BESIDE.register("clock-of-every-other")
async def every_other_clock_set_back(play: Play, loses: Loses) -> None:
    """Every other gateway starts again with the time of day 30 s behind."""
    play.fleet.more_variables["CLOCK_BEHIND_S"] = "30"
    for number in play.numbers[::2]:
        program = "tools/recovery/clock_behind.py"
        play.fleet.program_by_node[f"node-{number}"] = program
    await loses


def _entry(service: str, address: str, number: int) -> dict[str, typing.Any]:
    """Return an upstream's entry as it lies in the store."""
    return {
        "service": service,
        "address": address,
        "zone": platform_fleet.ZONES[number % len(platform_fleet.ZONES)],
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "coldLeftS": 0.0,
        "callSeq": 1,
    }


def _judge(attempts: list[callers.Attempt], returned_at: float) -> Result:
    first = [one for one in attempts if one.number == 0]
    since = [one for one in first if one.sent_at >= returned_at]
    served_at = [one.ended_at for one in since if _is_served(one)]
    counted = [one for one in first if one.sent_at >= returned_at + RECOVERY_S]
    all_counted = [one for one in attempts if one.sent_at >= returned_at + RECOVERY_S]
    by_second = [
        [one for one in since if second <= one.sent_at - returned_at < second + 1]
        for second in range(int(AFTER_S))
    ]
    most = [
        second
        for second in range(int(AFTER_S))
        if all(
            sum(map(_is_served, later)) >= 0.9 * len(later)
            for later in by_second[second:]
        )
    ]
    return Result(
        first_served_s=round(min(served_at) - returned_at, 2) if served_at else None,
        most_served_s=float(most[0]) if most else None,
        served=sum(map(_is_served, counted)),
        sent=len(counted),
        attempts_served=sum(map(_is_served, all_counted)),
        attempts=len(all_counted),
        refused=sum(one.status == callers.NOT_RUN for one in all_counted),
        deadlines_passed=sum(one.status in (0, 504) for one in all_counted),
        served_by_second=[
            (sum(map(_is_served, second)), len(second)) for second in by_second
        ],
    )


def _is_served(attempt: callers.Attempt) -> bool:
    return attempt.status == callers.OK and attempt.is_stamped
