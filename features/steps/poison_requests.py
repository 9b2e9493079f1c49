"""
Steps on requests that end each upstream that runs them.

Upstreams that crash come back after some seconds as new ones, as on the users'
platform: under another id and at another address, and the old entry goes by itself.
"""

import asyncio
import collections
import dataclasses
import json
import time
import typing

import behave

from features.support import (
    own_stalls,
    platform_context,
    platform_fleet,
    platform_worker,
    worker_records,
)

Poison = worker_records.Poison

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
#: Numbers of the log events: an upstream ended under a request, one is quarantined.
ENDED_UNDER_REQUEST, QUARANTINED = 606, 607
#: Seconds until all gateways know that a request is released.
RELEASE_S = 1.0
#: Streams beside each other, and workers that crash by themselves meanwhile.
STREAMS, OWN_CRASHES, CRASH_PAUSE_S, OWN_CRASHES_S = 12, 5, 0.5, 4.0
#: The path and body of the request that does harm; the same path with another body,
#: and another path, do none.
TARGET, BODY = "/read/report?page=31", b"deadly"
DEADLY = Poison(TARGET, BODY)
OTHER_DEADLY = Poison("/read/map", b"deadly, too")
DEADLY_BOOKING = Poison("/book/report", BODY)
#: Seconds that a refusal may take: it waits for nothing.
AT_ONCE_S = 0.1
LAST = 20
OK, NOT_RUN = 200, 503
#: In place of a status where there was no answer in time.
UNANSWERED = 0

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
    sent: list["Sent"] = dataclasses.field(default_factory=list)

    def since(self, at: float) -> list[int]:
        """Return the statuses of the requests that were sent later than ``at``."""
        return [one.status for one in self.sent if one.at > at]


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """One request: when it was sent, and what its caller got."""

    at: float
    took_s: float
    status: int
    retry_after: str | None


