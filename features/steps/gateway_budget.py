"""
The budget of retries and hedges, summed over a fleet each of whose gateways uses it up.

Plays the arrivals of a day on which the sum was broken: 739 requests a second to one
service, on 60 or 117 gateways, which all retry as often as they may. Gateways are
killed, take over from each other or are cut off meanwhile. Each is a budget of the
product; the sum is counted as the users' rules count it.
"""

import collections
import dataclasses
import random
from collections import abc

import msgspec

from features.steps import kernel
from features.support import recorded_settings, repeat_sum
from spindlenotch import ids
from spindlenotch.gateway import service_defaults, settings
from spindlenotch.gateway.cluster import fleet_size
from spindlenotch.gateway.source import routing
from spindlenotch.kernel import budgets

#: What the users allow the whole fleet in any ten seconds.
ALLOWED_SHARE = 0.2
ALLOWED_RESERVE = 188
WINDOW_S = 10.0
REQUESTS_PER_S = 739
STEP_S = 0.1
PLAYED_S = 50.0
#: From here on everything is retried; until then nothing is.
RETRIES_FROM_S = 15.0
#: Since when upstreams stand still, and when they go on; in between all are killed.
STILL_FROM_S, KILLED_AT_S, STILL_UNTIL_S = 18.0, 28.0, 42.0
#: For how long upstreams stand still that do so again and again.
STILL_FOR_S = 7.0
#: Seconds until it is known what an upstream has read that works: a probe's period,
#: and what its report takes.
KNOWN_AFTER_S = 0.6
#: The part of the retries that is sent even so.
LEAST_OF_AT_ONCE = 0.95
#: Gateways of the large and of the middle fleet.
FLEETS = (60, 117)
SPEC = routing.ServiceSpec(name=ids.ServiceName("s"), health_path="/", connections=1)
CONFIG = msgspec.structs.replace(
    recorded_settings.bare_gateway_values(),
    extra_share=ALLOWED_SHARE,
    extra_reserve=float(ALLOWED_RESERVE),
    extra_window_s=WINDOW_S,
)


IN_REGIONS = msgspec.structs.replace(
    CONFIG,
    region_by_zone={zone: ids.RegionName(f"region-{zone}") for zone in kernel.ZONES},
)


class Gateway:
    """One gateway's budget and its view of the fleet."""

    def __init__(self, config: settings.GatewaySettings = CONFIG) -> None:
        self.config = config
        self.size = fleet_size.FleetSize()
        policy = service_defaults.policy(SPEC, (), config, self.size)
        self.budgets = policy.extra.create()
        #: When each of the extras that are under way arrives.
        self.arrivals: collections.deque[float] = collections.deque()

    def look(self, seen: int, now: ids.Instant) -> None:
        """See this many gateways."""
        self.size.update(seen, now, has_others=True)
        reserve = service_defaults.extra_reserve(self.config, self.size)
        self.budgets.set_reserve(reserve)

    def send_again(self, at: float, arrives_at: float, now: ids.Instant) -> bool:
        """Send one extra if the budget allows it; tell whether it does."""
        if not self.budgets.retries.spend(now):
            return False
        if arrives_at <= at:
            self.budgets.settle(now)
        else:
            self.arrivals.append(arrives_at)
        return True

    def hear(self, at: float, now: ids.Instant) -> None:
        """Take in which extras have arrived by now."""
        while self.arrivals and self.arrivals[0] <= at:
            self.arrivals.popleft()
            self.budgets.settle(now)


@dataclasses.dataclass(slots=True)
class Played:
    """When requests came, and when one was sent again."""

    requests_at: list[float]
    extras_at: list[float]

    def most_beyond(self) -> float:
        """Return the extras of the worst window less those that its requests earn."""
        return repeat_sum.worst(
            self.requests_at, self.extras_at, share=ALLOWED_SHARE, window_s=WINDOW_S
        ).beyond


class Story:
    """What happens to a fleet; this one just serves."""

    config = CONFIG

    def __init__(self, count: int) -> None:
        self.count = count

    def serving(self, at: float) -> abc.Sequence[int]:
        """Return which gateways get requests."""
        return range(self.count)

    def seen(self, number: int, at: float) -> int:
        """Return how many gateways one sees."""
        return self.count

    def killed(self, at: float) -> abc.Sequence[int]:
        """Return which gateways are started anew."""
        return ()

    def arrives_at(self, at: float) -> float:
        """Return when an extra that is sent at ``at`` arrives."""
        return at


class AllKilled(Story):
    """All processes are killed once their budgets are used up, and start again."""

    def killed(self, at: float) -> abc.Sequence[int]:
        """Return which gateways are started anew."""
        return range(self.count) if abs(at - 20.0) < STEP_S / 2 else ()


