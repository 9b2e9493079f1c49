"""
Bad and good versions under trouble of all kinds, and what must hold of each.

``PYTHONPATH=.:platform .venv/bin/python -m features.support.rollout_trials GOOD BAD``
plays that many runs of good versions under each trouble, and of versions that are bad
in each way, and prints what did not hold. A few are played in CI.
"""

import collections
import concurrent.futures
import random
import sys
from collections import abc

import loguru

from features.support import rollout_service, rollout_world as worlds
from spindlenotch import registry
from spindlenotch.gateway.source import sources

#: Bad answers after which a version has to be found out.
BAD_ANSWERS = 50
#: Processes that play side by side.
SIDE_BY_SIDE = 3
GOOD = "good"
#: Gateways in a fleet, in turn.
FLEETS = (5, 15)

Disturb = abc.Callable[[worlds.World], None]
HARMS: registry.Registry[abc.Callable[[random.Random], worlds.Harm]] = (
    registry.Registry("harm")
)
TROUBLES: registry.Registry[Disturb] = registry.Registry("trouble")


@HARMS.register("failing at once")
def failing(rng: random.Random) -> worlds.Harm:
    return worlds.Harm(fails=rng.uniform(0.15, 0.7))


@HARMS.register("slow at once")
def slow(rng: random.Random) -> worlds.Harm:
    return worlds.Harm(slower=rng.uniform(3.0, 6.0))


@HARMS.register("slow at once, and says so")
def slow_and_tells(rng: random.Random) -> worlds.Harm:
    return worlds.Harm(slower=rng.uniform(3.0, 6.0), is_told=True)


@HARMS.register("failing late")
def late(rng: random.Random) -> worlds.Harm:
    return worlds.Harm(fails=rng.uniform(0.25, 0.7), from_s=0.6 * rollout_service.BY_S)


@HARMS.register("failing under load")
def loaded(rng: random.Random) -> worlds.Harm:
    return worlds.Harm(fails=rng.uniform(0.3, 0.7), only_full=True)


@HARMS.register("failing on one route")
def one_route(rng: random.Random) -> worlds.Harm:
    route = rng.choice(list(rollout_service.WORK_S_BY_ROUTE))
    return worlds.Harm(fails=rng.uniform(0.3, 0.7), route=route)


@TROUBLES.register("none")
def nothing(world: worlds.World) -> None:
    return


