"""
What one entry believes of each upstream, and how old that belief is.

The balancer feeds it: own requests sent and answered, load reports that ride
on answers, probe results, marks from the host list and from peers. Selection
reads it. No input or output happens here; every method takes the instant.
"""

import dataclasses
import enum
from collections import abc

from spindlenotch import ids
from spindlenotch.kernel import ejection, latency

#: Weight of the newest sample in the estimate of an upstream's slowness.
LATENCY_RATIO_WEIGHT = 0.08
#: An upstream that works this many times slower than usual just now is slowed.
SLOWED_FACTOR = 2.5
#: One answer counts at most so many usual times.
MAX_LATENCY_RATIO = 20.0
#: What an upstream said of its pace fades over this time, in seconds.
SLOWDOWN_DECAY_S = 0.5
#: An upstream that has this many answers behind it is no longer cold.
WARM_AFTER_ANSWERS = 20


class State(enum.Enum):
    """Whether an upstream may get work."""

    ACTIVE = "active"
    PROBATION = "probation"
    EJECTED = "ejected"
    LEAVING = "leaving"


class Result(enum.Enum):
    """How an upstream dealt with one request."""

    ANSWERED = "answered"
    FAILED = "failed"
    SHED = "shed"
    CONNECT_FAILED = "connect-failed"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """
    What an upstream said of itself: requests running and queued.

    ``slowdown`` says how many times as long as usual work takes there just now.
    """

    running: int
    queued: int
    slowdown: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSpec:
    """
    One upstream as the host list gives it.

    ``slots`` is None where all upstreams of the service have as many;
    ``cold_until`` is when it is no longer slow from its start.
    """

    id: ids.UpstreamId
    zone: ids.ZoneName
    address: ids.Address
    generation: int
    slots: int | None = None
    cold_until: ids.Instant = ids.Instant(0.0)


class Upstream:
    """
    Belief about one upstream.

    Invariants: ``sent_at_by_call`` holds exactly the calls this entry has
    sent and not seen the end of, oldest first; ``LEAVING`` is left only by a
    higher generation; ``latency_ratio`` is the ratio of observed to usual time.
    """

    def __init__(self, spec: UpstreamSpec, slots: int, now: ids.Instant) -> None:
        self.spec = spec
        self.slots = slots
        self.state = State.ACTIVE
        self.state_reason = "listed"
        self.state_until = ids.NEVER
        self.sent_at_by_call: dict[ids.CallId, ids.Instant] = {}
        self.report = LoadReport(0, 0)
        self.report_at = now
        self.outstanding_at_report = 0
        self.latency_ratio = latency.Mean(1.0, LATENCY_RATIO_WEIGHT)
        self.failures_in_row = 0
        self.ejections_in_row = 0
        self.answers = 0
        self.answered_at = now
        self.busy_since = now
        self.owned_slots = 0.0
        self.foreign_load = latency.Mean(0.0, 0.05)
        self.mean_slowdown = latency.Mean(1.0, 0.03)
        self.reports_slowdown = False
        #: Told of each change of state; set by the pool.
        self.on_change: abc.Callable[[Upstream], None] = _nobody

    @property
    def outstanding(self) -> int:
        """Number of own requests in flight."""
        return len(self.sent_at_by_call)

    def sent(self, call: ids.CallId, now: ids.Instant) -> None:
        """Note that a call goes out."""
        if not self.sent_at_by_call:
            self.busy_since = now
        self.sent_at_by_call[call] = now

    def ended(
        self, call: ids.CallId, result: Result, typical_s: float, now: ids.Instant
    ) -> None:
        """Note the end of a call; ``typical_s`` is the usual time of its kind."""
        sent_at = self.sent_at_by_call.pop(call, None)
        if sent_at is None or result is Result.CANCELLED:
            return
        self.answered_at = now
        if result is Result.ANSWERED:
            self.answers += 1
            self.failures_in_row = 0
            self.ejections_in_row = 0
            self.latency_ratio.add(min(MAX_LATENCY_RATIO, (now - sent_at) / typical_s))
            if self.state is State.PROBATION:
                self._become(State.ACTIVE, "answered on probation", ids.NEVER)
        elif result is not Result.SHED:
            self.failures_in_row += 1

    def reported(self, report: LoadReport, now: ids.Instant) -> None:
        """Take in a load report that came with an answer or a probe."""
        self.report = report
        self.report_at = now
        self.outstanding_at_report = self.outstanding
        foreign = max(0, report.running + report.queued - self.outstanding_at_report)
        self.foreign_load.add(foreign)
        self.mean_slowdown.add(report.slowdown)
        self.reports_slowdown |= report.slowdown != 1.0

    def slowdown(self, now: ids.Instant) -> float:
        """
        Estimate how many times as long as usual work takes there now.

        What it last said fades towards its mean as it ages.
        """
        if not self.reports_slowdown:
            return 1.0
        weight = latency.decay(now - self.report_at, SLOWDOWN_DECAY_S)
        usual = self.mean_slowdown.value
        return usual + (self.report.slowdown - usual) * weight

    def foreign_load_now(
        self, now: ids.Instant, time_constant: float, usual: float
    ) -> float:
        """
        Estimate how many requests of other entries are in it now.

        What it last said fades towards ``usual`` as it ages.
        """
        said = self.report.running + self.report.queued - self.outstanding_at_report
        weight = latency.decay(now - self.report_at, time_constant)
        return usual + (max(0, said) - usual) * weight

    def silent_s(self, now: ids.Instant) -> float:
        """Return how long it has owed an answer without giving any."""
        if not self.sent_at_by_call:
            return 0.0
        return now - max(self.answered_at, self.busy_since)

    def eject(self, reason: str, now: ids.Instant) -> None:
        """Take it out of use for a while that doubles each time in a row."""
        if self.state is State.LEAVING:
            return
        pause_s = ejection.pause_s(self.ejections_in_row)
        self.ejections_in_row = min(ejection.MOST_COUNTED, self.ejections_in_row + 1)
        self.failures_in_row = 0
        self._become(State.EJECTED, reason, ids.later(now, pause_s))

    def leave(self, reason: str) -> None:
        """Give it no new work until a higher generation is listed."""
        self._become(State.LEAVING, reason, ids.NEVER)

    def tick(self, now: ids.Instant) -> None:
        """Let an ejection end in probation."""
        if self.state is State.EJECTED and now >= self.state_until:
            self._become(State.PROBATION, "ejection over", ids.NEVER)

    def may_take(self, now: ids.Instant) -> bool:
        """Tell whether it may get one more request."""
        if self.state is State.ACTIVE:
            return True
        self.tick(now)
        return self.state is State.PROBATION and not self.sent_at_by_call

    def warmth(self) -> float:
        """Return the share of its slots that it may be trusted with, 0 to 1."""
        return min(1.0, (1 + self.answers) / WARM_AFTER_ANSWERS)

    def _become(self, state: State, reason: str, until: ids.Instant) -> None:
        changed = state is not self.state
        self.state = state
        self.state_reason = reason
        self.state_until = until
        if changed:
            self.on_change(self)


def _nobody(upstream: Upstream) -> None:
    """Stand in for a listener that is not set."""