class Play:
    """The upstreams of a scenario, and what is sent to them."""

    def __init__(self, fleet: platform_fleet.PlatformFleet) -> None:
        self.fleet = fleet
        self.crashed_at: list[float] = []
        self.stream_by_name: dict[str, Stream] = {}
        #: The requests that do harm, or did.
        self.poisons: list[Poison] = []
        self.crashes_silently = False
        self.own_stalls = own_stalls.OwnStalls()
        self._count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def add(self, zone: str) -> platform_worker.PlatformWorker:
        """Start an upstream that comes back as another one when it crashes."""
        self._count += 1
        worker = await self.fleet.add_worker(f"i-{self._count}", zone=zone)
        worker.work_s = WORK_S
        worker.crashes_silently = self.crashes_silently
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
        async with self.own_stalls.watched():
            await asyncio.gather(*(self._send(stream, seconds) for stream in kept))

    async def _send(self, stream: Stream, seconds: float) -> None:
        nodes = list(self.fleet.process_by_node)
        end = time.monotonic() + seconds
        sending = []
        before = len(stream.sent)
        while time.monotonic() < end:
            number = before + len(sending)
            node = nodes[number % len(nodes)]
            sending.append(asyncio.ensure_future(self._one(stream, node, number)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*sending)

    async def _one(self, stream: Stream, node: str, number: int) -> None:
        sent_at = time.monotonic()
        try:
            answer = await self.fleet.send(
                node,
                f"{stream.target}/{number}" if stream.differ else stream.target,
                f"{stream.name}-{sent_at:.3f}-{number}",
                stream.method,
                stream.body,
                DEADLINE_MS,
            )
        except TimeoutError:
            # The gateway's own answer comes at that very moment.
            answer = platform_fleet.Answer(UNANSWERED, {}, b"")
        ended_at = time.monotonic()
        own_s = self.own_stalls.within_s(sent_at, ended_at)
        took_s = ended_at - sent_at - own_s
        retry_after = answer.headers.get("Retry-After")
        stream.sent.append(Sent(sent_at, took_s, answer.status, retry_after))

    def arrivals(self, poison: Poison) -> list[float]:
        """Return when a request began to run somewhere, each time."""
        return sorted(
            one.at
            for worker in self.fleet.worker_by_id.values()
            for one in worker.runs
            if Poison(one.target, one.body) == poison
        )

    async def crash_busy(self, most: int) -> None:
        """Let some upstreams that run a request crash, at the same moment."""
        while not (busy := self.busy()):
            await asyncio.sleep(0)
        for worker in busy[:most]:
            worker.crash()

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


def poison_stream(poison: Poison) -> Stream:
    """Return requests that end what runs them."""
    return Stream(poison.target, poison.target, poison.body)


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


@behave.given("crashes that leave connections silent for good")
def silent_crashes(context: typing.Any) -> None:
    play = play_of(context)
    play.crashes_silently = True
    for worker in play.fleet.worker_by_id.values():
        worker.crashes_silently = True


@behave.given("a request that may not be repeated and ends each worker that runs it")
def deadly_booking(context: typing.Any) -> None:
    fleet_of(context).poisons.add(DEADLY_BOOKING)


@behave.given("another one that does")
def another_deadly(context: typing.Any) -> None:
    fleet_of(context).poisons.add(OTHER_DEADLY)


@behave.when("it is sent to all gateways again and again")
@behave.when("both are sent to all gateways again and again")
def poison_alone(context: typing.Any) -> None:
    play = play_of(context)
    known = play.poisons or sorted(play.fleet.poisons, key=lambda one: one.target)
    play.poisons = known
    streams = [poison_stream(one) for one in known]
    run(context, play.send_all(streams, STREAM_S))


@behave.when(
    "it, the same path with another body and a popular request are sent side by side"
)
def side_by_side(context: typing.Any) -> None:
    streams = [
        poison_stream(DEADLY),
        Stream("other body", TARGET, b"harmless"),
        Stream("popular", "/read/popular", None, "GET"),
    ]
    run(context, play_of(context).send_all(streams, STREAM_S))


@behave.when("all gateways are killed and started again")
def all_start_again(context: typing.Any) -> None:
    async def start_again() -> None:
        fleet = fleet_of(context)
        for process in fleet.process_by_node.values():
            process.kill()
            await process.wait()
        for number in range(len(fleet.process_by_node)):
            await fleet.start_gateway(number + 1)
        for node in list(fleet.process_by_node):
            await fleet.until_ready(node)

    run(context, start_again())


@behave.when("it ends no worker any more and its record is deleted")
def released(context: typing.Any) -> None:
    async def release() -> None:
        fleet = fleet_of(context)
        fleet.poisons.clear()
        keys = [key for key in fleet.store.item_by_key if key.startswith("quarantine/")]
        assert keys, "nothing was written into the store"
        for key in keys:
            fleet.store.remove(key)
        await asyncio.sleep(RELEASE_S)

    run(context, release())


@behave.when(
    "workers crash by themselves, {most:d} at the same moment, while a popular request"
    " runs there"
)
def popular_crashes(context: typing.Any, most: int) -> None:
    async def crash() -> None:
        play = play_of(context)
        streams = [
            Stream(f"popular-{n}", "/read/popular", None, "GET") for n in range(STREAMS)
        ]
        sending = asyncio.ensure_future(play.send_all(streams, OWN_CRASHES_S))
        while len(play.crashed_at) < OWN_CRASHES:
            await asyncio.sleep(CRASH_PAUSE_S)
            await play.crash_busy(most)
        await sending

    run(context, crash())


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
            await play.crash_busy(1)
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
@behave.then(
    "few workers get either once it has ended three and gateways had time to know"
)
def few_later(context: typing.Any) -> None:
    for poison in play_of(context).poisons:
        assert_few_later(context, poison)


@behave.then(
    "each of the last {count:d} times it is refused at once, as not run, with a time to"
    " come back"
)
def refused_at_once(context: typing.Any, count: int) -> None:
    for one in play_of(context).stream_by_name[TARGET].sent[-count:]:
        assert one.status == NOT_RUN, one
        assert float(one.retry_after or 0) > 0, one
        assert one.took_s < AT_ONCE_S, one


@behave.then("all but the first are served in full once it has ended three workers")
def others_served(context: typing.Any) -> None:
    play = play_of(context)
    third = play.third_crash(DEADLY)
    for name in ("other body", "popular"):
        statuses = play.stream_by_name[name].since(third)
        assert len(statuses) > LAST and set(statuses) == {OK}, (name, statuses)


@behave.then("only the first was quarantined")
def only_the_first(context: typing.Any) -> None:
    lines = log_lines(fleet_of(context), QUARANTINED)
    ended = log_lines(fleet_of(context), ENDED_UNDER_REQUEST)
    counts = collections.Counter(line["fingerprint"] for line in ended)
    (first, _), *_ = counts.most_common()
    prints = [one for one in ended if one["fingerprint"] == first]
    allowed = {first, *(line["from_caller"] for line in prints)}
    assert lines and {line["fingerprint"] for line in lines} <= allowed, lines


@behave.then("the last {count:d} of it are served")
def last_served(context: typing.Any, count: int) -> None:
    statuses = [one.status for one in play_of(context).stream_by_name[TARGET].sent]
    assert statuses[-count:] == [OK] * count, statuses[-count:]


@behave.then("the popular request is served but for 1 in {count:d}")
def popular_served(context: typing.Any, count: int) -> None:
    # A retry may meet an upstream that has ended at the same moment.
    sent = [one for s in play_of(context).stream_by_name.values() for one in s.sent]
    bad = [one for one in sent if one.status != OK]
    assert len(bad) <= len(sent) / count, (len(sent), bad)


@behave.then("nothing was quarantined")
def nothing_quarantined(context: typing.Any) -> None:
    assert not log_lines(fleet_of(context), QUARANTINED)


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
