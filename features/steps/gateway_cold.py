"""
Cold upstreams: what all gateways together send them, and what one makes of the news.

Plays a fleet in virtual time in which every gateway sends to every cold upstream as
often as it may: 300 upstreams, a third of them cold, 5 and 15 gateways, of which half
believe for 3 s that others serve. Each gateway is a pool of the product.
"""

import collections
import dataclasses
import math
import random
from collections import abc

import hypothesis
import msgspec
from hypothesis import strategies

from features.steps import kernel
from features.support import rate_pools
from spindlenotch import ids
from spindlenotch.decisions import balancer
from spindlenotch.gateway.cluster import prober
from spindlenotch.kernel import (
    cold_start,
    outcomes,
    ownership,
    upstream_pool,
    upstreams,
)
from spindlenotch_platform import http_dialect

NOW = kernel.NOW
#: What an upstream may get in any one second at most: the rate, half of it more and
#: eight requests, by the users' bounds.
MOST_IN_A_SECOND = rate_pools.ALLOWED_PER_S * 1.5 + 8
VIEWS_DIFFER_S = 3.0
#: Between two tries of one gateway at one upstream.
POLL_S = 0.02
#: Seconds since a probe told of an upstream last.
TOLD_AGO_S = 0.25
#: One gateway stands still from here to there, and keeps its view until then.
FROZEN_FROM_S = 0.5
FROZEN_UNTIL_S = 2.0
#: For how long an upstream is cold that stands still from here to there, and when a
#: request is given up that got no answer.
STILL_COLD_S, STILL_FROM_S, STILL_UNTIL_S, GIVEN_UP_AFTER_S = 12.0, 2.0, 7.0, 0.4

Limits = abc.Callable[[upstream_pool.Pool, int, float], None]


@dataclasses.dataclass(slots=True)
class Played:
    """What all gateways together sent to one cold upstream."""

    sent_at: list[float]

    def most_in_a_second(self) -> int:
        """Return the largest number sent in any one second."""
        most = begin = 0
        for end, at in enumerate(self.sent_at):
            while self.sent_at[begin] <= at - 1.0:
                begin += 1
            most = max(most, end - begin + 1)
        return most


def views(count: int, number: int, at: float) -> tuple[ids.HostId, ...]:
    """Return who serves as a gateway sees it; half of them are wrong at first."""
    hosts = tuple(rate_pools.host(n) for n in range(count))
    if at < VIEWS_DIFFER_S and number % 2:
        return (*hosts[2:], rate_pools.host(count))
    return hosts


def by_owner(made: upstream_pool.Pool, count: int, at: float) -> None:
    """One gateway owns each cold upstream: the product's way."""
    number = int(made.local_member.host.removeprefix("g"))
    made.set_rate_view(rate_pools.view(*views(count, number, at)), ids.later(NOW, at))


def by_division(made: upstream_pool.Pool, count: int, at: float) -> None:
    """Every gateway has an equal part of the rate."""
    number = int(made.local_member.host.removeprefix("g"))
    for upstream in made.upstream_by_id.values():
        part = rate_pools.ALLOWED_PER_S / len(views(count, number, at))
        upstream.cold.limit(part, ids.later(NOW, at))


def play(count: int, share: Limits) -> dict[ids.UpstreamId, Played]:
    """Play the fleet; return what each cold upstream got."""
    pools = [rate_pools.pool_of(number) for number in range(count)]
    names = [
        u.id
        for u in rate_pools.specs(rate_pools.UPSTREAMS, rate_pools.COLD_S)
        if u.warming_up_until > NOW
    ]
    played = {name: Played([]) for name in names}
    rng = random.Random(count)
    for step in range(int(rate_pools.COLD_S / POLL_S)):
        at = step * POLL_S
        order = list(enumerate(pools))
        rng.shuffle(order)
        for number, made in order:
            if number == 0 and FROZEN_FROM_S <= at < FROZEN_UNTIL_S:
                continue
            share(made, count, at)
            send_all(made, played, at)
    return played


