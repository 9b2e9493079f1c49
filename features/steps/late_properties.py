"""
What one process makes of upstreams that stand still: their silence, their reads.

Plays a balancer of the product in virtual time; the upstreams are stand-ins.
"""

import random

import msgspec

from features.steps import kernel
from spindlenotch import ids
from spindlenotch.decisions import balancer, least_latency, verdicts
from spindlenotch.kernel import (
    budgets,
    copy_tracker,
    extra_budgets,
    ownership,
    service_policy,
    upstreams,
)

NOW = kernel.NOW
ZONE = kernel.ZONES[0]
#: Time of work, and what requests have, in seconds: too little for one try to show
#: that an upstream stands still.
WORK_S, TIMEOUT_S = 0.1, 0.3
#: Requests come this far apart, one upstream stands still from here to there.
GAP_S, STILL_FROM_S, STILL_UNTIL_S, END_S = 0.05, 2.0, 8.0, 12.0
#: Between two reports of an upstream that works, in seconds.
REPORT_S = 0.25
#: Tries that may be lost with it, and hedges: what shows that it stands still.
MOST_LOST = 4
REPORT = upstreams.LoadReport(0, 0)
STILL = ids.UpstreamId("u0")


def decider() -> balancer.Balancer:
    """Return the balancer of a service with two upstreams."""
    policy = service_policy.ServicePolicy(
        name=ids.ServiceName("s"),
        zones=(ZONE,),
        slots=4,
        typical_s=WORK_S,
        selection=least_latency.NAME,
        extra=extra_budgets.SharedWindow(share=0.2, reserve=4, window_s=10.0),
        queue_limit=100,
        eject_share=0.5,
    )
    member = ownership.Member(ZONE, ids.HostId("g"))
    one = balancer.Balancer(policy, member, random.Random(1))
    specs = [
        upstreams.UpstreamSpec(ids.UpstreamId(f"u{n}"), ZONE, ids.Address(""), 1, 4)
        for n in range(2)
    ]
    one.pool.set_listed(specs, NOW)
    return one


class Play:
    """One request after the other; the first upstream stands still for a time."""

    def __init__(self, *, is_probed: bool) -> None:
        self.balancer = decider()
        self.is_probed = is_probed
        self.lost_at: list[float] = []
        self.served_at: list[float] = []

    def run(self) -> None:
        """Play it."""
        at = told_at = 0.0
        number = 0
        while at < END_S:
            number += 1
            now = ids.later(NOW, at)
            self.balancer.pool.tick(now)
            if self.is_probed and at - told_at >= REPORT_S:
                told_at = at
                self._tell(at, now)
            call = msgspec.structs.replace(
                kernel.call(number), deadline=ids.later(now, TIMEOUT_S), arrived_at=now
            )
            verdict = self.balancer.offer(call, now)
            assert isinstance(verdict, verdicts.Grant), verdict
            at = self._serve(verdict, at) + GAP_S

    def _tell(self, at: float, now: ids.Instant) -> None:
        for upstream in self.balancer.pool.upstream_by_id.values():
            if upstream.spec.id != STILL or not STILL_FROM_S <= at < STILL_UNTIL_S:
                self.balancer.pool.probe_reported(upstream, REPORT, now)

    def _serve(self, grant: verdicts.Grant, at: float) -> float:
        """Play a request's only try; return when it is over."""
        stands_still = STILL_FROM_S <= at < STILL_UNTIL_S
        if grant.upstream.spec.id == STILL and stands_still:
            checked = ids.later(NOW, at + WORK_S)
            self.balancer.hedge(grant, checked)
            end, result = at + TIMEOUT_S, upstreams.Result.CANCELLED
            self.lost_at.append(at)
        else:
            end, result = at + WORK_S, upstreams.Result.ANSWERED
            if grant.upstream.spec.id == STILL:
                self.served_at.append(at)
        self.balancer.finish(grant, result, None, ids.later(NOW, end))
        self.balancer.forget(grant.call.id)
        return end


@kernel.PROPERTIES.register("what stands still is found out by tries that break off")
def found_out() -> None:
    for is_probed in (False, True):
        played = Play(is_probed=is_probed)
        played.run()
        assert len(played.lost_at) <= MOST_LOST, (is_probed, played.lost_at)


@kernel.PROPERTIES.register("what went on again is used again")
def used_again() -> None:
    for is_probed, within_s in ((True, 1.0), (False, END_S - STILL_UNTIL_S)):
        played = Play(is_probed=is_probed)
        played.run()
        again_at = [at for at in played.served_at if at >= STILL_UNTIL_S]
        assert again_at, is_probed
        assert again_at[0] <= STILL_UNTIL_S + within_s, (is_probed, again_at[0])


