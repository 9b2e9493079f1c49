"""A service that changes its version: rules on values, and fleets in virtual time."""

import asyncio
import functools
import itertools
import random
import typing
from collections import abc

import msgspec

from features.steps import kernel
from features.support import (
    rollout_store,
    rollout_trials,
    rollout_world as worlds,
    store_reading,
)
from spindlenotch import ids
from spindlenotch.decisions import verdicts
from spindlenotch.gateway.rollout import (
    analysis,
    deciding,
    evidence,
    loop,
    merging,
    orders,
    promotion,
    runs,
    sequential_test,
    status_writer,
)
from spindlenotch.gateway.source import sources
from spindlenotch.kernel import outcomes, upstreams
from spindlenotch.peers import background, messages, peer_link, rollout_notes
from spindlenotch_platform import rollout_records, store, store_client

NOW = kernel.NOW
SERVICE, NEW, OLD = worlds.SERVICE, worlds.NEW, worlds.OLD
THIRD = ids.SoftwareVersion("v3")
ORDER = sources.RolloutOrder(SERVICE, NEW, by_s=12.0, revision=20)
State = sources.RolloutState


def played(plan: worlds.Plan) -> worlds.World:
    """Return a world after it was played."""
    world = worlds.World(plan)
    world.play()
    return world


def final_state(world: worlds.World) -> State | None:
    """Return the newest status in the store."""
    status = world.store.status_by_service.get(SERVICE)
    return None if status is None else status.state


def to_version(world: worlds.World, version: ids.SoftwareVersion) -> int:
    """Return how many requests run on a version now."""
    return sum(m.running for m in world.machines if m.spec.version == version)


# Fleets


@kernel.PROPERTIES.register("a bad version is taken back, within share and bound")
def bad_ones() -> None:
    for harm in rollout_trials.HARMS.names():
        found = rollout_trials.trial(harm, "none", 0)
        assert not found, (harm, found)


@kernel.PROPERTIES.register("so it is under trouble")
def bad_ones_in_trouble() -> None:
    pairs = (
        ("failing late", "gateways start again"),
        ("failing on one route", "datagrams get lost"),
        ("slow at once", "answers of the store get lost"),
        ("failing at once", "a gateway is cut off for a while"),
    )
    for harm, trouble in pairs:
        found = rollout_trials.trial(harm, trouble, 2)
        assert not found, (harm, trouble, found)


@kernel.PROPERTIES.register("a good version is completed in time, whatever else fails")
def good_ones() -> None:
    troubles = (
        "all upstreams fail for a while",
        "gateways start again",
        "some upstreams fail",
        "some upstreams have slow neighbours",
        "the store is down for a while",
    )
    for trouble in troubles:
        found = rollout_trials.trial("", trouble, 2)
        assert not found, (trouble, found)


def start_again_without_callers(
    world: worlds.World, *, standby: int, again: int
) -> None:
    """Let a gateway have no callers, and later another one after it began again."""

    def begin() -> None:
        world.standby.add(world.gateways[again].host)
        world.restart(again)

    world.standby.add(world.gateways[standby].host)
    world.after(3.0, begin)


@kernel.PROPERTIES.register("gateways that start again without callers hinder no order")
def again_without_callers() -> None:
    # One of the two decides, and has heard of the other's earlier process.
    for standby, again in ((1, 2), (2, 1)):
        disturb = functools.partial(
            start_again_without_callers, standby=standby, again=again
        )
        world = played(worlds.Plan(seed=1, by_s=8.0, per_s=60.0, disturb=disturb))
        assert not rollout_trials.complaints(world), rollout_trials.complaints(world)


@kernel.PROPERTIES.register("a gateway that has gone delays an order, and not too long")
def one_has_gone() -> None:
    def disturb(world: worlds.World) -> None:
        def end() -> None:
            world.gateways[1].is_up = False
            world.standby.add(world.gateways[1].host)
            world.see_peers()

        world.after(4.0, end)

    world = played(worlds.Plan(seed=1, by_s=8.0, per_s=60.0, disturb=disturb))
    assert not rollout_trials.complaints(world), rollout_trials.complaints(world)
    latest_s = world.plan.by_s - promotion.LAST_CALL_S
    assert world.seen.statuses[-1][0] >= latest_s, world.seen.statuses


