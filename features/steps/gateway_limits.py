"""
Upstreams that name a limit: what all gateways together send them, in virtual time.

Each gateway is a pool of the product that sends to every such upstream as often as it
may. What one hears by an answer reaches the others a little later. Gateways end and
start anew, stand still, and for some seconds believe that others share the limits.
"""

import collections
import dataclasses
import math
import random
import typing
from collections import abc

from features.steps import kernel
from features.support import limit_sum, rate_pools
from spindlenotch import ids
from spindlenotch.gateway.cluster import limit_news
from spindlenotch.kernel import (
    backpressure,
    ownership,
    shared_rate,
    upstream_pool,
    upstreams,
)
from spindlenotch_platform import signal_headers

NOW = kernel.NOW
ZONES = rate_pools.ZONE, ids.ZoneName("other")
UPSTREAMS = 8
POLL_S = 0.02
#: Seconds until an answer comes, and until a peer has its news.
ANSWER_S, NEWS_S = 0.06, 0.05
PLAY_S = 24.0
#: Views that differ do so for less than a window.
VIEWS_DIFFER_S = 3.0
Limit = abc.Callable[[float], float | None]


@dataclasses.dataclass
class Story:
    """
    What happens: to gateways by number, and to the limit, by the time in seconds.

    ``sees`` returns the numbers of those that a gateway takes to share limits.
    """

    count: int
    limit: Limit
    is_away: abc.Callable[[int, float], bool] = lambda number, at: False
    sees: abc.Callable[[int, float], abc.Iterable[int]] | None = None
    stands_still: tuple[float, float] = (math.inf, math.inf)
    seconds: float = PLAY_S


class Answer(typing.NamedTuple):
    """An answer that is due: of which request, from which upstream, to whom."""

    at: float
    number: int
    call: ids.CallId
    upstream: ids.UpstreamId
    sent_at: float


class World:
    """
    The gateways of a story and what upstreams have read.

    What gateways sent that had not heard of the limit is left out: they had no way to.
    """

    def __init__(self, story: Story) -> None:
        self.story = story
        self.pools: list[upstream_pool.Pool | None] = [None] * story.count
        self.read_at: dict[ids.UpstreamId, list[float]] = collections.defaultdict(list)
        self._answers: collections.deque[Answer] = collections.deque()
        self._news: collections.deque[tuple[float, ids.UpstreamId, float | None]] = (
            collections.deque()
        )
        self._rng = random.Random(story.count)
        self._calls = 0

    def run(self) -> "World":
        """Play the story."""
        for step in range(int(self.story.seconds / POLL_S)):
            at = step * POLL_S
            self._deliver(at)
            numbers = list(range(self.story.count))
            self._rng.shuffle(numbers)
            for number in numbers:
                self._turn(number, at)
        return self

    def _turn(self, number: int, at: float) -> None:
        if self.story.is_away(number, at):
            self.pools[number] = None
            return
        pool = self.pools[number]
        if pool is None:
            pool = self.pools[number] = self._start(number)
        now = ids.later(NOW, at)
        pool.set_rate_view(self._view(number, at), now)
        for upstream in pool.usable_order:
            if not self._stands_still(at):
                # These work: a probe told of them a moment ago.
                upstream.liveness.reported(ids.later(now, -ANSWER_S))
            if upstream.may_take(now):
                self._send(number, upstream, at)

    def _start(self, number: int) -> upstream_pool.Pool:
        member = ownership.Member(_zone(number), rate_pools.host(number))
        made = upstream_pool.Pool(rate_pools.policy(), member, self._rng)
        made.set_listed(rate_pools.specs(UPSTREAMS, cold_s=0.0), NOW)
        return made

    def _view(self, number: int, at: float) -> shared_rate.View:
        sees = self.story.sees
        seen = range(self.story.count) if sees is None else sees(number, at)
        members = [ownership.Member(_zone(n), rate_pools.host(n)) for n in seen]
        return shared_rate.View(tuple(sorted(members)), self.story.count)

    def _stands_still(self, at: float) -> bool:
        since, until = self.story.stands_still
        return since <= at < until

    def _send(self, number: int, upstream: upstreams.Upstream, at: float) -> None:
        self._calls += 1
        call = ids.CallId(f"{self._calls}")
        upstream.sent(call, ids.later(NOW, at))
        read_at = self.story.stands_still[1] if self._stands_still(at) else at
        is_told = upstream.backpressure.limit.per_s is not None
        if is_told or self.story.limit(at) is None:
            self.read_at[upstream.spec.id].append(read_at)
        answer = Answer(read_at + ANSWER_S, number, call, upstream.spec.id, at)
        self._answers.append(answer)

    def _deliver(self, at: float) -> None:
        """Let the gateways have the answers and the news that are due."""
        due = [one for one in self._answers if one.at <= at]
        self._answers = collections.deque(a for a in self._answers if a.at > at)
        for answer in due:
            self._end(answer, at)
        while self._news and self._news[0][0] + NEWS_S <= at:
            told_at, upstream_id, per_s = self._news.popleft()
            for pool in filter(None, self.pools):
                limit = pool.upstream_by_id[upstream_id].backpressure.limit
                limit.update(per_s, ids.later(NOW, told_at), ids.later(NOW, at))

    def _end(self, answer: Answer, at: float) -> None:
        pool = self.pools[answer.number]
        if pool is None:
            return
        now = ids.later(NOW, at)
        upstream = pool.upstream_by_id[answer.upstream]
        upstream.ended(answer.call, upstreams.Result.ANSWERED, ANSWER_S, now)
        per_s = self.story.limit(at - ANSWER_S)
        upstream.backpressure.record_signals(
            backpressure.Signals(per_s),
            sent_at=ids.later(NOW, answer.sent_at),
            is_whole=True,
            now=now,
        )
        self._news.append((at, answer.upstream, per_s))


