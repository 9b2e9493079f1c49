"""
The machines that are played, and how: the mixed one and two focused ones.

A focused machine has only the rules that matter for its invariants, so that a
play reaches further into them.
"""

import typing

import hypothesis
from hypothesis import stateful, strategies

from features.support import machine


class IdFaults(machine.MixedFaults):
    """Bookings, resends and what can go wrong with them, and nothing else."""

    read = None  # type: ignore[assignment]
    read_often = None  # type: ignore[assignment]
    cut_off = None  # type: ignore[assignment]
    host_list_outage = None  # type: ignore[assignment]
    upstream_mode = None  # type: ignore[assignment]
    drain = None  # type: ignore[assignment]
    come_back = None  # type: ignore[assignment]
    publish = None  # type: ignore[assignment]
    push_again = None  # type: ignore[assignment]


class MeasuringFaults(machine.MixedFaults):
    """Holders of the right to probe come, go, freeze and wake; no callers."""

    book_by_ticket = None  # type: ignore[assignment]
    book_by_key = None  # type: ignore[assignment]
    resend = None  # type: ignore[assignment]
    read = None  # type: ignore[assignment]
    read_often = None  # type: ignore[assignment]
    stall = None  # type: ignore[assignment]
    drain = None  # type: ignore[assignment]
    come_back = None  # type: ignore[assignment]
    upstream_mode = None  # type: ignore[assignment]
    publish = None  # type: ignore[assignment]
    push_again = None  # type: ignore[assignment]
    host_list_outage = None  # type: ignore[assignment]

    @stateful.rule(seconds=strategies.sampled_from((7.0, 8.5, 11.0, 14.0)))
    def wait_long(self, seconds: float) -> None:
        """Time passes, long enough for a lease to lapse."""
        self.fleet.world.run(seconds)

    @stateful.rule(seconds=strategies.sampled_from((8.5, 11.0, 14.0)))
    def freeze_holders(self, seconds: float) -> None:
        """Whoever holds the right is paused until the lease has lapsed."""
        holders = [e for e in self.fleet.living() if e.prober.leases.lease_by_service]
        for entry in holders:
            entry.loop.frozen = True
        self.fleet.world.run(seconds)
        for entry in holders:
            entry.loop.frozen = False
        self.fleet.world.run(0.5)


MACHINES: dict[str, type[machine.MixedFaults]] = {
    "mixed-fault": machine.MixedFaults,
    "id": IdFaults,
    "measuring": MeasuringFaults,
}


def play(
    name: str,
    examples: int,
    steps: int,
    seed: int | None = None,
    *,
    shrink: bool = True,
) -> None:
    """Play a machine; without a seed always the same plays."""
    phases = [hypothesis.Phase.generate]
    if shrink:
        phases.append(hypothesis.Phase.shrink)
    config = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=seed is None,
        database=None,
        deadline=None,
        phases=phases,
        report_multiple_bugs=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    played: typing.Any = MACHINES[name]
    if seed is not None:
        played = hypothesis.seed(seed)(played)
    stateful.run_state_machine_as_test(played, settings=config)