@kernel.PROPERTIES.register("what an ended process said does not count for the next")
def ended_process() -> None:
    host = ids.HostId("h")
    first, second = (merging.Source(host, ids.Incarnation(name)) for name in "ab")
    merged = merging.Merged()
    merged.take(first, record(1, 0))
    assert merged.newest_by_host({host: first.incarnation}) == {host: record(1, 0)}
    assert not merged.newest_by_host({host: second.incarnation})
    assert merged.newest_by_host({}) == {host: record(1, 0)}


# The share


@kernel.PROPERTIES.register("what all processes send to a version stays in its share")
def share_holds() -> None:
    """Nothing is told between processes, and each may be replaced at any time."""
    plan = worlds.Plan(seed=3, gateways=8, per_s=400.0, by_s=60.0)

    def replace(world: worlds.World) -> None:
        for gateway in world.gateways:
            gateway.loop.link = None  # type: ignore[assignment]
            gateway.loop.update = lambda: None  # type: ignore[method-assign]
        for number in range(8):
            world.after(0.4 * number + 0.5, lambda one=number: world.restart(one))  # type: ignore[misc]

    plan.disturb = replace
    world = worlds.World(plan)
    seen = world.play(4.0)
    assert seen.to_new > 10, seen.to_new
    assert seen.to_new <= worlds.SHARE * seen.reached, (seen.to_new, seen.reached)


def began(plan: worlds.Plan) -> worlds.Gateway:
    """Return a gateway that has just read an order."""
    world = worlds.World(plan)
    world.store.order(plan.by_s)
    (gateway,) = world.gateways
    gateway.take_list(world.store.snapshot())
    return gateway


@kernel.PROPERTIES.register("only first tries go to a version that is tried")
def first_tries_only() -> None:
    gateway = began(worlds.Plan(seed=1, gateways=1))
    now = gateway.world.now
    # As much as it can take is within its share.
    gateway.run.split.answered = 100_000
    for number in range(3):
        call = msgspec.structs.replace(
            kernel.call(number), deadline=ids.later(now, 60.0), most_tries=2
        )
        grant = gateway.balancer.offer(call, now)
        assert isinstance(grant, verdicts.Grant), grant
        assert grant.upstream.spec.version == NEW
        gateway.balancer.finish(grant, upstreams.Result.FAILED, None, now)
        again = gateway.balancer.retry(grant, now)
        assert again is not None
        assert again.upstream.spec.version == OLD


@kernel.PROPERTIES.register(
    "calls that no version may get are refused, and wait for none"
)
def none_left() -> None:
    gateway = began(worlds.Plan(seed=1, gateways=1))
    now = gateway.world.now
    gateway.run.raise_phase(rollout_notes.Phase.ROLLED_BACK)
    for upstream in list(gateway.balancer.pool.usable_order):
        if upstream.spec.version == OLD:
            gateway.balancer.pool.leave(upstream.spec.id, 1, "gone")
    call = msgspec.structs.replace(kernel.call(1), deadline=ids.later(now, 60.0))
    verdict = gateway.balancer.offer(call, now)
    assert isinstance(verdict, outcomes.Refusal), verdict


@kernel.PROPERTIES.register("a version that was replaced gets no new work")
def replaced() -> None:
    gateway = began(worlds.Plan(seed=1, gateways=1))
    store = gateway.world.store
    status = sources.RolloutStatus(SERVICE, NEW, State.COMPLETED, store.revision + 1)
    store.status_by_service[SERVICE] = status
    gateway.take_list(store.snapshot())
    versions = {u.spec.version for u in gateway.balancer.pool.usable_order}
    assert versions == {NEW}, versions


# Evidence


def record(number: int, failed: int) -> rollout_notes.EvidenceRecord:
    """Return what a process counted at one upstream of the target."""
    counts = rollout_notes.Counts(judged=2 * failed, failed=failed)
    return rollout_notes.EvidenceRecord(
        service=SERVICE,
        revision=ORDER.revision,
        number=number,
        phase=rollout_notes.Phase.RUNNING,
        sent=0,
        answered=0,
        is_empty=False,
        rows=(rollout_notes.Row("read", ids.UpstreamId("u1"), counts),),
        left_s=5.0,
    )


