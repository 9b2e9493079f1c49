"""Property tests of the pure modules, without any input or output."""

import random
import typing
from collections import abc

import behave
import hypothesis
from hypothesis import strategies

from spindlenotch import ids, registry, selection
from spindlenotch.bundles import bundle_check
from spindlenotch.decisions import balancer, verdicts
from spindlenotch.kernel import (
    extra_budgets,
    outcomes,
    ownership,
    service_policy,
    upstreams,
    wait_queue,
    zone_schedule,
)
from spindlenotch.peers import documents

PROPERTIES: registry.Registry[abc.Callable[[], None]] = registry.Registry("property")
SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=100
)
NOW = ids.Instant(1000.0)
ZONES = tuple(ids.ZoneName(z) for z in ("a", "b", "c"))
SHARES = extra_budgets.SeparateShares(retry_share=0.05, hedge_share=0.05)
small = strategies.integers(1, 12)


@behave.then('the property "{name}" holds')
def holds(context: typing.Any, name: str) -> None:
    PROPERTIES.get(name)()


def service(
    policy: str = "owned",
    extra: extra_budgets.ExtraPolicy = SHARES,
) -> service_policy.ServicePolicy:
    """Return a service with two kinds of calls."""
    return service_policy.ServicePolicy(
        name=ids.ServiceName("s"),
        zones=ZONES,
        slots=2,
        typical_s=0.01,
        selection=policy,
        extra=extra,
        queue_limit=50,
        eject_share=0.3,
        latency_keys=("read", "book"),
    )


def loaded(
    seed: int,
    count: int,
    policy: str = "owned",
    extra: extra_budgets.ExtraPolicy = SHARES,
) -> balancer.Balancer:
    """Return a balancer with ``count`` upstreams that are warm."""
    local_member = ownership.Member(ZONES[0], ids.HostId("e0"))
    made = balancer.Balancer(service(policy, extra), local_member, random.Random(seed))
    specs = [
        upstreams.UpstreamSpec(
            ids.UpstreamId(f"u{n}"), ZONES[n % 3], ids.Address(""), 1
        )
        for n in range(count)
    ]
    made.pool.set_listed(specs, NOW)
    for known in made.pool.upstream_by_id.values():
        known.answers = upstreams.SLOW_START_ANSWERS
    return made


def call(number: int, rank: int = 1, deadline: float = 60.0) -> wait_queue.Call:
    """Return a repeatable call."""
    name = ids.CallId(f"c{number}")
    return wait_queue.Call(
        id=name,
        priority=rank,
        repeatable=True,
        deadline=ids.later(NOW, deadline),
        latency_key="read",
        arrived_at=NOW,
    )


@PROPERTIES.register("own slots of all entries add up to all slots")
def ownership_adds_up() -> None:
    @SETTINGS
    @hypothesis.given(strategies.lists(small, min_size=1, max_size=20), small)
    def check(slots: list[int], entries: int) -> None:
        offers = [
            ownership.SlotOffer(ids.UpstreamId(f"u{n}"), ZONES[n % 3], float(s))
            for n, s in enumerate(slots)
        ]
        members = [
            ownership.Member(ZONES[n % 3], ids.HostId(f"e{n}")) for n in range(entries)
        ]
        sums = dict.fromkeys((s.upstream for s in offers), 0.0)
        for local_member in members:
            own = ownership.owned(offers, members, local_member)
            assert abs(sum(own.values()) - sum(slots) / entries) < 1e-6
            for upstream, share in own.items():
                sums[upstream] += share
        for offer in offers:
            assert abs(sums[offer.upstream] - offer.slots) < 1e-6

    check()


@PROPERTIES.register("zone weights move without a jump")
def no_jump() -> None:
    weights = strategies.lists(strategies.floats(0.1, 10), min_size=3, max_size=3)
    steps = strategies.lists(
        strategies.tuples(strategies.integers(0, 1439), weights),
        min_size=1,
        max_size=5,
        unique_by=lambda pair: pair[0],
    )

    @SETTINGS
    @hypothesis.given(steps, strategies.floats(0, 1439.9))
    def check(drawn: list[tuple[int, list[float]]], minute: float) -> None:
        day = tuple(
            zone_schedule.DayStep(at, dict(zip(ZONES, values, strict=True)))
            for at, values in sorted(drawn)
        )
        before = zone_schedule.planned_shares(ZONES, day, minute)
        after = zone_schedule.planned_shares(ZONES, day, (minute + 0.01) % 1440)
        assert abs(sum(before.values()) - 1) < 1e-9
        steepest = 0.01 * 100 / max(1, _shortest(day)) + 1e-6
        for zone in ZONES:
            assert abs(before[zone] - after[zone]) <= steepest, (zone, before, after)

    check()


def _shortest(day: tuple[zone_schedule.DayStep, ...]) -> float:
    minutes = [step.minute for step in day]
    if len(minutes) == 1:
        return 1440
    gaps = [b - a for a, b in zip(minutes, minutes[1:], strict=False)]
    return min([*gaps, 1440 - minutes[-1] + minutes[0]])


@PROPERTIES.register("a higher class never waits behind a lower one")
def ranks() -> None:
    @SETTINGS
    @hypothesis.given(strategies.lists(strategies.integers(0, 3), max_size=100))
    def check(order: list[int]) -> None:
        queue = wait_queue.WaitQueue(1000)
        for number, rank in enumerate(order):
            queue.push(call(number, rank))
        turns = 0
        while (chosen := queue.head()) is not None:
            turns += 1
            ahead = min(c.priority for c in queue)
            fair = turns % wait_queue.OLDEST_FIRST_EVERY == 0
            assert fair or chosen.priority == ahead
            queue.take(chosen)
        assert turns == len(order)

    check()