@kernel.PROPERTIES.register(
    "what was ejected as silent waits until a probe tells of it"
)
def waits_for_report() -> None:
    one = decider()
    still, other = one.pool.upstream_by_id.values()
    for upstream in (still, other):
        one.pool.probe_reported(upstream, REPORT, NOW)
    still.sent(ids.CallId("1"), NOW)
    ejected_at = ids.later(NOW, 1.0)
    assert one.pool.eject(still, "silent", ejected_at)
    later = ids.later(ejected_at, 5.0)
    one.pool.probe_reported(other, REPORT, later)
    still.tick(later)
    assert still.state is upstreams.State.EJECTED
    # Probes that tell of no upstream at all have stopped.
    still.tick(ids.later(later, 2.0))
    assert still.state is upstreams.State.PROBATION
    still.eject("silent", later)
    one.pool.probe_reported(still, REPORT, ids.later(later, 2.5))
    still.tick(ids.later(later, 2.5))
    assert still.state is upstreams.State.PROBATION


def probed_after_silence(
    silent_s: float, ejected_s: float
) -> tuple[balancer.Balancer, upstreams.Upstream, ids.Instant]:
    """
    Return a balancer, an upstream ejected as silent, and the instant.

    It is first sent to ``silent_s`` after its last report; from its ejection on
    ``ejected_s`` have passed, and probes still tell of the other one.
    """
    one = decider()
    still, other = one.pool.upstream_by_id.values()
    for upstream in (still, other):
        one.pool.probe_reported(upstream, REPORT, NOW)
    sent_at = ids.later(NOW, silent_s)
    still.sent(ids.CallId("1"), sent_at)
    ejected_at = ids.later(sent_at, 0.4)
    one.pool.probe_reported(other, REPORT, ejected_at)
    assert one.pool.eject(still, "silent", ejected_at)
    now = ids.later(ejected_at, ejected_s)
    one.pool.probe_reported(other, REPORT, now)
    still.tick(now)
    return one, still, now


# Gateways that sent to an upstream for the first time seconds after it had begun to
# stand still, tried it again after 1 and 2 s. The last report was older than a second
# then: it counted as one that nobody probes, though probes told of all others. Up to 16
# of 603 requests went there where 12 may.
@kernel.PROPERTIES.register("so does one that is sent to long after probes miss it")
def waits_though_found_late() -> None:
    one, still, now = probed_after_silence(silent_s=7.0, ejected_s=5.0)
    assert still.state is upstreams.State.EJECTED
    one.pool.probe_reported(still, REPORT, ids.later(now, 0.1))
    still.tick(ids.later(now, 0.1))
    assert still.state is upstreams.State.PROBATION


@kernel.PROPERTIES.register("one that probes have left for long is tried again")
def not_probed_any_more() -> None:
    _, still, _ = probed_after_silence(silent_s=60.0, ejected_s=1.0)
    assert still.state is upstreams.State.PROBATION


@kernel.PROPERTIES.register("a repeat has arrived when all copies but one were read")
def settles() -> None:
    one = decider()
    first, second = one.pool.upstream_by_id.values()
    budget = budgets.SlidingShareBudget(0.2, 4.0, 10.0)
    followed = copy_tracker.CopyTracker(
        extra_budgets.ExtraBudgets(budget, budget, charges_drain_retries=True)
    )
    call = ids.CallId("1")
    followed.record_first(call, first, NOW, is_read=False)
    followed.sent(call, second, NOW)
    assert budget.spend(NOW)
    assert budget.unsettled == 1
    # The hedge is answered; the first copy may lie unread where it was sent.
    followed.ended(call, second, ids.later(NOW, 0.1))
    followed.forget(call)
    followed.settle_read(ids.later(NOW, 30.0))
    assert budget.unsettled == 1
    assert budget.available(ids.later(NOW, 30.0))
    assert budget.balance == 3.0
    first.reported(REPORT, ids.later(NOW, 30.0))
    followed.settle_read(ids.later(NOW, 30.0))
    assert budget.unsettled == 0
    (late,) = followed.take_late_reads()
    assert (late.upstream, late.count, late.after_s) == (first.spec.id, 1, 30.0)
    # It arrived at that instant at the latest, and counts for a window from there.
    assert not budget.available(ids.later(NOW, 39.9)) or budget.balance == 3.0
    assert budget.available(ids.later(NOW, 40.1))
    assert budget.balance == 4.0