@kernel.PROPERTIES.register("no evidence counts twice, however often it is told")
def counted_once() -> None:
    rng = random.Random(1)
    merged = merging.Merged()
    sources_of = [
        merging.Source(ids.HostId("h"), ids.Incarnation(name)) for name in "ab"
    ]
    told = [(source, record(n, 3 * n)) for source in sources_of for n in range(1, 20)]
    total = 0
    for source, one in rng.choices(told, k=300) + told[-1:] + told[18:19]:
        delta = merged.take(source, one)
        if delta is not None:
            total += sum(counts.failed for counts in delta.counts_by_cell.values())
    assert total == 2 * 3 * 19, total


@kernel.PROPERTIES.register("a few bad upstreams are not taken for their version")
def not_the_version() -> None:
    test = sequential_test.Test()
    test.available = 10
    for number in itertools.chain((1, 2) * 20):
        upstream_id = ids.UpstreamId(f"u{number}")
        test.add(upstream_id, sequential_test.Tally(1, 1), rate=0.01, effect=0.1)
    assert test.likelihood > 5 * sequential_test.BOUND
    assert test.suspicion() < 1.0
    for number in range(3, 9):
        upstream_id = ids.UpstreamId(f"u{number}")
        test.add(upstream_id, sequential_test.Tally(3, 2), rate=0.01, effect=0.1)
    assert test.suspicion() >= 1.0


@kernel.PROPERTIES.register("what strikes all versions alike speaks against none")
def alike() -> None:
    rng = random.Random(5)
    judged = analysis.Analysis()
    judged.available = 8
    source = merging.Source(ids.HostId("h"), ids.Incarnation("a"))
    for step in range(100):
        at_s = 0.2 * step
        share = 0.4 if 4.0 < at_s < 12.0 else 0.01
        counts_by_cell = {
            ("read", evidence.OTHER_VERSIONS): drawn(rng, 40, share),
            ("read", ids.UpstreamId(f"u{step % 5}")): drawn(rng, 4, share),
        }
        judged.add(merging.Delta(source, counts_by_cell), ids.later(NOW, at_s))
        assert judged.finding() is None, (at_s, judged.finding())


def drawn(rng: random.Random, calls: int, share: float) -> rollout_notes.Counts:
    """Return that many calls, each of which failed with that probability."""
    failed = sum(rng.random() < share for _ in range(calls))
    return rollout_notes.Counts(judged=calls, failed=failed)


class CountingLink:
    """Passes messages on; counts those with evidence, each target for one."""

    def __init__(self, gateway: worlds.Gateway) -> None:
        self.gateway = gateway
        self.count = 0

    def send(self, message: messages.Message, targets: list[ids.Address]) -> None:
        """Send a datagram."""
        self.count += len(targets) if message.evidence is not None else 0
        self.gateway.send(message, targets)


@kernel.PROPERTIES.register("in a larger fleet a gateway tells no more")
def tells_no_more() -> None:
    seconds = 2.0
    for gateways in (5, 30):
        world = worlds.World(worlds.Plan(seed=1, gateways=gateways, per_s=60.0))
        links = [CountingLink(gateway) for gateway in world.gateways]
        for link in links:
            link.gateway.loop.link = typing.cast(peer_link.PeerLink, link)
        world.play(seconds)
        rounds = seconds / loop.PERIOD_S + 1
        most = max(link.count for link in links)
        assert most <= rounds * (1 + deciding.OTHERS_PER_ROUND), (gateways, most)


@kernel.PROPERTIES.register("orders that have ended crowd out no news of others")
def crowded() -> None:
    world = worlds.World(worlds.Plan(seed=1, gateways=2))
    (gateway, _) = world.gateways
    known = gateway.rollouts.run_by_service
    for number in range(rollout_notes.NOTES_PER_MESSAGE):
        order = msgspec.structs.replace(
            ORDER, service=ids.ServiceName(f"ended{number}")
        )
        ended = runs.Run(order, worlds.SHARE, frozenset(), world.metrics)
        ended.finish(State.ROLLED_BACK)
        known[order.service] = ended
    current = runs.Run(ORDER, worlds.SHARE, frozenset(), world.metrics)
    current.raise_phase(rollout_notes.Phase.ROLLED_BACK)
    known[SERVICE] = current
    gateway.loop.update()
    assert current.note() in gateway.state.gossip.rollout_phases


# Who writes what


