"""
Upstreams that say with their answers how much they will take; what must hold then.

They name a limit, ask gateways for rest, or say that they leave. Registers a fault and
a check for each. Who is told what is known from the answers that callers got.
"""

import asyncio
import bisect
import random
import time
from collections import abc

from features.support import limit_sum
from tools.soak_processes import checks, faults, ledger as ledgers, world as worlds

#: Seconds for which it goes on beyond a step's time: longer than any bound on it, and
#: than the time and the window of a limit.
BEYOND_S = 7.0
#: Limits that are named, in requests a second, and rests asked for, in seconds.
LIMITS_PER_S, RESTS_S = (1.0, 2.5, 4.4, 8.0), (1.0, 3.0)
#: Seconds of a rest that do not count, as requests are under way, and how many may come
#: after them.
UNDER_WAY_S, MOST_IN_REST = 0.5, 2
#: Seconds by which instants differ that are taken at both ends of a connection.
MARGIN_S = 0.1


def _some(world: worlds.World, rng: random.Random) -> list[str]:
    """Return one upstream, a few, or all of a service."""
    service = rng.choice(worlds.SERVICES)
    all_of_it = world.upstreams_of(service)
    return rng.sample(all_of_it, rng.choice((1, len(all_of_it) // 2, len(all_of_it))))


@faults.FAULTS.register("upstreams-name-limits")
async def name_limits(world: worlds.World, rng: random.Random, for_s: float) -> None:
    """Upstreams name a limit that moves, perhaps with a break, and then none."""
    hit = _some(world, rng)
    with world.trouble("upstreams-name-limits", *hit, of="life", excuses=False):
        for _ in range(rng.randint(1, 2)):
            per_s = rng.choice((*LIMITS_PER_S, None))
            _name(world, hit, per_s)
            await asyncio.sleep(for_s + BEYOND_S)
        _name(world, hit, None)


def _name(world: worlds.World, hit: list[str], per_s: float | None) -> None:
    naming = limit_sum.Naming(time.monotonic(), per_s)
    for upstream in hit:
        text = None if per_s is None else str(per_s)
        world.fleet.worker_by_id[upstream].names_limit = text
        world.ledger.namings_by_upstream.setdefault(upstream, []).append(naming)


@faults.FAULTS.register("upstreams-ask-for-rest")
async def ask_for_rest(world: worlds.World, rng: random.Random, for_s: float) -> None:
    """Upstreams turn all requests away and ask for rest."""
    hit = _some(world, rng)
    with world.trouble("upstreams-ask-for-rest", *hit, of="life", excuses=False):
        rest_s = rng.choice(RESTS_S)
        for upstream in hit:
            world.fleet.worker_by_id[upstream].asks_rest = str(rest_s)
        await asyncio.sleep(for_s)
        for upstream in hit:
            world.fleet.worker_by_id[upstream].asks_rest = None


@faults.FAULTS.register("upstream-says-it-leaves")
async def say_it_leaves(world: worlds.World, rng: random.Random, for_s: float) -> None:
    """An upstream says in its answers alone that it leaves, ends, and starts again."""
    upstream = rng.choice(world.upstreams)
    with world.trouble("upstream-says-it-leaves", upstream, of="life", excuses=False):
        world.fleet.worker_by_id[upstream].says_leaving = "1"
        await asyncio.sleep(for_s + BEYOND_S)
        await world.fleet.worker_by_id[upstream].close()
        world.fleet.store.remove(f"servers/{upstream}")
        await asyncio.sleep(for_s)
        await world.restart_upstream(upstream, is_cold=True)


@checks.CHECKS.register("limits that upstreams name")
def limits(ledger: ledgers.Ledger) -> abc.Iterator[str]:
    """No upstream gets more than its limit allows, of gateways that were told."""
    told_at: dict[tuple[str, str, int], list[float]] = {}
    for request in ledger.request_by_id.values():
        if request.limited_by:
            key = (request.limited_by, request.node, request.life)
            told_at.setdefault(key, []).append(request.ended_at)
    touch_s = worlds.BOUNDS["touchS"]
    for upstream, namings in ledger.namings_by_upstream.items():
        arrivals = [
            limit_sum.Arrival(at, request.node, request.life)
            for at, name, request, _ in ledger.arrivals
            if name == upstream
            and not ledger.troubled({request.node}, at - touch_s, at)
        ]
        told = {key[1:]: min(at) for key, at in told_at.items() if key[0] == upstream}
        worst = limit_sum.worst(upstream, namings, arrivals, told)
        if worst.count > worst.allowed:
            yield f"{worst}"


@checks.CHECKS.register("rests that upstreams ask for")
def rests(ledger: ledgers.Ledger) -> abc.Iterator[str]:
    """A gateway sends nothing to an upstream that asked it for rest, or nearly."""
    # Leaves out requests that another gateway sent on: in which of its lives it did so,
    # and so whether it still knew of the backoff, isn't known.
    own = [one for one in ledger.arrivals if one.sender == one.request.node]
    for worker in ledger.workers:
        arrived_at: dict[tuple[str, int], list[float]] = {}
        own_ids: set[str] = set()
        for arrival in own:
            if arrival.upstream == worker.id:
                request = arrival.request
                own_ids.add(request.id)
                key = (request.node, request.life)
                arrived_at.setdefault(key, []).append(arrival.at)
        for rest in worker.rests:
            if rest.request_id not in own_ids:
                continue
            request = ledger.request_by_id[rest.request_id]
            times = arrived_at[request.node, request.life]
            since, until = rest.at + UNDER_WAY_S, rest.at + rest.seconds - MARGIN_S
            count = bisect.bisect_left(times, until) - bisect.bisect_right(times, since)
            if count > MOST_IN_REST and not ledger.troubled(
                {request.node, worker.id}, rest.at, until
            ):
                yield f"{worker.id} asked {request.node} for rest, got {count}: {rest}"
                break


@checks.CHECKS.register("upstreams that say they leave")
def left_alone(ledger: ledgers.Ledger) -> abc.Iterator[str]:
    """What was sent later than a bound after an answer said so does not go there."""
    told_at: dict[tuple[str, str, int, int | None], float] = {}
    for request in ledger.request_by_id.values():
        if request.left_by:
            key = (request.left_by, request.node, request.life, request.left_by_start)
            told_at[key] = min(request.ended_at, told_at.get(key, request.ended_at))
    bound_s = worlds.BOUNDS["drainS"]
    for worker in ledger.workers:
        for run in worker.runs:
            request = ledger.request_by_id.get(run.request_id)
            if request is None:
                continue
            key = (worker.id, request.node, request.life, run.born)
            if request.sent_at > told_at.get(key, float("inf")) + bound_s:
                yield f"{request}; ran at {worker.id} at {run.at:.3f}, which leaves"
