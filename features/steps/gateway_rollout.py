"""A service that changes its version: rules on values, and fleets in virtual time."""

import itertools
import random

from features.steps import kernel
from features.support import rollout_store, rollout_trials, rollout_world as worlds
from spindlenotch import ids
from spindlenotch.gateway.rollout import (
    analysis,
    deciding,
    evidence,
    merging,
    orders,
    sequential_test,
)
from spindlenotch.gateway.source import sources
from spindlenotch.peers import rollout_notes
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