@kernel.PROPERTIES.register(
    "a status only goes forward, and is written under conditions"
)
def forward_only() -> None:
    for known in (State.COMPLETED, State.ROLLED_BACK):
        for phase in rollout_notes.Phase:
            for is_complete in (False, True):
                wanted = deciding.next_state(known, phase, is_complete=is_complete)
                assert wanted is None, (known, phase)
    back = rollout_notes.Phase.ROLLED_BACK
    assert deciding.next_state(None, back, is_complete=False) is State.ROLLED_BACK
    assert deciding.next_state(None, back, is_complete=True) is State.ROLLED_BACK


class Client:
    """Keeps the transaction that the adapter asks for."""

    def __init__(self) -> None:
        self.revision_by_key: dict[str, int] = {}

    async def write(
        self, key: str, value: bytes, revision_by_key: dict[str, int]
    ) -> store_client.Committed:
        self.revision_by_key = revision_by_key
        return store_client.Committed(25)


@kernel.PROPERTIES.register("a status is written only in place of what was read")
def compare_and_set() -> None:
    client = Client()
    source = store.PlatformSource(client)  # type: ignore[arg-type]
    status = sources.RolloutStatus(SERVICE, NEW, State.COMPLETED, revision=22)
    work = source.write_rollout_status(ORDER, status)
    try:
        work.send(None)
    except StopIteration as end:
        assert end.value == 25
    expected = {"status/rollout/s": 22, "op/rollout/s": ORDER.revision}
    assert client.revision_by_key == expected, client.revision_by_key


class WrittenStatuses:
    """A source that notes what it is asked to write, and fails in turn."""

    def __init__(self, *faults: sources.SourceFault) -> None:
        self.written: list[sources.RolloutStatus] = []
        self.faults = list(faults)

    async def write_rollout_status(
        self, order: sources.RolloutOrder, status: sources.RolloutStatus
    ) -> int | sources.SourceFault:
        """Note a status and do not write it."""
        self.written.append(status)
        return self.faults.pop(0)


@kernel.PROPERTIES.register("a write keeps the condition under which it was decided")
def decided_on() -> None:
    reading = store_reading.Reading()
    known = reading.state.rollouts.orders
    known.replace(snapshot({SERVICE: ORDER}), NOW)
    known.written(sources.RolloutStatus(SERVICE, NEW, State.RUNNING, revision=21))
    source = WrittenStatuses(sources.SourceFault.CONFLICT)

    async def write() -> None:
        tasks = background.BackgroundTasks()
        writer = status_writer.StatusWriter(
            reading.state, typing.cast(sources.Source, source), ORDER, tasks
        )
        writer.write(State.COMPLETED, NOW)
        # Read before the write begins: another gateway has rolled it back.
        known.written(sources.RolloutStatus(SERVICE, NEW, State.ROLLED_BACK, 22))
        await asyncio.sleep(0.01)

    asyncio.run(write())
    (status,) = source.written
    assert status.revision == 21, status


@kernel.PROPERTIES.register(
    "a write that may be done is settled by nothing but its effect"
)
def may_be_done() -> None:
    fault = sources.SourceFault
    for faults in (
        (fault.UNAVAILABLE, fault.OVER_LIMIT),
        (fault.UNAVAILABLE, fault.CONFLICT),
        (fault.OVER_LIMIT,),
        (fault.CONFLICT,),
    ):
        reading = store_reading.Reading()
        known = reading.state.rollouts.orders
        known.replace(snapshot({SERVICE: ORDER}), NOW)
        known.written(sources.RolloutStatus(SERVICE, NEW, State.RUNNING, revision=21))
        source = typing.cast(sources.Source, WrittenStatuses(*faults))
        unsettled = asyncio.run(written_again(reading, source, len(faults)))
        expected = State.COMPLETED if fault.UNAVAILABLE in faults else None
        assert unsettled() is expected, faults
        known.written(sources.RolloutStatus(SERVICE, NEW, State.COMPLETED, 22))
        assert unsettled() is None, faults


async def written_again(
    reading: store_reading.Reading, source: sources.Source, times: int
) -> abc.Callable[[], State | None]:
    """Write a status that many times; return what tells which is not settled."""
    tasks = background.BackgroundTasks()
    writer = status_writer.StatusWriter(reading.state, source, ORDER, tasks)
    for number in range(times):
        writer.write(State.COMPLETED, ids.later(NOW, 10.0 * number))
        await asyncio.sleep(0.01)
    return lambda: writer.unsettled


