"""
Workloads: who asks when for how much work, and what happens to the workers.

Everything is drawn beforehand from one seed, so that every policy meets the
same arrivals and the same trouble.
"""

import dataclasses
import random
from collections import abc

from experiment import worker
from spindlenotch import registry

ENTRIES = 18
ZONES = ("a", "b", "c")
MEAN_WORK_S = 0.020
UPLOAD_WORK_S = 0.300
#: Noisy neighbours: how often a second, how slow, for how long on average.
BURST_RATE = 1.0
BURST_SPEED = 0.15
BURST_S = 0.040
DEADLINE_S = 2.0
UPLOAD_DEADLINE_S = 20.0
ONE_WORKER_EVENT_AT = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request: when, at which entry, of which kind, with how much work."""

    at: float
    entry: int
    kind: str
    work_s: float
    rank: int
    repeatable: bool
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Setup:
    """Sizes of one experiment. ``load`` is offered work per slot."""

    name: str
    workers: int = 30
    slots: int = 6
    load: float = 0.7
    seconds: float = 6.0
    seed: int = 1
    entries: int = ENTRIES
    way_s: float = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request in a workload's mix."""

    name: str
    share: float
    rank: int
    repeatable: bool
    mean_work_s: float = MEAN_WORK_S


#: Most requests may be repeated; bookings may not.
USUAL = (Kind("browse", 0.85, 1, True), Kind("booking", 0.15, 0, False))
WITH_UPLOADS = (
    Kind("browse", 0.83, 1, True),
    Kind("booking", 0.15, 0, False),
    Kind("upload", 0.02, 2, False, UPLOAD_WORK_S),
)
CAMPAIGN = (
    Kind("urgent", 0.10, 0, True),
    Kind("browse", 0.88, 1, True),
    Kind("upload", 0.02, 2, False, UPLOAD_WORK_S),
)

Trouble = abc.Callable[[worker.Simulation, list[worker.Worker], Setup], None]
TROUBLES: registry.Registry[Trouble] = registry.Registry("trouble")
MIX_BY_NAME = {"campaign": CAMPAIGN, "uploads": WITH_UPLOADS}


def arrivals(setup: Setup) -> list[Arrival]:
    """Draw the requests of one run."""
    rng = random.Random(f"arrivals/{setup.seed}")
    mix = MIX_BY_NAME.get(setup.name, USUAL)
    mean = sum(k.share * k.mean_work_s for k in mix)
    rate = setup.load * setup.workers * setup.slots / mean
    found = []
    at = 0.0
    weights = [k.share for k in mix]
    while at < setup.seconds:
        at += rng.expovariate(rate)
        kind = rng.choices(mix, weights)[0]
        # Gamma with shape two: less spread than an exponential, so that
        # waiting rather than the work itself makes the tail.
        work = rng.gammavariate(2.0, kind.mean_work_s / 2.0)
        deadline = UPLOAD_DEADLINE_S if kind.name == "upload" else DEADLINE_S
        entry = rng.randrange(setup.entries)
        found.append(
            Arrival(at, entry, kind.name, work, kind.rank, kind.repeatable, deadline)
        )
    return found


def neighbours(
    simulation: worker.Simulation, workers: list[worker.Worker], setup: Setup
) -> None:
    """Let noisy neighbours take most of the core for tens of milliseconds."""
    for number, victim in enumerate(workers):
        rng = random.Random(f"bursts/{setup.seed}/{number}")
        at = 0.0
        while at < setup.seconds:
            at += rng.expovariate(BURST_RATE)
            length = rng.expovariate(1 / BURST_S)
            simulation.at(at, lambda v=victim: v.set_speed(BURST_SPEED))  # type: ignore[misc]
            at += length
            simulation.at(at, lambda v=victim: v.set_speed(1.0))  # type: ignore[misc]


@TROUBLES.register("steady")
@TROUBLES.register("campaign")
@TROUBLES.register("uploads")
def steady(
    simulation: worker.Simulation, workers: list[worker.Worker], setup: Setup
) -> None:
    """Noisy neighbours only."""
    neighbours(simulation, workers, setup)


@TROUBLES.register("slow")
def slow(
    simulation: worker.Simulation, workers: list[worker.Worker], setup: Setup
) -> None:
    """One worker becomes ten times slower and stays so."""
    neighbours(simulation, workers[1:], setup)
    at = ONE_WORKER_EVENT_AT * setup.seconds
    simulation.at(at, lambda: workers[0].set_speed(0.1))


@TROUBLES.register("freeze")
def freeze(
    simulation: worker.Simulation, workers: list[worker.Worker], setup: Setup
) -> None:
    """One worker stops altogether."""
    neighbours(simulation, workers[1:], setup)
    at = ONE_WORKER_EVENT_AT * setup.seconds
    simulation.at(at, lambda: workers[0].set_speed(0.0))


@TROUBLES.register("failfast")
def failfast(
    simulation: worker.Simulation, workers: list[worker.Worker], setup: Setup
) -> None:
    """One worker fails everything at once, and so looks idle."""
    neighbours(simulation, workers, setup)
    at = ONE_WORKER_EVENT_AT * setup.seconds

    def begin() -> None:
        workers[0].fail_fast = True

    simulation.at(at, begin)


@TROUBLES.register("drain")
def drain(
    simulation: worker.Simulation, workers: list[worker.Worker], setup: Setup
) -> None:
    """One worker refuses new work as not run."""
    neighbours(simulation, workers, setup)
    at = ONE_WORKER_EVENT_AT * setup.seconds

    def begin() -> None:
        workers[0].draining = True

    simulation.at(at, begin)


@TROUBLES.register("zone")
def zone(
    simulation: worker.Simulation, workers: list[worker.Worker], setup: Setup
) -> None:
    """A whole availability zone stops answering."""
    rest = [w for w in workers if w.zone != ZONES[0]]
    neighbours(simulation, rest, setup)
    at = ONE_WORKER_EVENT_AT * setup.seconds
    for victim in workers:
        if victim.zone == ZONES[0]:
            simulation.at(at, lambda v=victim: v.set_speed(0.0))  # type: ignore[misc]
