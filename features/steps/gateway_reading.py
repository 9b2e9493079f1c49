"""Properties of who reads the source, and of what gateways pass on."""

import asyncio
import types
import typing

from features.steps import kernel
from features.support import started_gateway
from spindlenotch import clock, ids
from spindlenotch.gateway.cluster import active_set
from spindlenotch.gateway.source import reader_duty, relay, source_reader
from spindlenotch.peers import documents, messages


@kernel.PROPERTIES.register("one that starts gives a peer time to spare it the reading")
def spared() -> None:
    state, passing = started_gateway.gateway(started_gateway.SEED)
    assert not passing.must_read()
    assert isinstance(state.clock, clock.ManualClock)
    state.clock.advance(passing.first_peer_wait_s - 0.01)
    assert not passing.must_read()
    state.clock.advance(0.02)
    assert passing.must_read()
    for seeds in (f"{started_gateway.ME},{started_gateway.SEED}", ""):
        _, alone = started_gateway.gateway(seeds)
        assert alone.must_read()


@kernel.PROPERTIES.register("one that starts slowly, or is answered, waits for longer")
def waits_longer() -> None:
    state, slow = started_gateway.gateway(started_gateway.SEED, startup_s=0.7)
    _, quick = started_gateway.gateway(started_gateway.SEED)
    times = slow.first_peer_wait_s / quick.first_peer_wait_s
    assert abs(times - 0.7 / reader_duty.MIN_MEAN_START_WAIT_S) < 1e-6
    assert isinstance(state.clock, clock.ManualClock)
    state.clock.advance(slow.first_peer_wait_s - 0.01)
    assert not slow.must_read()
    state.clock.advance(0.02)
    assert slow.must_read()
    state, answered = started_gateway.gateway(started_gateway.SEED)
    assert isinstance(state.clock, clock.ManualClock)
    started_gateway.peer(state, "p", messages.Status.STARTING)
    started_gateway.heard(state, answered, "p", reads=False)
    state.clock.advance(relay.ANSWERED_START_WAIT_S - 0.01)
    assert not answered.must_read()
    state.clock.advance(1.0)
    assert answered.must_read()


@kernel.PROPERTIES.register("those read first that callers will be sent to")
def first_active_first() -> None:
    capacity = active_set.capacity_of(1.0, 1000.0)
    hosts = [ids.HostId(f"node-{number}") for number in range(120)]
    candidates = [
        active_set.Candidate(host, ids.ZoneName("a"), capacity) for host in hosts
    ]
    ordered = [one.host for one in active_set.rank(candidates, 1).ordered]
    waits = [reader_duty.start_wait_s(host, 0.0, 1.0) for host in ordered]
    strong = [reader_duty.start_wait_s(host, 0.0, 2.0) for host in ordered]
    assert max(strong) <= max(waits) / 4 + 1e-9
    assert waits == sorted(waits)
    assert waits[2] < 0.02
    mean_s = sum(waits) / len(waits)
    assert 0.9 < mean_s / reader_duty.MIN_MEAN_START_WAIT_S < 1.1


@kernel.PROPERTIES.register("the first reading begins when the wait for a peer ends")
def first_reading() -> None:
    state, passing = started_gateway.gateway(started_gateway.SEED)
    assert isinstance(state.clock, clock.ManualClock)
    left_s = passing.start_wait_left_s()
    assert abs(left_s - passing.first_peer_wait_s) < 1e-9
    state.clock.advance(left_s / 2)
    assert abs(passing.start_wait_left_s() - left_s / 2) < 1e-9
    state.clock.advance(left_s)
    assert passing.start_wait_left_s() == 0.0
    assert passing.must_read()
    state, answered = started_gateway.gateway(started_gateway.SEED)
    started_gateway.peer(state, "p", messages.Status.STARTING)
    started_gateway.heard(state, answered, "p", reads=False)
    assert answered.start_wait_left_s() == relay.ANSWERED_START_WAIT_S

    async def waits() -> float:
        reader = source_reader.SourceReader(state, typing.cast(typing.Any, None), quick)
        loop = asyncio.get_running_loop()
        begun_at = loop.time()
        await reader._wait_on_standby()
        return loop.time() - begun_at

    quick = typing.cast(
        typing.Any, types.SimpleNamespace(start_wait_left_s=lambda: 0.001)
    )
    assert asyncio.run(waits()) < source_reader.STANDBY_CHECK_S / 2


@kernel.PROPERTIES.register("a fleet that starts has one reader a zone")
def starting() -> None:
    state, passing = started_gateway.gateway(started_gateway.SEED)
    assert isinstance(state.clock, clock.ManualClock)
    state.clock.advance(passing.first_peer_wait_s + 0.01)
    for number in range(9):
        started_gateway.peer(state, f"p{number}", messages.Status.STARTING)
    readers = state.gossip.known_by_host.keys() | {state.config.host}
    order = passing.fleet.readers()
    assert set(order) == readers
    if not passing.is_reader():
        started_gateway.heard(state, passing, order[0], reads=True)
        assert not passing.must_read()
    started_gateway.peer(state, "ready", messages.Status.READY)
    assert passing.fleet.readers() == ["ready"]


@kernel.PROPERTIES.register("only who reads the source passes news on at once")
def eager() -> None:
    for reads in (True, False):
        state, passing = started_gateway.gateway(started_gateway.SEED)
        started_gateway.peer(state, "p", messages.Status.READY)
        told: list[ids.Address] = []
        passing.link.send = lambda message, targets, told=told: told.extend(  # type: ignore[method-assign,misc]
            targets
        )
        state.reads_source = reads
        news = documents.Document(
            documents.DocumentKind.HOSTS, 7, ids.Digest(""), b"[]"
        )

        async def offer(
            passing: relay.Relay = passing, news: documents.Document = news
        ) -> None:
            passing._offer(news)
            await asyncio.gather(*passing.tasks.running)

        asyncio.run(offer())
        assert (ids.Address(started_gateway.SEED) in told) is reads