def send_all(
    made: upstream_pool.Pool, played: dict[ids.UpstreamId, Played], at: float
) -> None:
    """Let a gateway send to every cold upstream that it may send to."""
    now = ids.later(NOW, at)
    for name, one in played.items():
        upstream = made.upstream_by_id[name]
        # These upstreams work: a probe told of them a moment ago.
        upstream.liveness.reported(ids.later(now, -TOLD_AGO_S))
        if upstream.may_take(now):
            upstream.sent(ids.CallId(f"{name}-{at}"), now)
            one.sent_at.append(at)


def used_share(played: dict[ids.UpstreamId, Played]) -> float:
    """Return which share of what the cold upstreams bear they got."""
    sent = sum(len(one.sent_at) for one in played.values())
    return sent / (len(played) * rate_pools.ALLOWED_PER_S * rate_pools.COLD_S)


@kernel.PROPERTIES.register("cold upstreams get no more than they bear, by one owner")
def owned() -> None:
    for count in (5, 15):
        played = play(count, by_owner)
        most = max(one.most_in_a_second() for one in played.values())
        assert most <= MOST_IN_A_SECOND, (count, most)
        used = used_share(played)
        assert used >= 0.65, (count, used)


@kernel.PROPERTIES.register("a rate divided among many is hardly used")
def divided() -> None:
    # A fifteenth of the rate is a request in more seconds than they are cold.
    assert used_share(play(15, by_division)) < 0.5 * used_share(play(15, by_owner))


@kernel.PROPERTIES.register("what was not used of a cold upstream's rate is lost")
def no_bursts() -> None:
    @kernel.SETTINGS
    @hypothesis.given(
        strategies.lists(strategies.floats(0.0, 3.0), min_size=1, max_size=40),
        strategies.floats(0.5, 20.0),
    )
    def check(pauses: list[float], rate: float) -> None:
        cold = cold_start.ColdStart(ids.later(NOW, 1000.0))
        cold.limit(rate, NOW)
        now, sent_at = NOW, [NOW]
        for pause_s in pauses:
            now = ids.later(now, pause_s)
            if cold.may_send(now, now):
                cold.sent(now)
                sent_at.append(now)
        gaps = [b - a for a, b in zip(sent_at, sent_at[1:], strict=False)]
        assert all(gap >= 1.0 / rate - 1e-9 for gap in gaps), (rate, gaps)

    check()


@kernel.PROPERTIES.register("the latest health answer says whether one is cold")
def latest() -> None:
    cold = cold_start.ColdStart(NOW)
    cold.limit(rate_pools.ALLOWED_PER_S, NOW)
    cold.update(ids.later(NOW, 3.0), ids.later(NOW, 0.1))
    assert cold.is_cold(ids.later(NOW, 2.9))
    # An older answer that arrives later changes nothing.
    cold.update(NOW, NOW)
    assert cold.is_cold(ids.later(NOW, 2.9))
    cold.update(ids.later(NOW, 0.5), ids.later(NOW, 0.5))
    assert not cold.is_cold(ids.later(NOW, 0.6))
    # That the source listed it as cold before is no news.
    cold.listed(ids.later(NOW, 3.0), ids.later(NOW, 0.6))
    cold.listed(ids.later(NOW, 3.0), ids.later(NOW, 0.7))
    cold.update(ids.later(NOW, 0.8), ids.later(NOW, 0.8))
    cold.listed(ids.later(NOW, 3.0), ids.later(NOW, 0.9))
    assert not cold.is_cold(ids.later(NOW, 0.9))


@kernel.PROPERTIES.register("silence on coldness means warm only where cold ones speak")
def silence() -> None:
    silent = upstreams.LoadReport(1, 0)
    bounded = rate_pools.policy()
    unbounded = msgspec.structs.replace(bounded, cold_rate_per_s=None)
    assert prober.with_default_cold_s(silent, bounded).cold_s == 0.0
    assert prober.with_default_cold_s(silent, unbounded).cold_s is None
    cold = upstreams.LoadReport(1, 0, cold_s=2.5)
    assert prober.with_default_cold_s(cold, bounded) == cold
    for text, expected in (
        ("2500", 2.5),
        ("0", 0.0),
        (None, None),
        ("soon", None),
        ("-1", None),
        ("nan", None),
        ("1e99", None),
        ("9" * 100, None),
    ):
        assert http_dialect.read_cold_s(text) == expected, text


