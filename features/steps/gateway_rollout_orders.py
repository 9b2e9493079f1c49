"""Orders to change a version: who writes their status, and what becomes of odd ones."""

import asyncio
import typing
from collections import abc

import msgspec

from features.steps import kernel
from features.support import (
    rollout_service,
    rollout_store,
    rollout_trials,
    rollout_world as worlds,
    store_reading,
)
from spindlenotch import ids
from spindlenotch.gateway.rollout import (
    decider_rules,
    orders,
    status_writer,
)
from spindlenotch.gateway.source import sources
from spindlenotch.peers import background, rollout_notes
from spindlenotch_platform import rollout_records, store, store_client

SERVICE = rollout_service.SERVICE
ORDER = rollout_service.ORDER
NOW = kernel.NOW
State = sources.RolloutState
NEW = rollout_service.NEW
THIRD = rollout_service.THIRD


@kernel.PROPERTIES.register(
    "a status only goes forward, and is written under conditions"
)
def forward_only() -> None:
    for known in (State.COMPLETED, State.ROLLED_BACK):
        for phase in rollout_notes.Phase:
            for is_complete in (False, True):
                wanted = decider_rules.next_state(known, phase, is_complete=is_complete)
                assert wanted is None, (known, phase)
    back = rollout_notes.Phase.ROLLED_BACK
    assert decider_rules.next_state(None, back, is_complete=False) is State.ROLLED_BACK
    assert decider_rules.next_state(None, back, is_complete=True) is State.ROLLED_BACK


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
    status = sources.RolloutStatus(
        SERVICE,
        NEW,
        State.COMPLETED,
        revision=22,
    )
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
    known.written(
        sources.RolloutStatus(
            SERVICE,
            NEW,
            State.RUNNING,
            revision=21,
        )
    )
    source = WrittenStatuses(sources.SourceFault.CONFLICT)

    async def write() -> None:
        tasks = background.BackgroundTasks()
        writer = status_writer.StatusWriter(
            reading.state,
            typing.cast(sources.Source, source),
            ORDER,
            tasks,
        )
        writer.write(State.COMPLETED, NOW)
        # Read before the write begins: another gateway has rolled it back.
        known.written(
            sources.RolloutStatus(
                SERVICE,
                NEW,
                State.ROLLED_BACK,
                22,
            )
        )
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
        known.replace(
            snapshot({SERVICE: ORDER}),
            NOW,
        )
        known.written(
            sources.RolloutStatus(
                SERVICE,
                NEW,
                State.RUNNING,
                revision=21,
            )
        )
        source = typing.cast(sources.Source, WrittenStatuses(*faults))
        pending_state = asyncio.run(written_again(reading, source, len(faults)))
        expected = State.COMPLETED if fault.UNAVAILABLE in faults else None
        assert pending_state() is expected, faults
        known.written(
            sources.RolloutStatus(
                SERVICE,
                NEW,
                State.COMPLETED,
                22,
            )
        )
        assert pending_state() is None, faults


async def written_again(
    reading: store_reading.Reading, source: sources.Source, times: int
) -> abc.Callable[[], State | None]:
    """Write a status that many times; return what tells which is not settled."""
    tasks = background.BackgroundTasks()
    writer = status_writer.StatusWriter(reading.state, source, ORDER, tasks)
    for number in range(times):
        writer.write(
            State.COMPLETED,
            ids.later(NOW, 10.0 * number),
        )
        await asyncio.sleep(0.01)
    return lambda: writer.pending_state


@kernel.PROPERTIES.register("of two that decide one writes, and neither goes back")
def two_deciders() -> None:
    def split(world: worlds.World) -> None:
        # Each half sees only itself from then on.
        def begin() -> None:
            for gateway in world.gateways:
                gateway.state.gossip.known_by_host = {}

        world.after(1.0, begin)

    harm = worlds.Harm(fails=0.6)
    world = worlds.played(worlds.Plan(seed=4, harm=harm, disturb=split))
    assert not rollout_trials.complaints(world), rollout_trials.complaints(world)
    good = worlds.played(worlds.Plan(seed=4, disturb=split))
    # None of them sees more than half: nobody says that the others are empty.
    assert worlds.final_state(good) is not State.COMPLETED, good.seen.statuses


@kernel.PROPERTIES.register("only who begins a phase announces it to everyone")
def announced_by_few() -> None:
    def disturb(world: worlds.World) -> None:
        for gateway in world.gateways[1:]:
            gateway.loop._roll_back_if_bad = lambda one: None  # type: ignore[method-assign]

    plan = worlds.Plan(seed=1, gateways=8, harm=worlds.Harm(fails=0.9), per_s=100.0)
    plan.disturb = disturb
    world = worlds.played(plan)
    assert worlds.final_state(world) is State.ROLLED_BACK
    rounds = [gateway.announced for gateway in world.gateways]
    assert 0 < rounds[0] <= 3 and not sum(rounds[1:]), rounds


