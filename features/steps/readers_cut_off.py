"""Steps on gateways that read the store and are cut off from it."""

import asyncio
import itertools
import time
import typing

import behave

from features.steps import kernel
from features.support import link, platform_context, platform_fleet, store_reading
from spindlenotch import ids
from spindlenotch.gateway.source import reader_duty, source_reader, sources

fleet_of = platform_context.fleet_of
run = platform_context.run
#: Numbers of the gateways by how many zones they are in; a zone's number is the
#: remainder by three.
GATEWAYS_BY_ZONES = {3: (1, 2, 3, 4, 5, 6), 2: (1, 2, 4, 5), 1: (1, 4, 7)}
SETTLE_S = 5.0
#: From a change in the store until each reader has its next watch there.
NEXT_WATCH_S = 0.25
#: After how long a kernel ends a connection on which nothing is acknowledged.
KERNEL_S = 2.0
APPLY_S = 2.0
WATCHED_S = 4.0
ASK_EVERY_S = 0.05
NEW_PREFIX = "/new/"
SILENT = "and their connections stay silent"
ENDED = "and their connections end after 2 s"
REFUSED = "and their connections are refused"


@behave.given(
    "2 workers and gateways in {zones:d} zones, each with its own path to the store"
)
def start_fleet(context: typing.Any, zones: int) -> None:
    async def start() -> None:
        fleet = context.platform = platform_fleet.PlatformFleet()
        await fleet.store.start()
        old = platform_fleet.route("old", "/old/")
        fleet.store.put("op/config", platform_fleet.configuration(3, [old], ("core",)))
        for number in range(2):
            await fleet.add_worker(f"i-{number}")
        context.link_by_node = {}
        for number in GATEWAYS_BY_ZONES[zones]:
            node = f"node-{number}"
            path = context.link_by_node[node] = link.Link(
                fleet.store.address, platform_fleet.FIRST_IP
            )
            await path.start()
            fleet.store_by_node[node] = path.address
            await fleet.start_gateway(number)
        for node in context.link_by_node:
            await fleet.until_ready(node)
        await asyncio.sleep(SETTLE_S)

    run(context, start())


async def reading_nodes(fleet: platform_fleet.PlatformFleet) -> list[str]:
    """Return the gateways that read the store."""
    found = []
    for node in fleet.ip_by_node:
        async with fleet.session.get(fleet.url(node, "control", "/state")) as page:
            if (await page.json())["reads_source"]:
                found.append(node)
    return found


async def cut(path: link.Link, how: str) -> None:
    """Cut a gateway off from the store."""
    if how == REFUSED:
        path.takes_new = False
        path.reset()
        return
    path.hold(*link.Way)
    if how == ENDED:
        await asyncio.sleep(KERNEL_S - NEXT_WATCH_S)
        path.reset()


@behave.when(
    "all gateways that read the store are cut off, {how}, and the configuration changes"
)
def cut_readers(context: typing.Any, how: str) -> None:
    fleet = fleet_of(context)

    async def applied_after_s(node: str, since: float) -> float:
        for number in itertools.count():
            sent_at = time.monotonic()
            found = await fleet.send(node, f"{NEW_PREFIX}x", f"{node}-{number}")
            if found.status == 200 or sent_at - since > WATCHED_S:
                return sent_at - since
            await asyncio.sleep(ASK_EVERY_S)
        raise AssertionError

    async def play() -> dict[str, float]:
        readers = await reading_nodes(fleet)
        others = [node for node in fleet.ip_by_node if node not in readers]
        assert readers and others, (readers, others)
        # The readers have just sent a watch, so the next one is far.
        worker = fleet.worker_by_id["i-0"]
        worker.slots += 1
        fleet.list_worker(worker)
        await asyncio.sleep(NEXT_WATCH_S)
        cuts = [
            asyncio.ensure_future(cut(context.link_by_node[node], how))
            for node in readers
        ]
        await asyncio.sleep(0)
        routes = [
            platform_fleet.route("old", "/old/"),
            platform_fleet.route("new", NEW_PREFIX),
        ]
        changed = platform_fleet.configuration(4, routes, ("core",))
        fleet.store.put("op/config", changed)
        since = time.monotonic()
        times = await asyncio.gather(*(applied_after_s(node, since) for node in others))
        await asyncio.gather(*cuts)
        return dict(zip(others, times, strict=True))

    async def all_of_it() -> dict[str, float]:
        try:
            return await play()
        finally:
            for path in context.link_by_node.values():
                await path.close()

    context.applied_after_s = run(context, all_of_it())


