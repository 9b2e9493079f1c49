"""Properties of where a gateway sends a call, and when it waits."""

import hypothesis
import msgspec
from hypothesis import strategies

from features.steps import kernel
from spindlenotch import ids
from spindlenotch.decisions import balancer, least_latency, verdicts
from spindlenotch.kernel import contention, extra_budgets, outcomes, upstreams

NOW = kernel.NOW
ZONE = kernel.ZONES[0]


def paced(slots: list[int]) -> balancer.Balancer:
    """Return a balancer by the policy of the gateway."""
    extra = extra_budgets.SharedWindow(share=0.0, reserve=1000, window_s=10.0)
    made = kernel.loaded(1, 0, least_latency.NAME, extra)
    specs = [
        upstreams.UpstreamSpec(ids.UpstreamId(f"u{n}"), ZONE, ids.Address(""), 1, count)
        for n, count in enumerate(slots)
    ]
    made.pool.set_listed(specs, NOW)
    return made


@kernel.PROPERTIES.register("an upstream without room or leaving is never chosen")
def room() -> None:
    @kernel.SETTINGS
    @hypothesis.given(
        strategies.lists(strategies.integers(1, 4), min_size=1, max_size=5),
        strategies.integers(1, 40),
    )
    def check(slots: list[int], calls: int) -> None:
        made = paced(slots)
        made.pool.leave(ids.UpstreamId("u0"), 1, "leaving")
        for number in range(calls):
            made.offer(kernel.call(number), NOW)
        for name, upstream in made.pool.upstream_by_id.items():
            most = 0 if name == "u0" else upstream.slots
            assert upstream.outstanding <= most

    check()


@kernel.PROPERTIES.register("a slowed upstream is passed over while another has room")
def slowed() -> None:
    # Four of the six slots are used, whether or not crowding is known.
    made = paced([4, 6])
    slow = made.pool.upstream_by_id[ids.UpstreamId("u0")]
    made.pool.reported(slow, upstreams.LoadReport(0, 0, 7.0), NOW)
    for number in range(4):
        grant = made.offer(kernel.call(number), NOW)
        assert isinstance(grant, verdicts.Grant)
        assert grant.upstream.spec.id == "u1"


@kernel.PROPERTIES.register("an upstream that nobody has tried yet gets its share")
def newcomer() -> None:
    made = paced([4, 4, 4])
    now = NOW
    # Answers come in a fifth of the time that was expected.
    took_s = made.pool.latencies.overall.value / 5
    for number in range(60):
        if number == 30:
            spec = upstreams.UpstreamSpec(
                ids.UpstreamId("new"), ZONE, ids.Address(""), 1, 4
            )
            known = [u.spec for u in made.pool.upstream_by_id.values()]
            made.pool.set_listed([*known, spec], now)
        grant = made.offer(kernel.call(number), now)
        assert isinstance(grant, verdicts.Grant)
        now = ids.later(now, took_s)
        made.finish(grant, upstreams.Result.ANSWERED, None, now)
    answers = {u.spec.id: u.answers for u in made.pool.usable_order}
    assert min(answers.values()) >= 3, answers


def slow_down(made: balancer.Balancer, name: str) -> None:
    """Let an upstream say that work takes seven times as long there."""
    upstream = made.pool.upstream_by_id[ids.UpstreamId(name)]
    made.pool.reported(upstream, upstreams.LoadReport(0, 0, 7.0), NOW)


@kernel.PROPERTIES.register("a call waits while only slowed upstreams have room")
def waits_for_sound() -> None:
    made = paced([4, 1])
    slow_down(made, "u0")
    until = ids.later(NOW, 0.1)
    first, second, third = (
        msgspec.structs.replace(kernel.call(number), wait_until=until)
        for number in range(3)
    )
    grant = made.offer(first, NOW)
    assert isinstance(grant, verdicts.Grant)
    assert isinstance(made.offer(second, NOW), verdicts.Waiting)
    assert isinstance(made.offer(third, NOW), verdicts.Waiting)
    soon = ids.later(NOW, 0.02)
    (settled,) = made.finish(grant, upstreams.Result.ANSWERED, None, soon)
    assert settled.call is second
    assert isinstance(settled.verdict, verdicts.Grant)
    assert settled.verdict.upstream.spec.id == "u1"


@kernel.PROPERTIES.register("a call whose wait is over is refused, not slowed down")
def refused_rather_than_slowed() -> None:
    made = paced([4, 1])
    slow_down(made, "u0")
    until = ids.later(NOW, 0.1)
    first, second = (
        msgspec.structs.replace(kernel.call(number), wait_until=until)
        for number in range(2)
    )
    assert isinstance(made.offer(first, NOW), verdicts.Grant)
    assert isinstance(made.offer(second, NOW), verdicts.Waiting)
    # The queues are settled before calls are given up.
    assert made.settle(until) == []
    (settled,) = made.refuse_hopeless(until)
    assert settled.call is second
    assert isinstance(settled.verdict, outcomes.Refusal)


