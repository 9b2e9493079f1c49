"""
Steps on requests that end each upstream that runs them.

Upstreams that crash come back after some seconds as new ones, as on the users'
platform: under another id and at another address, and the old entry goes by itself.
"""

import asyncio
import dataclasses
import json
import time
import typing

import behave

from features.support import platform_context, platform_fleet, platform_worker

Poison = platform_worker.Poison

#: Seconds from a crash until the old entry goes, and until a new upstream is there.
ENTRY_LAPSES_S, BACK_AFTER_S = 1.5, 1.0
WORK_S = 0.05
#: Seconds between two requests of one kind, and for which a stream of them lasts.
GAP_S, STREAM_S = 0.1, 8.0
#: After the third crash a fleet has this long to take notice, in seconds.
TOUCH_S = 3.0
#: Sends that are allowed after that.
MOST_LATER = 3
DEADLINE_MS = 1200
#: Number of the log event that tells of an upstream's end under a request.
ENDED_UNDER_REQUEST = 606
#: Streams beside each other, and workers that crash by themselves meanwhile.
STREAMS, OWN_CRASHES, CRASH_PAUSE_S, OWN_CRASHES_S = 12, 5, 0.5, 4.0
#: The path and body of the request that does harm; the same path with another body,
#: and another path, do none.
TARGET, BODY = "/read/report?page=31", b"deadly"
DEADLY = Poison(TARGET, BODY)

run = platform_context.run
fleet_of = platform_context.fleet_of


@dataclasses.dataclass(slots=True)
class Stream:
    """
    Requests that are alike, sent at an even pace to one gateway after the other.

    Where they ``differ``, only the beginning of their targets is.
    """

    name: str
    target: str
    body: bytes | None
    method: str = "POST"
    differ: bool = False
    statuses: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    retry_after: list[str | None] = dataclasses.field(default_factory=list)

    def since(self, at: float) -> list[int]:
        """Return the statuses of the requests that were sent later than ``at``."""
        return [status for sent_at, status in self.statuses if sent_at > at]


