"""
What the operators' ``/state`` page shows of rollouts.

The types define the page's format, so their fields keep their names. Read-only.
"""

import msgspec

from spindlenotch import ids
from spindlenotch.gateway import state
from spindlenotch.gateway.cluster import fleet
from spindlenotch.gateway.rollout import decider_rules, runs

#: Decimal places of rounded numbers.
DIGITS = 2
#: Value of ``status`` while none is known to have been written.
NO_STATUS = ""


class TestDump(msgspec.Struct):
    """One test of the target: its likelihood, and the calls since its last restart."""

    symptom: str
    route: str
    likelihood: float
    without_worst: float
    calls: int
    bad: int


class RolloutDump(msgspec.Struct):
    """
    An order; ``status`` is that in the source, ``phase`` that of this gateway.

    ``allowed``, ``sent`` and ``answered`` count this gateway's requests, the ``fleet_``
    ones those of all gateways that it has records of.
    """

    target: ids.SoftwareVersion
    phase: str
    status: str
    reason: str
    ends_in_s: float | None
    decider: ids.HostId
    allowed: float
    sent: int
    answered: int
    fleet_sent: int
    fleet_answered: int
    tests: list[TestDump]


def create(
    gateway_state: state.GatewayState, gateway_fleet: fleet.Fleet
) -> dict[ids.ServiceName, RolloutDump]:
    """Return the state of each rollout as known to this gateway."""
    return {
        service: _rollout(gateway_state, gateway_fleet, run)
        for service, run in gateway_state.rollouts.run_by_service.items()
    }


def _rollout(
    gateway_state: state.GatewayState, gateway_fleet: fleet.Fleet, run: runs.Run
) -> RolloutDump:
    service = run.order.service
    status = gateway_state.rollouts.status_of(run)
    candidates = decider_rules.candidates(service, gateway_fleet.view())
    end_at = gateway_state.rollouts.end_at(service)
    left_s = None
    if end_at != ids.NEVER:
        left_s = round(end_at - gateway_state.clock.now(), DIGITS)
    return RolloutDump(
        target=run.order.target,
        phase=run.phase.name.lower(),
        status=NO_STATUS if status is None else status.state.value,
        reason=run.reason,
        ends_in_s=left_s,
        decider=candidates[0] if candidates else ids.HostId(""),
        allowed=round(run.split.allowed(), DIGITS),
        sent=run.split.sent,
        answered=run.split.answered,
        fleet_sent=run.merged.sent(),
        fleet_answered=run.merged.answered(),
        tests=_tests(run),
    )


def _tests(run: runs.Run) -> list[TestDump]:
    return [
        TestDump(
            symptom=symptom.value,
            route=route,
            likelihood=round(test.likelihood, DIGITS),
            without_worst=round(test.without_worst(), DIGITS),
            calls=test.calls,
            bad=test.bad,
        )
        for (symptom, route), test in run.analysis.test_by_key.items()
    ]