@TROUBLES.register("some upstreams fail")
def grey(world: worlds.World) -> None:
    for machine in world.rng.sample(world.machines, len(world.machines) * 15 // 100):
        machine.fails = world.rng.uniform(0.2, 0.6)


@TROUBLES.register("some upstreams have slow neighbours")
def neighbours(world: worlds.World) -> None:
    def turn() -> None:
        for machine in world.machines:
            machine.slowdown = 1.0
        for machine in world.rng.sample(world.machines, len(world.machines) // 6):
            machine.slowdown = world.rng.uniform(2.0, 5.0)

    world.every(1.0, turn)


@TROUBLES.register("a burst of requests")
def burst(world: worlds.World) -> None:
    def begin() -> None:
        world.per_s *= 2.5
        world.after(2.0, end)

    def end() -> None:
        world.per_s /= 2.5

    world.after(world.rng.uniform(1.0, 9.0), begin)


@TROUBLES.register("all upstreams fail for a while")
def alike(world: worlds.World) -> None:
    share = world.rng.uniform(0.1, 0.4)

    def begin() -> None:
        for machine in world.machines:
            machine.fails = share
        world.after(2.0, end)

    def end() -> None:
        for machine in world.machines:
            machine.fails = 0.0

    world.after(world.rng.uniform(1.0, 8.0), begin)


@TROUBLES.register("wrong bytes and callers that leave")
def garbled(world: worlds.World) -> None:
    world.leaving = 0.05
    for machine in world.machines:
        machine.fails = 0.02


@TROUBLES.register("one gateway's link is bad")
def bad_link(world: worlds.World) -> None:
    world.gateways[0].link_fails = world.rng.uniform(0.1, 0.5)


@TROUBLES.register("gateways start again")
def restarts(world: worlds.World) -> None:
    for number in range(len(world.gateways)):
        at_s = world.rng.uniform(0.5, 0.7 * world.plan.by_s)
        world.after(at_s, lambda one=number: world.restart(one))  # type: ignore[misc]


@TROUBLES.register("datagrams get lost")
def lossy(world: worlds.World) -> None:
    world.loss = 0.3


@TROUBLES.register("a gateway is cut off for a while")
def cut(world: worlds.World) -> None:
    chosen = world.rng.choice(world.gateways)

    def begin() -> None:
        chosen.is_cut = True
        world.after(0.6, world.see_peers)
        world.after(3.0, end)

    def end() -> None:
        chosen.is_cut = False
        world.see_peers()

    world.after(world.rng.uniform(1.0, 6.0), begin)


@TROUBLES.register("answers of the store get lost")
def store_loses(world: worlds.World) -> None:
    world.store.loses = True


#: Troubles that no order outlasts, and so leave open whether it ends in time.
@TROUBLES.register("the store is down for a while")
def store_down(world: worlds.World) -> None:
    def begin() -> None:
        world.store.is_down = True
        world.after(3.0, end)

    def end() -> None:
        world.store.is_down = False

    world.after(world.rng.uniform(0.5, 6.0), begin)


def complaints(world: worlds.World) -> list[str]:
    """Return what did not hold in a world that was played."""
    seen, plan = world.seen, world.plan
    states = [state for _, state in seen.statuses]
    final = states[-1] if states else None
    found = []
    if len(states) > 2 or sources.RolloutState.RUNNING in states[1:]:
        found.append(f"states {states}")
    if seen.most_ahead > 0.0:
        found.append(f"ahead of the share by {seen.most_ahead:.1f}")
    if not plan.harm.is_bad:
        if final is not sources.RolloutState.COMPLETED:
            reasons = {g.run.reason for g in world.gateways}
            found.append(f"good, but {final}: {reasons}")
        elif seen.statuses[-1][0] >= plan.by_s:
            found.append(f"late: {seen.statuses[-1][0]:.1f}")
        elif seen.old_running:
            found.append(f"{seen.old_running} calls on old ones")
        return found
    if final is not sources.RolloutState.ROLLED_BACK:
        found.append(f"bad, but {final}")
    allowed = rollout_service.SHARE * seen.reached + rollout_service.RESERVE
    if seen.to_new > allowed:
        found.append(f"exposure {seen.to_new} of {allowed:.0f}")
    if len(seen.bad_at) >= BAD_ANSWERS:
        bound = sorted(seen.bad_at)[BAD_ANSWERS - 1] + rollout_service.ROLLBACK_S
        after = sum(at > bound for at in seen.new_sent_at)
        if after:
            found.append(f"{after} requests after the bound")
    return found


def trial(harm: str, trouble: str, seed: int) -> list[str]:
    """Play a version that is bad in one way, good with "", under a trouble."""
    rng = random.Random(f"{harm}/{trouble}/{seed}")
    plan = worlds.Plan(
        seed=seed,
        gateways=FLEETS[seed % len(FLEETS)],
        harm=HARMS.get(harm)(rng) if harm else worlds.Harm(),
        disturb=TROUBLES.get(trouble),
    )
    world = worlds.World(plan)
    world.play()
    return complaints(world)


def _silent_trial(kind: tuple[str, str, int]) -> list[str]:
    loguru.logger.remove()
    return trial(*kind)


def main(good: int, bad: int) -> None:
    """Play ``good`` runs under each trouble, and ``bad`` ones of each harm."""
    troubles = TROUBLES.names()
    kinds = [("", trouble, seed) for trouble in troubles for seed in range(good)]
    for harm in HARMS.names():
        kinds += [(harm, troubles[n % len(troubles)], n) for n in range(bad)]
    found: dict[tuple[str, str], list[str]] = collections.defaultdict(list)
    with concurrent.futures.ProcessPoolExecutor(SIDE_BY_SIDE) as pool:
        results = pool.map(_silent_trial, kinds, chunksize=8)
        for (harm, trouble, seed), lines in zip(kinds, results, strict=True):
            name = (harm or GOOD, trouble if not harm else "all troubles")
            found[name] += [f"seed {seed}, {trouble}: {line}" for line in lines]
    for name, lines in found.items():
        runs = good if name[0] == GOOD else bad
        print(f"{' / '.join(name)}: {len(lines)} complaints of {runs} runs")
        for line in lines[:8]:
            print(f"   {line}")


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
