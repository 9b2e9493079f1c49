"""Properties of which gateways callers are sent to."""

import math
import typing

import hypothesis
from hypothesis import strategies

from features.steps import kernel
from spindlenotch import ids
from spindlenotch.gateway.cluster import active_set, demand_meter
from spindlenotch.peers import workload

ZONES = kernel.ZONES
STRONG = active_set.capacity_of(2.0, 200.0)
WEAK = active_set.capacity_of(0.5, 10.0)
capacities = strategies.sampled_from([STRONG, WEAK, workload.NO_WORK])
works = strategies.builds(
    workload.Work, strategies.floats(0, 5_000), strategies.floats(0, 1e8)
)


def candidate(number: int, capacity: workload.Work) -> active_set.Candidate:
    """Return a gateway; the zones take turns."""
    zone = ZONES[number % len(ZONES)]
    return active_set.Candidate(ids.HostId(f"g{number}"), zone, capacity)


def load(chosen: list[active_set.Candidate], demand: workload.Work) -> float:
    """Return the load of the weakest where callers spread evenly; 1.0 is all."""
    return max(active_set._hosts_needed(one, demand) for one in chosen) / len(chosen)


@kernel.PROPERTIES.register("callers are sent to the strongest gateways of each zone")
def strongest() -> None:
    @kernel.SETTINGS
    @hypothesis.given(
        strategies.lists(capacities, min_size=1, max_size=20),
        strategies.integers(1, 3),
        strategies.randoms(use_true_random=False),
    )
    def check(given: list[workload.Work], least: int, order: typing.Any) -> None:
        found = [candidate(n, capacity) for n, capacity in enumerate(given)]
        chosen = active_set.choose(found, workload.NO_WORK, least)
        for zone in ZONES:
            of_zone = [c for c in found if c.zone == zone]
            taken = [c for c in chosen if c.zone == zone]
            assert len(taken) == min(least, len(of_zone))
            weakest = min((c.capacity.requests_per_s for c in taken), default=0.0)
            for one in of_zone:
                assert one in taken or one.capacity.requests_per_s <= weakest
        order.shuffle(found)
        again = active_set.choose(found, workload.NO_WORK, least)
        assert {c.host for c in again} == {c.host for c in chosen}

    check()


@kernel.PROPERTIES.register("more gateways step in where the weakest is overloaded")
def step_in() -> None:
    @kernel.SETTINGS
    @hypothesis.given(strategies.lists(capacities, min_size=1, max_size=20), works)
    def check(given: list[workload.Work], demand: workload.Work) -> None:
        found = [candidate(n, capacity) for n, capacity in enumerate(given)]
        chosen = active_set.choose(found, demand, 1)
        least = active_set.choose(found, workload.NO_WORK, 1)
        assert {c.host for c in least} <= {c.host for c in chosen}
        if len(chosen) > len(least):
            assert load(least, demand) > 1.0
            assert load(chosen, demand) < load(least, demand)
        # No other number of the strongest carries it better.
        if load(chosen, demand) > 1.0:
            everyone = active_set.choose(found, workload.NO_WORK, len(found))
            assert load(chosen, demand) <= load(everyone, demand)

    check()
    weak = [candidate(n, WEAK) for n in range(30)]
    demand = workload.Work(0.0, 6 * WEAK.bytes_per_s)
    assert len(active_set.choose(weak, demand, 1)) == 6
    strong = [*weak, candidate(30, STRONG)]
    assert candidate(30, STRONG) in active_set.choose(strong, demand, 1)


@kernel.PROPERTIES.register("what callers ask rises at once and falls late")
def rises_and_falls() -> None:
    meter = demand_meter.DemandMeter()
    now = kernel.NOW
    meter.update(now)
    for _ in range(100):
        meter.count(1_000)
    now = ids.later(now, demand_meter.INTERVAL_S)
    assert meter.update(now)
    assert meter.reported == workload.Work(100.0, 100_000.0)
    for _ in range(demand_meter.INTERVALS_KEPT - 1):
        now = ids.later(now, demand_meter.INTERVAL_S)
        assert not meter.update(now)
    assert meter.update(ids.later(now, demand_meter.INTERVAL_S))
    assert math.isclose(meter.reported.requests_per_s, 0.0)


@kernel.PROPERTIES.register("more gateways step in where some refuse for lack of time")
def refusals_make_more_active() -> None:
    fleet = [candidate(n, STRONG) for n in range(9)]
    expected_per_s = STRONG.requests_per_s
    served = int(expected_per_s / 10)
    meter = demand_meter.DemandMeter(expected_per_s)
    now = kernel.NOW
    meter.update(now)
    for number in range(2 * served):
        meter.count(0)
        if number >= served:
            meter.count_refused()
    now = ids.later(now, demand_meter.INTERVAL_S)
    assert meter.update(now)
    assert len(active_set.choose(fleet, meter.reported, 1)) >= 2
    for _ in range(60):
        for _ in range(served):
            meter.count(0)
        now = ids.later(now, demand_meter.INTERVAL_S)
        meter.update(now)
    assert meter.reported.requests_per_s <= 1.3 * served


@kernel.PROPERTIES.register("each gateway is weighed once where all are too few")
def weighed_once() -> None:
    looks: list[active_set.Candidate] = []
    weigh = active_set._hosts_needed

    def count(one: active_set.Candidate, demand: workload.Work) -> float:
        looks.append(one)
        return weigh(one, demand)

    fleet = [candidate(n, STRONG if n % 20 == 0 else WEAK) for n in range(300)]
    active_set.choose(fleet, workload.NO_WORK, 1)
    active_set._hosts_needed = count
    try:
        everyone = active_set.choose(fleet, workload.Work(1e6, 1e9), 1)
    finally:
        active_set._hosts_needed = weigh
    assert len(everyone) == len(fleet)
    # Each zone's strongest are among them; a second look costs nothing much.
    assert len(looks) <= 2 * len(fleet)