@behave.then("the other gateways serve the new route 2 s after its acknowledgement")
def served_in_time(context: typing.Any) -> None:
    print(context.applied_after_s)
    late = {n: s for n, s in context.applied_after_s.items() if s > APPLY_S}
    assert not late, context.applied_after_s


@kernel.PROPERTIES.register("calls of readers end in turns")
def turns() -> None:
    for readers in range(1, 7):
        ends = []
        for slot, start in itertools.product(range(readers), range(40)):
            unix_s = 1.7e9 + start * 0.37
            wait_s = reader_duty.follow_wait_s(unix_s, slot, readers)
            assert 0.0 < wait_s <= reader_duty.FOLLOW_TIMEOUT_S
            ends.append((start, unix_s, unix_s + wait_s))
        for start in range(40):
            first = min(end - unix_s for number, unix_s, end in ends if number == start)
            # A call that would end at once ends a turn later.
            assert first <= reader_duty.MAX_UNCHECKED_S + reader_duty.MIN_FOLLOW_S
    for start in range(40):
        limit_s = reader_duty.MAX_UNCHECKED_IN_REGION_S
        wait_s = reader_duty.follow_wait_s(1.7e9 + start * 0.37, 0, 1, limit_s)
        # The only reader takes turns with nobody.
        assert wait_s == limit_s


class HangingSource:
    """A source whose calls get no response from ``is_hanging`` on."""

    def __init__(self, source: sources.Source) -> None:
        self.source = source
        self.is_hanging = False

    async def read(self) -> sources.Snapshot | sources.SourceFault:
        """Return a snapshot."""
        return await self.source.read()

    async def follow(
        self, after: int, wait_s: float
    ) -> sources.Changes | sources.SourceFault:
        """Return the changes, or hang."""
        if self.is_hanging:
            await asyncio.Event().wait()
        return await self.source.follow(after, wait_s)


@kernel.PROPERTIES.register("a reader whose response is overdue tells its zone")
def overdue() -> None:
    async def play() -> None:
        reading = store_reading.Reading()
        source = HangingSource(reading.source)
        reader = reading.reader(typing.cast(sources.Source, source))
        told: list[bool] = []
        reading.relay.announce_lost_source = lambda: told.append(True)  # type: ignore[method-assign]
        await reader._read_or_wait()
        await reader._read_or_wait()
        assert reading.state.reads_source
        source.is_hanging = True
        call = asyncio.ensure_future(reader._read_or_wait())
        wait_s = reader_duty.MAX_UNCHECKED_S + source_reader.OVERDUE_S
        await asyncio.sleep(wait_s + 0.2)
        assert not reading.state.reads_source
        assert told == [True]
        call.cancel()

    asyncio.run(play())


@kernel.PROPERTIES.register("the next in rank reads at once where the reader stops")
def next_in_rank() -> None:
    order = [ids.HostId(f"g{number}") for number in range(8)]
    now = ids.Instant(100.0)
    elections = [reader_duty.ReaderElection(host, now) for host in order]
    for election in elections:
        election.note_peer(now)
        election.note_zone_peer(order[0], now, reads=True)
    later = ids.later(now, 0.5)
    for election in elections:
        election.note_peer(later)
        assert election.note_zone_peer(order[0], later, reads=False)
    must = [
        host
        for host, e in zip(order, elections, strict=True)
        if e.must_read(order, later)
    ]
    assert must == order[:2]
    # A message of a gateway that never read changes nothing.
    fresh = reader_duty.ReaderElection(order[3], now)
    fresh.note_peer(now)
    fresh.note_zone_peer(order[0], now, reads=True)
    assert not fresh.note_zone_peer(order[1], later, reads=False)
    assert not fresh.must_read(order, later)