def _zone(number: int) -> ids.ZoneName:
    return ZONES[number % len(ZONES)]


def assert_kept(world: World, least_share: float = 0.0) -> None:
    """Check what each upstream has read, and that it is so much of what it takes."""
    for upstream, read_at in world.read_at.items():
        story = world.story
        for at in sorted(read_at):
            limits = [story.limit(at + 0.1 * n) for n in range(41)]
            since = limit_sum.TOUCH_S
            if at < since or None in limits or story.limit(at - since) is None:
                continue
            count = sum(at <= one <= at + limit_sum.WINDOW_S for one in read_at)
            most = max(limit or 0.0 for limit in limits)
            allowed = limit_sum.OVERSHOOT * limit_sum.WINDOW_S * most + limit_sum.SLACK
            assert count <= allowed, (upstream, story.count, at, count, allowed)
        story = world.story
        takes = (
            sum(story.limit(0.1 * n) or 0.0 for n in range(int(story.seconds * 10)))
            / 10
        )
        assert len(read_at) >= least_share * takes, (upstream, len(read_at), takes)


def steady(at: float) -> float | None:
    """Name the same limit all the time."""
    return 4.4


def moving(at: float) -> float | None:
    """Name a limit that moves with each answer, sinks, and rises again."""
    base = 8.0 if at < 8.0 or at > 16.0 else 2.0
    return base + 0.3 * math.sin(37.0 * at)


@kernel.PROPERTIES.register("upstreams get the limits that they name, and no more")
def kept() -> None:
    for count in (1, 2, 3, 6, 15, 40):
        assert_kept(World(Story(count, steady)).run(), least_share=0.7)
        assert_kept(World(Story(count, moving)).run(), least_share=0.5)


@kernel.PROPERTIES.register("limits hold while gateways end, start and stand still")
def ends() -> None:
    for count in (2, 3, 6, 15):

        def in_turn(number: int, at: float, count: int = count) -> bool:
            return int(at / 2.0) % count == number

        def sees(number: int, at: float, count: int = count) -> list[int]:
            # News of an end come a second late, those of a start at once.
            return [n for n in range(count) if not in_turn(n, max(0.0, at - 1.0))]

        assert_kept(World(Story(count, steady, in_turn, sees)).run())
        # All are killed at once.
        assert_kept(World(Story(count, steady, lambda n, at: 9.0 < at < 10.0)).run())


@kernel.PROPERTIES.register("limits hold while views of who shares them differ")
def differ() -> None:
    for count in (3, 6, 15):

        def sees(number: int, at: float, count: int = count) -> list[int]:
            # Half of them take two others to be gone that are not, for a while.
            is_wrong = number % 2 and at % 8.0 < VIEWS_DIFFER_S
            return list(range(2, count)) if is_wrong else list(range(count))

        assert_kept(World(Story(count, steady, sees=sees)).run())


def one_holder(at: float) -> float | None:
    """Name a limit of which one process alone has all."""
    return 1.95


@kernel.PROPERTIES.register("who begins to hold a limit waits for what was sent before")
def taken_over() -> None:
    def sees(number: int, at: float) -> range:
        # Again and again each pair takes the others to be gone, which are not.
        first = number - number % 2
        return range(first, first + 2) if at % 8.0 < VIEWS_DIFFER_S else range(6)

    assert_kept(World(Story(6, one_holder, sees=sees)).run())