# Orders of all kinds


@kernel.PROPERTIES.register("a version that nobody runs is given up when time is over")
def nobody_runs_it() -> None:
    world = worlds.played(worlds.Plan(seed=1, news=0, by_s=3.0, per_s=60.0))
    assert worlds.final_state(world) is State.ROLLED_BACK
    assert all("no-upstreams" in g.run.reason or "told" in g.run.reason
               for g in world.gateways)  # fmt: skip


@kernel.PROPERTIES.register("a version that all run is completed at once")
def all_run_it() -> None:
    world = worlds.played(worlds.Plan(seed=1, olds=0, by_s=6.0, per_s=60.0))
    assert worlds.final_state(world) is State.COMPLETED
    assert world.seen.statuses[-1][0] < 3.0, world.seen.statuses
    assert not world.seen.failed


@kernel.PROPERTIES.register("too few upstreams of a version are not promoted")
def too_few() -> None:
    world = worlds.played(worlds.Plan(seed=1, news=4, by_s=4.0, per_s=60.0))
    assert worlds.final_state(world) is State.ROLLED_BACK
    assert any("too-few-slots" in g.run.reason for g in world.gateways)


@kernel.PROPERTIES.register(
    "an order that is taken away sends nothing more to its version"
)
def taken_away() -> None:
    def disturb(world: worlds.World) -> None:
        world.after(3.0, world.store.take_away)

    world = worlds.played(worlds.Plan(seed=1, by_s=6.0, per_s=60.0, disturb=disturb))
    assert worlds.final_state(world) is State.RUNNING
    assert world.seen.to_new
    assert max(world.seen.new_sent_at) < 3.0 + rollout_store.NEWS_S


@kernel.PROPERTIES.register("a second order spares the version of the first")
def second_order() -> None:
    def disturb(world: worlds.World) -> None:
        for machine in world.machines[-6:]:
            machine.spec = rollout_service.with_version(machine.spec, THIRD)
        world.after(2.0, lambda: world.store.order(6.0, target=THIRD))

    plan = worlds.Plan(seed=1, news=24, by_s=6.0, per_s=60.0, disturb=disturb)
    world = worlds.played(plan)
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
    assert states == [
        State.RUNNING,
        back,
        State.RUNNING,
        back,
    ], states


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
    known.replace(
        snapshot({}, unreadable=frozenset({SERVICE})),
        NOW,
    )
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
    mark = sources.RolloutAnnotation(newer, newer.by_s, status)
    with_marks = [msgspec.structs.replace(one, rollout=mark) for one in listed]
    reading.state.apply_listing(with_marks, 50)
    by_id = {one.id: one for one in listed}
    gone = {newer.service: None}
    for older in (
        lambda: reading.state.apply_snapshot(
            sources.Snapshot(30, None, by_id), is_stale=True
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
    by_state = {
        State.RUNNING: True,
        State.COMPLETED: False,
        State.ROLLED_BACK: True,
    }
    for state, has_split in by_state.items():
        world = worlds.World(worlds.Plan(seed=1, gateways=1))
        world.store.order(6.0)
        status = sources.RolloutStatus(
            SERVICE,
            NEW,
            state,
            world.store.revision + 1,
        )
        world.store.status_by_service[SERVICE] = status
        (gateway,) = world.gateways
        gateway.take_list(world.store.snapshot())
        split = gateway.balancer.split
        assert (split is not None) == has_split, state
        if state is State.ROLLED_BACK:
            assert split is not None
            barred = split.excluded(gateway.balancer.pool)
            assert len(barred) == world.plan.news


@kernel.PROPERTIES.register("peers learn of an order with the upstreams it is about")
def marks() -> None:
    known = orders.Orders()
    known.replace(snapshot({SERVICE: ORDER}), NOW)
    one = sources.ListedUpstream(
        id=ids.UpstreamId("u1"),
        service=SERVICE,
        address=ids.Address("a:1"),
        zone=rollout_service.ZONE,
        slots=2,
        state=sources.UpstreamState.READY,
        cold_s=0.0,
        version=NEW,
    )
    later = ids.later(NOW, 4.0)
    peer = orders.Orders()
    assert peer.apply_marks(known.with_marks([one], later), later) == [one]
    assert peer.order_by_service == {SERVICE: ORDER}
    assert peer.end_at_by_service[SERVICE] == ids.later(NOW, ORDER.by_s)
    peer.apply_marks([one], later)
    assert not peer.services()