@kernel.PROPERTIES.register("of two that decide one writes, and neither goes back")
def two_deciders() -> None:
    def split(world: worlds.World) -> None:
        # Each half sees only itself from then on.
        def begin() -> None:
            for gateway in world.gateways:
                gateway.state.gossip.known_by_host = {}

        world.after(1.0, begin)

    harm = worlds.Harm(fails=0.6)
    world = played(worlds.Plan(seed=4, harm=harm, disturb=split))
    assert not rollout_trials.complaints(world), rollout_trials.complaints(world)
    good = played(worlds.Plan(seed=4, disturb=split))
    # None of them sees more than half: nobody says that the others are empty.
    assert final_state(good) is not State.COMPLETED, good.seen.statuses


@kernel.PROPERTIES.register("only who begins a phase announces it to everyone")
def announced_by_few() -> None:
    def disturb(world: worlds.World) -> None:
        for gateway in world.gateways[1:]:
            gateway.loop._judge = lambda one: None  # type: ignore[method-assign]

    plan = worlds.Plan(seed=1, gateways=8, harm=worlds.Harm(fails=0.9), per_s=100.0)
    plan.disturb = disturb
    world = played(plan)
    assert final_state(world) is State.ROLLED_BACK
    rounds = [gateway.announced for gateway in world.gateways]
    assert 0 < rounds[0] <= 3 and not sum(rounds[1:]), rounds


# Orders of all kinds


@kernel.PROPERTIES.register("a version that nobody runs is given up when time is over")
def nobody_runs_it() -> None:
    world = played(worlds.Plan(seed=1, news=0, by_s=3.0, per_s=60.0))
    assert final_state(world) is State.ROLLED_BACK
    assert all("no-upstreams" in g.run.reason or "told" in g.run.reason
               for g in world.gateways)  # fmt: skip


@kernel.PROPERTIES.register("a version that all run is completed at once")
def all_run_it() -> None:
    world = played(worlds.Plan(seed=1, olds=0, by_s=6.0, per_s=60.0))
    assert final_state(world) is State.COMPLETED
    assert world.seen.statuses[-1][0] < 3.0, world.seen.statuses
    assert not world.seen.failed


@kernel.PROPERTIES.register("too few upstreams of a version are not promoted")
def too_few() -> None:
    world = played(worlds.Plan(seed=1, news=4, by_s=4.0, per_s=60.0))
    assert final_state(world) is State.ROLLED_BACK
    assert any("too-few-slots" in g.run.reason for g in world.gateways)


@kernel.PROPERTIES.register(
    "an order that is taken away sends nothing more to its version"
)
def taken_away() -> None:
    def disturb(world: worlds.World) -> None:
        world.after(3.0, world.store.take_away)

    world = played(worlds.Plan(seed=1, by_s=6.0, per_s=60.0, disturb=disturb))
    assert final_state(world) is State.RUNNING
    assert world.seen.to_new
    assert max(world.seen.new_sent_at) < 3.0 + rollout_store.NEWS_S


@kernel.PROPERTIES.register("a second order spares the version of the first")
def second_order() -> None:
    def disturb(world: worlds.World) -> None:
        for machine in world.machines[-6:]:
            machine.spec = worlds.with_version(machine.spec, THIRD)
        world.after(2.0, lambda: world.store.order(6.0, target=THIRD))

    plan = worlds.Plan(seed=1, news=24, by_s=6.0, per_s=60.0, disturb=disturb)
    world = played(plan)
    assert max(world.seen.new_sent_at) < 2.0 + rollout_store.NEWS_S
    status = world.store.status_by_service[SERVICE]
    assert status.target == THIRD


@kernel.PROPERTIES.register("the same order again is a new one")
def same_again() -> None:
    def disturb(world: worlds.World) -> None:
        world.after(5.0, lambda: world.store.order(6.0))

    plan = worlds.Plan(seed=1, by_s=3.5, per_s=60.0, harm=worlds.Harm(fails=0.9))
    plan.disturb = disturb
    world = worlds.World(plan)
    world.play(11.0)
    states = [state for _, state in world.seen.statuses]
    back = State.ROLLED_BACK
    assert states == [State.RUNNING, back, State.RUNNING, back], states