@kernel.PROPERTIES.register("an upstream that was away is cold until it says otherwise")
def away() -> None:
    for told, expected in ((False, True), (True, False)):
        made = rate_pools.pool_of(0)
        made.set_rate_view(rate_pools.view(rate_pools.host(0)), NOW)
        upstream = made.upstream_by_id[ids.UpstreamId("u299")]
        made.eject(upstream, "silent", NOW)
        now = ids.later(NOW, 2.0)
        upstream.tick(now)
        if told:
            made.reported(upstream, upstreams.LoadReport(0, 0, 1.0, 0.0), now)
        upstream.sent(ids.CallId("trial"), now)
        upstream.ended(ids.CallId("trial"), upstreams.Result.ANSWERED, 0.11, now)
        assert upstream.state is upstreams.State.ACTIVE
        assert upstream.cold.is_cold(now) is expected


@kernel.PROPERTIES.register("calls that only others may place are refused at once")
def refused_at_once() -> None:
    member = ownership.Member(rate_pools.ZONE, rate_pools.host(0))
    made = balancer.Balancer(rate_pools.policy(), member, random.Random(1))
    made.pool.set_listed([rate_pools.specs(3, 2.0)[0]], NOW)
    made.pool.set_rate_view(rate_pools.view(rate_pools.host(1)), NOW)
    call = msgspec.structs.replace(kernel.call(0), wait_until=ids.later(NOW, 1.0))
    verdict = made.offer(call, NOW)
    assert isinstance(verdict, outcomes.Refusal), verdict
    assert verdict.reason is outcomes.Reason.NO_UPSTREAM
    assert verdict.retry_at == ids.later(NOW, 2.0)
    made.pool.set_rate_view(rate_pools.view(rate_pools.host(0)), NOW)
    assert not isinstance(made.offer(call, NOW), outcomes.Refusal)


@kernel.PROPERTIES.register("each cold upstream has one owner among equal views")
def one_owner() -> None:
    hosts = [rate_pools.host(n) for n in range(7)]
    owned_by = collections.Counter(
        cold_start.owner(ids.UpstreamId(f"u{n}"), hosts) for n in range(700)
    )
    assert set(owned_by) == set(hosts)
    assert max(owned_by.values()) < 2 * min(owned_by.values()), owned_by
    assert cold_start.owner(ids.UpstreamId("u"), ()) is None
    rates = {
        cold_start.rate_per_s(ids.UpstreamId("u"), rate_pools.ALLOWED_PER_S, hosts, one)
        for one in hosts
    }
    assert rates == {0.0, rate_pools.ALLOWED_PER_S}
    unbounded = cold_start.rate_per_s(ids.UpstreamId("u"), None, (), hosts[0])
    assert unbounded == math.inf


@kernel.PROPERTIES.register("a cold upstream that stands still reads what it bears")
def stands_still() -> None:
    member = ownership.Member(rate_pools.ZONE, rate_pools.host(0))
    made = upstream_pool.Pool(rate_pools.policy(), member, random.Random(1))
    made.set_listed(rate_pools.specs(3, STILL_COLD_S), NOW)
    made.set_rate_view(rate_pools.view(rate_pools.host(0)), NOW)
    upstream = made.upstream_by_id[ids.UpstreamId("u0")]
    arrived_at: list[float] = []
    # What is under way, with the instant at which it is given up or answered.
    ends: collections.deque[tuple[float, ids.CallId]] = collections.deque()
    for step in range(int(STILL_COLD_S / POLL_S)):
        at = step * POLL_S
        now = ids.later(NOW, at)
        works = not STILL_FROM_S <= at < STILL_UNTIL_S
        while ends and ends[0][0] <= at:
            result = upstreams.Result.ANSWERED if works else upstreams.Result.CANCELLED
            upstream.ended(ends.popleft()[1], result, 0.11, now)
        if upstream.may_take(now):
            upstream.sent(ids.CallId(f"{step}"), now)
            ends.append((at + GIVEN_UP_AFTER_S, ids.CallId(f"{step}")))
            arrived_at.append(at if works else STILL_UNTIL_S)
    assert arrived_at[-1] > STILL_UNTIL_S, "it gets nothing any more"
    most = Played(sorted(arrived_at)).most_in_a_second()
    assert most <= MOST_IN_A_SECOND, most