class KilledInTurn(Story):
    """One gateway after the other is started anew, three a second."""

    def killed(self, at: float) -> abc.Sequence[int]:
        """Return which gateways are started anew."""
        number = round(at / STEP_S)
        return (number // 3 % self.count,) if number % 3 == 0 else ()


class TakeOver(Story):
    """Half of the fleet serves; the other takes over just when retries begin."""

    def serving(self, at: float) -> abc.Sequence[int]:
        """Return which gateways get requests."""
        half = self.count // 2
        is_first = at < RETRIES_FROM_S + 1.0
        return range(half) if is_first else range(half, self.count)


class InTurn(Story):
    """A third serves for some seconds, then the next."""

    def serving(self, at: float) -> abc.Sequence[int]:
        """Return which gateways get requests."""
        third = self.count // 3
        first = int(at / 4.0) % 3 * third
        return range(first, first + third)


class CutOff(Story):
    """A third of the gateways is cut off, each alone, and still gets requests."""

    def seen(self, number: int, at: float) -> int:
        """Return how many gateways one sees."""
        is_cut = number % 3 == 0 and at > 10.0
        return 1 if is_cut else self.count


class CutOffAndKilled(CutOff):
    """Those that are cut off are started anew meanwhile, and never see the others."""

    def killed(self, at: float) -> abc.Sequence[int]:
        """Return which gateways are started anew."""
        return range(0, self.count, 3) if abs(at - 20.0) < STEP_S / 2 else ()


class Grows(Story):
    """Gateways see the fleet by and by; most of it is there from the start."""

    def seen(self, number: int, at: float) -> int:
        """Return how many gateways one sees."""
        return min(self.count, 1 + int(at * self.count / 3.0))


class InRegions(AllKilled):
    """Gateways see those of their own region, a third of all, before and after."""

    config = IN_REGIONS

    def seen(self, number: int, at: float) -> int:
        """Return how many gateways one sees."""
        return self.count // 3


class StandStill(Story):
    """Upstreams stand still for two windows and more, and then read everything."""

    def arrives_at(self, at: float) -> float:
        """Return when an extra that is sent at ``at`` arrives."""
        return max(at, STILL_UNTIL_S) if at >= STILL_FROM_S else at


class StandStillWhileKilled(StandStill):
    """The same, and all processes are killed and start again meanwhile."""

    def killed(self, at: float) -> abc.Sequence[int]:
        """Return which gateways are started anew."""
        return range(self.count) if abs(at - KILLED_AT_S) < STEP_S / 2 else ()


class StandStillInTurn(Story):
    """Upstreams stand still again and again, each time for less than a window."""

    def arrives_at(self, at: float) -> float:
        """Return when an extra that is sent at ``at`` arrives."""
        return at - at % STILL_FOR_S + STILL_FOR_S


class KnownSoon(Story):
    """Upstreams work, and it is known half a second later what they have read."""

    def arrives_at(self, at: float) -> float:
        """Return when an extra that is sent at ``at`` arrives."""
        return at + KNOWN_AFTER_S


LATE_STORIES = (KnownSoon, StandStill, StandStillWhileKilled, StandStillInTurn)
STORIES = (
    Story,
    AllKilled,
    KilledInTurn,
    TakeOver,
    InTurn,
    CutOff,
    CutOffAndKilled,
    Grows,
    InRegions,
)


def play(story: Story) -> Played:
    """Play a story: every gateway sends again whenever its budget lets it."""
    rng = random.Random(story.count)
    gateways = [Gateway(story.config) for _ in range(story.count)]
    played = Played([], [])
    for step in range(int(PLAYED_S / STEP_S)):
        at = step * STEP_S
        now = ids.later(kernel.NOW, at)
        for number in story.killed(at):
            gateways[number] = Gateway(story.config)
        for number, gateway in enumerate(gateways):
            gateway.look(story.seen(number, at), now)
            gateway.hear(at, now)
        serving = story.serving(at)
        for _ in range(round(REQUESTS_PER_S * STEP_S)):
            gateway = gateways[rng.choice(serving)]
            gateway.budgets.earn(now)
            played.requests_at.append(at)
            arrives_at = story.arrives_at(at)
            while at >= RETRIES_FROM_S and gateway.send_again(at, arrives_at, now):
                played.extras_at.append(arrives_at)
    played.extras_at.sort()
    return played


@kernel.PROPERTIES.register("a fleet's retries keep to what all may send together")
def whole_fleet() -> None:
    _check(STORIES)


@kernel.PROPERTIES.register("a fleet's retries keep to it where they arrive late")
def late() -> None:
    _check(LATE_STORIES)


@kernel.PROPERTIES.register("retries that are known to arrive are not held back")
def not_held_back() -> None:
    at_once, soon = (len(play(made(60)).extras_at) for made in (Story, KnownSoon))
    assert soon >= LEAST_OF_AT_ONCE * at_once, (soon, at_once)


def _check(stories: abc.Iterable[type[Story]]) -> None:
    for count in FLEETS:
        for made in stories:
            beyond = play(made(count)).most_beyond()
            assert beyond <= ALLOWED_RESERVE, (made.__name__, count, beyond)


@kernel.PROPERTIES.register("a low rate of requests still earns a retry")
def low_rate() -> None:
    gateway = Gateway()
    # So large that a gateway's part of the reserve is less than one retry.
    gateway.look(300, kernel.NOW)
    now = kernel.NOW
    for _ in range(10):
        now = ids.later(now, 2.0)
        gateway.budgets.earn(now)
    assert gateway.budgets.retries.spend(now)
    # It is not saved up for a burst.
    assert not gateway.budgets.retries.spend(now)


@kernel.PROPERTIES.register("the size of the fleet is the largest of the last minute")
def largest() -> None:
    size = fleet_size.FleetSize()
    assert not size.is_alone
    found = []
    for at, seen in ((0, 1), (1, 117), (30, 60), (50, 20), (61.5, 20), (91, 20)):
        size.update(seen, ids.later(kernel.NOW, at), has_others=True)
        assert size.is_alone == (seen == 1)
        found.append(size.largest)
    # What counted at the start of the last minute gives way to what came in it.
    assert found == [1, 117, 117, 117, 60, 20]


@kernel.PROPERTIES.register("a reserve that was used is whole again after a window")
def reserve_returns() -> None:
    budget = budgets.SlidingShareBudget(ALLOWED_SHARE, 5.0, WINDOW_S)
    now = kernel.NOW
    used = 0
    while budget.spend(now):
        used += 1
    assert used == 5
    for _ in range(used):
        budget.settle(now)
    # However few requests come meanwhile.
    now = ids.later(now, WINDOW_S + 0.1)
    assert budget.available(now)
    assert budget.balance == 5.0