class Play:
    """The upstreams of a scenario, and what is sent to them."""

    def __init__(self, fleet: platform_fleet.PlatformFleet) -> None:
        self.fleet = fleet
        self.crashed_at: list[float] = []
        self.stream_by_name: dict[str, Stream] = {}
        self._count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def add(self, zone: str) -> platform_worker.PlatformWorker:
        """Start an upstream that comes back as another one when it crashes."""
        self._count += 1
        worker = await self.fleet.add_worker(f"i-{self._count}", zone=zone)
        worker.work_s = WORK_S
        worker.on_crash = lambda: self._crashed(worker.id, zone)
        return worker

    def _crashed(self, worker_id: str, zone: str) -> None:
        self.crashed_at.append(time.monotonic())
        task = asyncio.ensure_future(self._replace(worker_id, zone))
        self._tasks.add(task)

    async def _replace(self, worker_id: str, zone: str) -> None:
        await asyncio.sleep(BACK_AFTER_S)
        await self.add(zone)
        await asyncio.sleep(ENTRY_LAPSES_S - BACK_AFTER_S)
        self.fleet.store.remove(f"servers/{worker_id}")

    async def send_all(self, streams: list[Stream], seconds: float) -> None:
        """Send the streams side by side."""
        for stream in streams:
            self.stream_by_name.setdefault(stream.name, stream)
        kept = [self.stream_by_name[stream.name] for stream in streams]
        await asyncio.gather(*(self._send(stream, seconds) for stream in kept))

    async def _send(self, stream: Stream, seconds: float) -> None:
        nodes = list(self.fleet.process_by_node)
        end = time.monotonic() + seconds
        sending = []
        while time.monotonic() < end:
            number = len(stream.statuses) + len(sending)
            node = nodes[number % len(nodes)]
            sending.append(asyncio.ensure_future(self._one(stream, node, number)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*sending)

    async def _one(self, stream: Stream, node: str, number: int) -> None:
        sent_at = time.monotonic()
        answer = await self.fleet.send(
            node,
            f"{stream.target}/{number}" if stream.differ else stream.target,
            f"{stream.name}-{sent_at:.3f}-{number}",
            stream.method,
            stream.body,
            DEADLINE_MS,
        )
        stream.statuses.append((sent_at, answer.status))
        stream.retry_after.append(answer.headers.get("Retry-After"))

    def arrivals(self, poison: Poison) -> list[float]:
        """Return when a request began to run somewhere, each time."""
        return sorted(
            one.at
            for worker in self.fleet.worker_by_id.values()
            for one in worker.runs
            if Poison(one.target, one.body) == poison
        )

    def busy(self) -> list[platform_worker.PlatformWorker]:
        """Return the upstreams that run a request now."""
        workers = self.fleet.worker_by_id.values()
        return [one for one in workers if one.running and not one.has_crashed]

    def third_crash(self, poison: Poison) -> float:
        """Return when a request had ended three upstreams: one for each run."""
        return self.arrivals(poison)[2] + WORK_S


def play_of(context: typing.Any) -> Play:
    """Return the scenario's play."""
    return typing.cast(Play, context.play)


def poison_stream(name: str = "poison", poison: Poison = DEADLY) -> Stream:
    """Return requests that end what runs them."""
    return Stream(name, poison.target, poison.body)


@behave.given("{count:d} workers that come back as new ones after a crash")
def crashing_workers(context: typing.Any, count: int) -> None:
    async def start() -> None:
        context.play = Play(fleet_of(context))
        for number in range(count):
            zones = platform_fleet.ZONES
            await context.play.add(zones[number % len(zones)])

    run(context, start())


@behave.given("a request that ends each worker that runs it")
def deadly_request(context: typing.Any) -> None:
    fleet_of(context).poisons.add(DEADLY)


@behave.when("it is sent to all gateways again and again")
def poison_alone(context: typing.Any) -> None:
    run(context, play_of(context).send_all([poison_stream()], STREAM_S))


@behave.when("workers crash by themselves while different requests run there")
def own_crashes(context: typing.Any) -> None:
    async def crash() -> None:
        play = play_of(context)
        streams = [
            Stream(f"s{n}", f"/read/{n}", None, "GET", differ=True)
            for n in range(STREAMS)
        ]
        sending = asyncio.ensure_future(play.send_all(streams, OWN_CRASHES_S))
        while len(play.crashed_at) < OWN_CRASHES:
            await asyncio.sleep(CRASH_PAUSE_S)
            while not (busy := play.busy()):
                await asyncio.sleep(0)
            busy[0].crash()
        await sending

    run(context, crash())


@behave.then("the log names one and the same request at each end of a worker")
def one_fingerprint(context: typing.Any) -> None:
    lines = log_lines(fleet_of(context), ENDED_UNDER_REQUEST)
    assert len(lines) >= 3, lines
    assert len({line["fingerprint"] for line in lines}) == 1, lines


@behave.then("the log names different requests")
def many_fingerprints(context: typing.Any) -> None:
    lines = log_lines(fleet_of(context), ENDED_UNDER_REQUEST)
    ended = {line["upstream"] for line in lines}
    assert len(ended) >= OWN_CRASHES - 1, lines
    assert len({line["fingerprint"] for line in lines}) >= len(ended), lines


@behave.then("few workers get it once it has ended three and gateways had time to know")
def few_later(context: typing.Any) -> None:
    assert_few_later(context, DEADLY)


def assert_few_later(context: typing.Any, poison: Poison) -> None:
    """Require that a request was not sent on and on."""
    play = play_of(context)
    arrivals = play.arrivals(poison)
    assert len(arrivals) >= 3, "it was not sent often enough to tell"
    third = play.third_crash(poison)
    later = [round(at - third, 2) for at in arrivals if at > third + TOUCH_S]
    assert len(later) <= MOST_LATER, (
        f"sent {len(later)} times more, {len(arrivals)} in all; s after the third: "
        f"{later[:5]}"
    )


def log_lines(
    fleet: platform_fleet.PlatformFleet, event: int
) -> list[dict[str, typing.Any]]:
    """Return all lines of an event from all gateways."""
    return [
        json.loads(line)
        for path in fleet.logs.values()
        for line in path.read_text().splitlines()
        if f'"event":{event},' in line
    ]