@kernel.PROPERTIES.register("limits hold where upstreams stand still, and read on")
def stand_still() -> None:
    for count in (1, 3, 15):
        story = Story(count, steady, stands_still=(6.0, 14.0))
        assert_kept(World(story).run())


@kernel.PROPERTIES.register("a side that sees too few others sends a small part")
def minority() -> None:
    for count in (2, 7, 15, 60):
        few = count // 2

        def sees(number: int, at: float, few: int = few, count: int = count) -> range:
            return range(0) if number < few else range(few, count)

        # Each of them sends once in half a minute where there are sixty.
        assert_kept(World(Story(count, steady, sees=sees, seconds=40.0)).run())


@kernel.PROPERTIES.register("an upstream that names no limit any more is free at once")
def ended() -> None:
    def until_ten(at: float) -> float | None:
        return 2.0 if at < 10.0 else None

    world = World(Story(6, until_ten)).run()
    for read_at in world.read_at.values():
        assert sum(11.0 < at < 12.0 for at in read_at) > 50, "it is not used again"


@kernel.PROPERTIES.register("an answer from before a limit does not end it")
def order() -> None:
    participant = shared_rate.Participant(
        ids.UpstreamId("u"), ZONES[0], ids.HostId("g")
    )
    said = backpressure.Backpressure(participant)
    at = [ids.later(NOW, 0.1 * n) for n in range(6)]

    def record_signals(signals: backpressure.Signals, sent: int, now: int) -> None:
        said.record_signals(signals, sent_at=at[sent], is_whole=True, now=at[now])

    record_signals(backpressure.Signals(4.0), sent=0, now=2)
    record_signals(backpressure.Signals(), sent=1, now=3)
    assert said.limit.per_s == 4.0
    # What a peer heard earlier changes nothing; a refusal says nothing by its silence.
    said.limit.update(None, at[1], at[3])
    said.record_signals(
        backpressure.Signals(), sent_at=at[3], is_whole=False, now=at[4]
    )
    assert said.limit.per_s == 4.0
    record_signals(backpressure.Signals(), sent=3, now=4)
    assert said.limit.per_s is None


@kernel.PROPERTIES.register("what an upstream said holds when its entry comes back")
def relisted() -> None:
    made = rate_pools.pool_of(0)
    upstream_id = ids.UpstreamId("u299")
    limit = made.upstream_by_id[upstream_id].backpressure.limit
    limit.record_response(4.0, NOW)
    listed = rate_pools.specs(rate_pools.UPSTREAMS, 0.0)
    now = ids.later(NOW, 1.0)
    made.set_listed([one for one in listed if one.id != upstream_id], now)
    assert upstream_id not in made.upstream_by_id
    made.set_listed(listed, ids.later(now, 1.0))
    assert made.upstream_by_id[upstream_id].backpressure.limit.per_s == 4.0


@kernel.PROPERTIES.register("a limit is told on by who heard it, and that it ended")
def told_on() -> None:
    made = rate_pools.pool_of(0)
    upstream = made.upstream_by_id[ids.UpstreamId("u299")]
    limit, news = upstream.backpressure.limit, limit_news.LimitAnnouncements()

    def due(after_s: float) -> bool:
        return bool(news.due(made.usable_order, ids.later(NOW, after_s)))

    limit.update(4.0, ids.later(NOW, 0.1), ids.later(NOW, 0.1))
    assert not due(0.1), "a peer has told it"
    limit.record_response(4.0, ids.later(NOW, 0.2))
    # Where there was nothing to tell it is looked at now and then.
    assert not due(0.2) and due(0.35) and not due(0.4)
    limit.record_response(4.0, ids.later(NOW, 0.5))
    assert not due(0.5) and due(0.58)
    limit.record_response(None, ids.later(NOW, 0.6))
    # Repeated though nothing more is heard: nobody else may ever hear it.
    assert due(0.6) and not due(0.7) and due(0.9)
    limit.record_response(None, ids.later(NOW, 2.0))
    assert not due(2.0), "long ended"


@kernel.PROPERTIES.register("limits are read where they mean something")
def read() -> None:
    for text, expected in (
        ("4.4", 4.4),
        (" 7 ", 7.0),
        ("0", 0.0),
        (".5", 0.5),
        ("-1", None),
        ("soon", None),
        ("nan", None),
        ("inf", None),
        ("1e3", None),
        ("4,4", None),
        ("", None),
        ("9" * 40, None),
        ("9999999", None),
    ):
        for name in ("Server-Limit", "X-Spindlenotch-Server-Limit"):
            said = signal_headers.read(200, {name: text})
            assert said.limit_per_s == expected, text
            assert bool(said.unreadable) == (expected is None), text
    assert signal_headers.read(200, {}) == backpressure.Signals()