@PROPERTIES.register("nobody unfit is chosen")
def fit() -> None:
    @SETTINGS
    @hypothesis.given(
        strategies.integers(0, 1000),
        strategies.lists(strategies.sampled_from(("leave", "eject", "fail"))),
        strategies.sampled_from(
            ("owned", "random", "round-robin", "least-outstanding", "two-choices")
        ),
    )
    def check(seed: int, troubles: list[str], policy: str) -> None:
        made = loaded(seed, 8, policy)
        rng = random.Random(seed)
        for number, trouble in enumerate(troubles):
            victim = made.pool.upstream_by_id[ids.UpstreamId(f"u{rng.randrange(8)}")]
            if trouble == "leave":
                made.pool.leave(victim.spec.id, 1, "test")
            elif trouble == "eject":
                made.pool.eject(victim, "test", NOW)
            offered = made.offer(call(number), NOW)
            if isinstance(offered, verdicts.Grant):
                state = offered.upstream.state
                assert state is upstreams.State.ACTIVE, state
                failed = upstreams.Result.FAILED
                made.finish(offered, failed, None, NOW)
        ejected = [
            u for u in made.pool.usable_order if u.state is upstreams.State.EJECTED
        ]
        assert len(ejected) <= max(1, int(0.3 * 8))

    check()


@PROPERTIES.register("a decision follows from state, time and seed")
def deterministic() -> None:
    @SETTINGS
    @hypothesis.given(strategies.integers(0, 1000), strategies.integers(1, 60))
    def check(seed: int, calls: int) -> None:
        def play() -> list[object]:
            made = loaded(seed, 8)
            for number in range(calls):
                made.offer(call(number), ids.later(NOW, number / 1000))
            return [(d.call, d.upstream, d.rule) for d in made.decisions]

        assert play() == play()

    check()


@PROPERTIES.register("an older document never replaces a newer one")
def fenced() -> None:
    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.integers(1, 9), strategies.booleans())
        )
    )
    def check(offers: list[tuple[int, bool]]) -> None:
        fence = documents.Fence()
        kind = documents.DocumentKind.BUNDLE
        highest = 0
        for version, authoritative in offers:
            digest = ids.Digest(f"d{version}")
            document = documents.Document(kind, version, digest, b"")
            fence.offer(document, authoritative=authoritative)
            highest = max(highest, version)
            assert fence.version(kind) == highest

    check()


@PROPERTIES.register("what is explained is what was done")
def explained() -> None:
    @SETTINGS
    @hypothesis.given(strategies.integers(0, 1000), strategies.integers(1, 60))
    def check(seed: int, calls: int) -> None:
        made = loaded(seed, 8)
        for number in range(calls):
            offered = made.offer(call(number), NOW)
            if not isinstance(offered, verdicts.Grant):
                continue
            last = made.decisions[-1]
            assert (last.call, last.upstream) == (
                offered.call.id,
                offered.upstream.spec.id,
            )
            cheapest = min(last.candidates, key=lambda c: c.cost)
            assert cheapest.upstream == last.upstream

    check()


MISTAKEN = """
format = 2
version = "one"
timezone = "Mars/Olympus"
colour = "blue"
[classes]
browse = 11
[services.Bad_Name]
slots = 0
policy = "magic"
zones = ["a", "a"]
[[services.Bad_Name.operations]]
name = "read"
methods = ["FETCH"]
class = "nobody"
"""
PATHS = {
    "format",
    "version",
    "deployment",
    "timezone",
    "colour",
    "classes.browse.rank",
    "services",
    "services.Bad_Name.slots",
    "services.Bad_Name.policy",
    "services.Bad_Name.zones",
    "services.Bad_Name.operations[0].methods",
    "services.Bad_Name.operations[0].class",
}


@behave.then("a bundle with {count:d} mistakes gets {again:d} reports with their paths")
def mistakes(context: typing.Any, count: int, again: int) -> None:
    found = bundle_check.check(MISTAKEN, selection.POLICIES.names())
    assert isinstance(found, list)
    paths = {mistake.path for mistake in found}
    assert paths >= PATHS, PATHS - paths
    assert all(m.found and m.allowed for m in found), found


@behave.then("a call that falls hopelessly behind is refused at once")
def hopeless(context: typing.Any) -> None:
    made = loaded(1, 1)
    grants = []
    number = 0
    while True:
        number += 1
        offered = made.offer(call(number, rank=2, deadline=0.5), NOW)
        if not isinstance(offered, verdicts.Grant):
            break
        grants.append(offered)
    assert isinstance(offered, verdicts.Waiting)
    # The upstream turns slow: what waits can no longer be answered in time.
    made.pool.latencies.overall.value = 0.6
    made.pool.latencies.latency_by_key["read"].typical.value = 0.6
    later = ids.later(NOW, 0.1)
    (settled,) = made.refuse_hopeless(later)
    assert isinstance(settled.verdict, outcomes.Refusal)
    assert settled.verdict.outcome is outcomes.Outcome.NOT_RUN
    assert settled.verdict.retry_at is not None and settled.verdict.retry_at > later
    assert not len(made.queue)


@behave.then("ejecting nearly all of one zone leaves the others' own slots as they are")
def zone_lost(context: typing.Any) -> None:
    made = loaded(1, 30)
    before = {u.spec.id: u.owned_slots for u in made.pool.owned}
    victims = [u for u in made.pool.usable_order if u.spec.zone == ZONES[0]][1:]
    for victim in victims:
        assert made.pool.eject(victim, "test", NOW)
    for upstream in made.pool.owned:
        if upstream.spec.zone != ZONES[0]:
            assert upstream.owned_slots >= before[upstream.spec.id], upstream.spec