@kernel.PROPERTIES.register("a call goes to a slowed upstream where all are slowed")
def all_slowed() -> None:
    made = paced([1, 1])
    slow_down(made, "u0")
    slow_down(made, "u1")
    call = msgspec.structs.replace(kernel.call(0), wait_until=ids.later(NOW, 0.1))
    assert isinstance(made.offer(call, NOW), verdicts.Grant)


@kernel.PROPERTIES.register("the last slots stay empty where filling them slows work")
def crowded() -> None:
    @kernel.SETTINGS
    @hypothesis.given(
        strategies.sampled_from([0.9, 1.0, 1.2, 1.7]),
        strategies.integers(1, 200),
        strategies.integers(2, 12),
    )
    def check(slowdown: float, samples: int, slots: int) -> None:
        found = contention.Contention()
        for number in range(samples):
            times = 0.9 + 0.2 * (number % 2)
            found.add(
                slots=slots,
                load_sent=1.0,
                load_answered=1.0,
                slowdown=1.0,
                latency_ratio=times,
            )
            found.add(
                slots=slots,
                load_sent=slots,
                load_answered=slots,
                slowdown=1.0,
                latency_ratio=slowdown * times,
            )
            # A slowed upstream's time says nothing of that, nor a queue's.
            found.add(
                slots=slots,
                load_sent=slots,
                load_answered=slots,
                slowdown=7.0,
                latency_ratio=7.0,
            )
            found.add(
                slots=slots,
                load_sent=slots + 2.0,
                load_answered=slots,
                slowdown=1.0,
                latency_ratio=7.0,
            )
        known = samples >= contention.MIN_SAMPLES
        limited = known and slowdown >= 1.2
        below = max(1, int(contention.NEARLY_FULL * slots))
        assert found.usable(slots) == (below if limited else slots)
        # Until then, some upstreams are spared so that there is a comparison.
        spared = limited or not known
        assert found.usable(slots, sample=True) == (below if spared else slots)

    check()
    made = paced([3, 3])
    for _ in range(contention.MIN_SAMPLES):
        made.pool.contention.add(
            slots=3, load_sent=1.0, load_answered=1.0, slowdown=1.0, latency_ratio=1.0
        )
        made.pool.contention.add(
            slots=3, load_sent=3.0, load_answered=3.0, slowdown=1.0, latency_ratio=1.5
        )
    for number in range(6):
        made.offer(kernel.call(number), NOW)
    assert [u.outstanding for u in made.pool.usable_order] == [2, 2]


@kernel.PROPERTIES.register("only what is known not to have run is sent again")
def sent_again() -> None:
    for repeatable in (True, False):
        for not_run in (True, False):
            made = paced([4, 4])
            call = msgspec.structs.replace(kernel.call(0), repeatable=repeatable)
            grant = made.offer(call, NOW)
            assert isinstance(grant, verdicts.Grant)
            retry = made.retry(grant, NOW, known_not_run=not_run)
            assert (retry is not None) is (repeatable or not_run)


@kernel.PROPERTIES.register("no call is sent to more upstreams than it may be")
def max_attempts() -> None:
    made = paced([4, 4, 4])
    call = msgspec.structs.replace(kernel.call(0), max_attempts=2)
    grant = made.offer(call, NOW)
    assert isinstance(grant, verdicts.Grant)
    second = made.retry(grant, NOW, known_not_run=True)
    assert second is not None
    assert made.retry(second, NOW, known_not_run=True) is None
    assert made.hedge(second, ids.later(NOW, 5.0)) is None


@kernel.PROPERTIES.register("a saturated service learns that it is crowded")
def saturated() -> None:
    @kernel.SETTINGS
    @hypothesis.given(strategies.sampled_from([1.0, 1.7]))
    def check(slowdown: float) -> None:
        made = paced([4] * 8)
        now = NOW
        number = 0
        grants: list[verdicts.Grant] = []
        for _ in range(100):
            while isinstance(
                grant := made.offer(kernel.call(number), now), verdicts.Grant
            ):
                grants.append(grant)
                number += 1
            now = ids.later(now, 0.1)
            for grant in grants:
                made.forget(grant.call.id)
            full = {u.spec.id for u in made.pool.usable_order if u.outstanding == 4}
            for grant in grants:
                upstream = grant.upstream
                running = 4 if upstream.spec.id in full else 3
                times = slowdown if running == 4 else 1.0
                ended = ids.later(grant.sent_at, 0.1 * times)
                report = upstreams.LoadReport(running - 1, 0)
                made.finish(grant, upstreams.Result.ANSWERED, report, ended)
            grants = [
                settled.verdict
                for settled in made.settle(now)
                if isinstance(settled.verdict, verdicts.Grant)
            ]
            for waiting_call in list(made.queue):
                made.withdraw(waiting_call.id)
        crowded = made.pool.contention.slowdown() >= contention.CONTENTION_RATIO
        assert crowded is (slowdown > 1.0)

    check()