@kernel.PROPERTIES.register("orders that can't be read move nothing else")
def unreadable() -> None:
    values = (
        b'{"targetVersion":"v2","rampS":0}',
        b'{"targetVersion":"v2","rampS":-3}',
        b'{"targetVersion":"v2","rampS":"soon"}',
        b'{"targetVersion":"","rampS":3}',
        b'{"targetVersion":["v2"],"rampS":3}',
        b'{"service":"other","targetVersion":"v2","rampS":3}',
        b'{"rampS":3}',
        b"\xff",
        b"",
    )
    for value in values:
        found = rollout_records.read_order("op/rollout/s", 30, value)
        assert isinstance(found, sources.BadItem), value
    known = orders.Orders()
    known.replace(snapshot({SERVICE: ORDER}), NOW)
    known.replace(snapshot({}, unreadable=frozenset({SERVICE})), NOW)
    assert known.order_by_service == {SERVICE: ORDER}
    known.replace(snapshot({}), NOW)
    assert not known.order_by_service


def snapshot(
    order_by_service: dict[ids.ServiceName, sources.RolloutOrder],
    unreadable: frozenset[ids.ServiceName] = frozenset(),
) -> sources.Snapshot:
    """Return what a source holds that has these orders."""
    return sources.Snapshot(
        30, None, {}, order_by_service=order_by_service, unreadable_orders=unreadable
    )


@kernel.PROPERTIES.register("an older reading takes no newer order back")
def overtaken() -> None:
    newer = msgspec.structs.replace(ORDER, service=store_reading.SERVICE, revision=40)
    status = sources.RolloutStatus(newer.service, NEW, State.RUNNING, revision=41)
    reading = store_reading.Reading()
    known = reading.state.rollouts.orders
    listed = reading.state.listing.listed(reading.clock.now())
    mark = sources.RolloutMark(newer, newer.by_s, status)
    marked = [msgspec.structs.replace(one, rollout=mark) for one in listed]
    reading.state.apply_listing(marked, 50)
    by_id = {one.id: one for one in listed}
    gone = {newer.service: None}
    for older in (
        lambda: reading.state.apply_snapshot(
            sources.Snapshot(30, None, by_id), is_overtaken=True
        ),
        lambda: reading.state.apply_changes(
            sources.Changes(35, order_by_service=gone, status_by_service=gone)
        ),
    ):
        older()
        assert known.order_by_service == {newer.service: newer}
        assert known.status_by_service == {newer.service: status}
        run = reading.state.rollouts.run_by_service[newer.service]
        assert run.phase is rollout_notes.Phase.RUNNING
    reading.state.apply_changes(sources.Changes(51, order_by_service=gone))
    assert not known.order_by_service
    # A source that was set back counts.
    known.replace(snapshot({SERVICE: ORDER}), NOW)
    assert known.order_by_service == {SERVICE: ORDER}


@kernel.PROPERTIES.register("an order found at the start goes on by its status")
def found_at_start() -> None:
    by_state = {State.RUNNING: True, State.COMPLETED: False, State.ROLLED_BACK: True}
    for state, has_split in by_state.items():
        world = worlds.World(worlds.Plan(seed=1, gateways=1))
        world.store.order(6.0)
        status = sources.RolloutStatus(SERVICE, NEW, state, world.store.revision + 1)
        world.store.status_by_service[SERVICE] = status
        (gateway,) = world.gateways
        gateway.take_list(world.store.snapshot())
        split = gateway.balancer.split
        assert (split is not None) == has_split, state
        if state is State.ROLLED_BACK:
            assert split is not None
            barred = split.barred(gateway.balancer.pool)
            assert len(barred) == world.plan.news


@kernel.PROPERTIES.register("peers learn of an order with the upstreams it is about")
def marks() -> None:
    known = orders.Orders()
    known.replace(snapshot({SERVICE: ORDER}), NOW)
    one = sources.ListedUpstream(
        id=ids.UpstreamId("u1"),
        service=SERVICE,
        address=ids.Address("a:1"),
        zone=worlds.ZONE,
        slots=2,
        state=sources.UpstreamState.READY,
        cold_s=0.0,
        version=NEW,
    )
    later = ids.later(NOW, 4.0)
    peer = orders.Orders()
    assert peer.take_marks(known.marked([one], later), later) == [one]
    assert peer.order_by_service == {SERVICE: ORDER}
    assert peer.end_at_by_service[SERVICE] == ids.later(NOW, ORDER.by_s)
    peer.take_marks([one], later)
    assert not peer.services()