@kernel.PROPERTIES.register("a call that can be in time goes before one that can't")
def in_time_first() -> None:
    made = paced([1])
    grant = made.offer(kernel.call(0), NOW)
    assert isinstance(grant, verdicts.Grant)
    late = msgspec.structs.replace(kernel.call(1), late=True)
    assert isinstance(made.offer(late, NOW), verdicts.Waiting)
    assert isinstance(made.offer(kernel.call(2), NOW), verdicts.Waiting)
    # But never before a call of a more urgent priority.
    urgent = msgspec.structs.replace(kernel.call(3, rank=0), late=True)
    assert isinstance(made.offer(urgent, NOW), verdicts.Waiting)
    order = []
    for _ in range(3):
        (settled,) = made.finish(grant, upstreams.Result.ANSWERED, None, NOW)
        assert isinstance(settled.verdict, verdicts.Grant)
        grant = settled.verdict
        order.append(grant.call.id)
    assert order == ["c3", "c2", "c1"]


@kernel.PROPERTIES.register("a refusal names the rule that decided")
def rule_named() -> None:
    rules = outcomes.RefusalRule
    made = paced([1])
    grant = made.offer(kernel.call(0), NOW)
    assert isinstance(grant, verdicts.Grant)
    hopeless = made.offer(kernel.call(1, deadline=0.001), NOW)
    assert isinstance(hopeless, outcomes.Refusal)
    assert hopeless.rule is rules.DEADLINE
    until = ids.later(NOW, 0.1)
    call = msgspec.structs.replace(kernel.call(2), wait_until=until)
    assert isinstance(made.offer(call, NOW), verdicts.Waiting)
    (given_up,) = made.refuse_hopeless(until)
    assert isinstance(given_up.verdict, outcomes.Refusal)
    assert given_up.verdict.rule is rules.WAIT_OVER
    # One call ends each second: a call behind another waits for longer than that.
    now = NOW
    for number in range(3, 8):
        now = ids.later(now, 1.0)
        made.finish(grant, upstreams.Result.ANSWERED, None, now)
        grant = made.offer(kernel.call(number), now)
        assert isinstance(grant, verdicts.Grant)
    assert isinstance(made.offer(kernel.call(8), now), verdicts.Waiting)
    soon = msgspec.structs.replace(kernel.call(9), wait_until=ids.later(now, 0.1))
    too_long = made.offer(soon, now)
    assert isinstance(too_long, outcomes.Refusal)
    assert too_long.rule is rules.QUEUE_TOO_LONG
    assert too_long.outcome is outcomes.Outcome.NOT_RUN


@kernel.PROPERTIES.register("a call that waits too long for room is refused")
def waits_too_long() -> None:
    made = paced([1])
    for number in range(2):
        made.offer(kernel.call(number), NOW)
    until = ids.later(NOW, 0.1)
    call = msgspec.structs.replace(kernel.call(9), wait_until=until)
    assert isinstance(made.offer(call, NOW), verdicts.Waiting)
    assert made.refuse_hopeless(ids.later(NOW, 0.05)) == []
    (settled,) = made.refuse_hopeless(ids.later(NOW, 0.1))
    assert settled.call is call


@kernel.PROPERTIES.register("of equals the own zone's upstreams are taken first")
def own_zone_first() -> None:
    """Play 300 upstreams in three zones; calls come until all slots are in use."""
    made = paced([1])
    specs = [
        upstreams.UpstreamSpec(
            ids.UpstreamId(f"v{n}"),
            kernel.ZONES[n % len(kernel.ZONES)],
            ids.Address(""),
            1,
            4,
        )
        for n in range(300)
    ]
    made.pool.set_listed(specs, NOW)
    own = made.pool.local_member.zone
    own_room = sum(4 for spec in specs if spec.zone == own)
    zones = []
    for number in range(2 * own_room):
        # Work is so long that to cross zones is within what counts as equal.
        call = msgspec.structs.replace(kernel.call(number), cross_zone_s=0.0002)
        grant = made.offer(call, NOW)
        assert isinstance(grant, verdicts.Grant), (number, grant)
        zones.append(grant.upstream.spec.zone)
    # Half full, an upstream is as good as an empty one.
    first = zones[: own_room // 2]
    assert first.count(own) > 0.95 * len(first), first.count(own)
    # A full zone sends its calls elsewhere and lets none wait.
    assert zones.count(own) < len(zones)
