"""
What one process knows of each upstream, and how old that knowledge is.

The balancer updates it with requests sent and completed, load reports that come with
responses and probes, drain notices, and the host list. Selection reads it. Relies on
``ejection`` for how long an ejection lasts and on ``cold_start`` for what a cold
upstream may be sent. Performs no I/O and reads no clock: every method takes the
instant.
"""

import enum
import zlib
from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import (
    backpressure,
    cold_start,
    ejection,
    failure_share,
    hearing,
    latency,
    shared_rate,
)

#: Weight of the newest sample in an upstream's latency ratio.
LATENCY_RATIO_WEIGHT = 0.08
#: Weight of the newest report in the mean load of an upstream by other processes.
FOREIGN_LOAD_WEIGHT = 0.05
#: Weight of the newest report in an upstream's mean slowdown.
MEAN_SLOWDOWN_WEIGHT = 0.03
#: Slowdown above which an upstream is slowed.
SLOWED_FACTOR = 2.5
#: Highest latency ratio that one response counts with.
MAX_LATENCY_RATIO = 20.0
#: Time constant, in seconds, with which a reported slowdown decays to the mean.
SLOWDOWN_DECAY_S = 0.5
#: Successful responses after which slow start ends: all slots of the upstream are used.
SLOW_START_ANSWERS = 20

#: Called with an upstream whenever its state has changed.
ChangeListener = abc.Callable[["Upstream"], None]


class State(enum.Enum):
    """Whether an upstream may be sent requests."""

    ACTIVE = "active"
    PROBATION = "probation"
    EJECTED = "ejected"
    LEAVING = "leaving"


class Result(enum.Enum):
    """How a request to an upstream ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    SHED = "shed"
    CONNECT_FAILED = "connect-failed"
    CANCELLED = "cancelled"


#: Weight of the end of a request in its upstream's share of failures.
FAILURES_BY_RESULT = {
    Result.ANSWERED: 0.0,
    Result.FAILED: 1.0,
    Result.SHED: failure_share.REFUSAL_WEIGHT,
    Result.CONNECT_FAILED: 1.0,
}


class LoadReport(msgspec.Struct, frozen=True):
    """
    The load that an upstream reports: requests running and queued.

    ``slowdown`` is how long work takes there now, as a multiple of its typical time.
    ``cold_s`` is for how many more seconds it is cold, None if it does not report that.
    """

    running: int
    queued: int
    slowdown: float = 1.0
    cold_s: float | None = None


class UpstreamSpec(msgspec.Struct, frozen=True):
    """
    One upstream as the host list gives it.

    ``slots`` is None if it has as many as the service's policy says;
    ``warming_up_until`` is when it has warmed up after its start. ``born`` identifies
    this incarnation among others of the same id, None if it is not known. ``version``
    is that of its software, empty if not known.
    """

    id: ids.UpstreamId
    zone: ids.ZoneName
    address: ids.Address
    generation: int
    slots: int | None = None
    warming_up_until: ids.Instant = ids.Instant(0.0)
    born: int | None = None
    version: ids.SoftwareVersion = ids.SoftwareVersion("")


class Upstream:
    """
    State and estimates of one upstream.

    Invariants: ``sent_at_by_call`` holds exactly the calls that this process has sent
    and that have not ended, oldest first; only a higher generation ends ``LEAVING``;
    ``latency_ratio`` is the mean ratio of observed to typical latency;
    ``contention_sample`` holds for about half of all upstreams, the same in every
    process (``contention``). ``cold`` limits what it is sent while it is cold;
    ``ejected_at`` is when it was last ejected, ``known_since`` when this process learnt
    of this incarnation of it, ``backpressure`` its signals.
    """

    def __init__(
        self,
        spec: UpstreamSpec,
        slots: int,
        now: ids.Instant,
        on_change: ChangeListener,
        probing: hearing.ProbeActivity | None = None,
        known_backpressure: backpressure.Backpressure | None = None,
    ) -> None:
        self.spec = spec
        self.known_since = now
        self.cold = cold_start.ColdStart(spec.warming_up_until)
        self.backpressure = known_backpressure or backpressure.Backpressure(
            shared_rate.Participant(spec.id, spec.zone, shared_rate.NO_HOST)
        )
        self.on_change = on_change
        self.slots = slots
        self.contention_sample = zlib.crc32(spec.id.encode()) % 2 == 0
        self.state = State.ACTIVE
        self.state_reason = "listed"
        self.state_until = ids.NEVER
        self.ejected_at = ids.Instant(float("-inf"))
        self._awaits_report = False
        self.sent_at_by_call: dict[ids.CallId, ids.Instant] = {}
        self.report = LoadReport(0, 0)
        self.report_at = now
        self.outstanding_at_report = 0
        self.latency_ratio = latency.Mean(1.0, LATENCY_RATIO_WEIGHT)
        self.failures_in_row = 0
        self.failure_share = failure_share.FailureShare()
        self.ejections_in_row = 0
        self.answers = 0
        self.liveness = hearing.Liveness(now, probing or hearing.ProbeActivity())
        self.owned_slots = 0.0
        self.foreign_load = latency.Mean(0.0, FOREIGN_LOAD_WEIGHT)
        self.mean_slowdown = latency.Mean(1.0, MEAN_SLOWDOWN_WEIGHT)
        self.reports_slowdown = False
        self.report_count = 0

    @property
    def outstanding(self) -> int:
        """Return the number of requests of this process that are in flight."""
        return len(self.sent_at_by_call)

    def sent(self, call: ids.CallId, now: ids.Instant) -> None:
        """Record that a call is sent."""
        self.liveness.sent(now, is_first=not self.sent_at_by_call)
        self.sent_at_by_call[call] = now
        self.cold.sent(now)
        self.backpressure.limit.request_sent(now)

    def ended(
        self, call: ids.CallId, result: Result, typical_s: float, now: ids.Instant
    ) -> None:
        """Record the end of a call; ``typical_s`` is the typical time of its kind."""
        sent_at = self.sent_at_by_call.pop(call, None)
        if sent_at is None:
            return
        if result is Result.CANCELLED:
            self.liveness.cancelled(now, is_last=not self.sent_at_by_call)
            return
        was_read = result in (Result.ANSWERED, Result.SHED)
        self.liveness.answered(now, sent_at if was_read else None)
        self.failure_share.add(FAILURES_BY_RESULT[result], now)
        if result is Result.ANSWERED:
            self.answers += 1
            self.failures_in_row = 0
            self.ejections_in_row = 0
            self.latency_ratio.add(min(MAX_LATENCY_RATIO, (now - sent_at) / typical_s))
            if self.state is State.PROBATION:
                self.cold.assume_cold_since(self.ejected_at, now)
                self._set_state(State.ACTIVE, "answered on probation", ids.NEVER)
        elif result is not Result.SHED:
            self.failures_in_row += 1

    def reported(self, report: LoadReport, now: ids.Instant) -> None:
        """Apply a load report that came with a response or a probe."""
        self.report = report
        self.report_at = now
        self.liveness.reported(now)
        self.outstanding_at_report = self.outstanding
        foreign = max(0, report.running + report.queued - self.outstanding_at_report)
        self.foreign_load.add(foreign)
        self.mean_slowdown.add(report.slowdown)
        self.report_count += 1
        self.reports_slowdown |= report.slowdown != 1.0
        if report.cold_s is not None:
            self.cold.update(ids.later(now, report.cold_s), now)

    def slowdown(self, now: ids.Instant) -> float:
        """
        Estimate how long work takes there now, as a multiple of its typical time.

        The last report decays towards the mean of all reports as it ages.
        """
        if not self.reports_slowdown:
            return 1.0
        weight = latency.decay(now - self.report_at, SLOWDOWN_DECAY_S)
        mean = self.mean_slowdown.value
        return mean + (self.report.slowdown - mean) * weight

    def reported_slowdown(self) -> float | None:
        """
        Return the mean of the reported slowdowns, None if there were no reports.

        It corrects for the initial value of ``mean_slowdown``, 1, which weighs in until
        there are many reports: to a process that has just started, a slow upstream
        would seem normal.
        """
        if not self.report_count:
            return None
        start = (1.0 - MEAN_SLOWDOWN_WEIGHT) ** self.report_count
        return (self.mean_slowdown.value - start) / (1.0 - start)

    def foreign_load_now(
        self, now: ids.Instant, time_constant_s: float, typical: float
    ) -> float:
        """
        Estimate how many requests of other processes are in it now.

        The last report decays towards ``typical`` as it ages.
        """
        reported = self.report.running + self.report.queued - self.outstanding_at_report
        weight = latency.decay(now - self.report_at, time_constant_s)
        return typical + (max(0, reported) - typical) * weight

    def silent_s(self, now: ids.Instant) -> float:
        """Return for how many seconds a response has been due without any arriving."""
        return self.liveness.silent_s(now, is_busy=bool(self.sent_at_by_call))

    def eject(self, reason: str, now: ids.Instant) -> None:
        """Eject it, for twice as long with each consecutive ejection."""
        if self.state is State.LEAVING:
            return
        ejection_s = ejection.duration_s(self.ejections_in_row)
        self.ejections_in_row = min(
            ejection.MAX_EJECTIONS_COUNTED, self.ejections_in_row + 1
        )
        self.failures_in_row = 0
        self.ejected_at = now
        self._awaits_report = reason == ejection.SILENT and self.liveness.was_probed()
        self._set_state(State.EJECTED, reason, ids.later(now, ejection_s))

    def end_ejection(self, now: ids.Instant) -> None:
        """End an ejection that had its cause elsewhere; does nothing otherwise."""
        if self.state is State.EJECTED:
            self.ejections_in_row = 0
            self._awaits_report = False
            self.state_until = now

    def leave(self, reason: str) -> None:
        """Send it no new requests until a higher generation is listed."""
        self._set_state(State.LEAVING, reason, ids.NEVER)

    def retire(self) -> None:
        """
        Retire it because another upstream takes its id; no more changes are reported.

        Calls that were sent to it still end here, and do not count for the other one.
        """
        self.on_change = _ignore_change
        self.leave("replaced")

    def tick(self, now: ids.Instant) -> None:
        """Move an upstream whose ejection is over to probation."""
        if self.state is not State.EJECTED or now < self.state_until:
            return
        if self._awaits_report and self._is_still_silent(now):
            return
        self.liveness.reset()
        self._set_state(State.PROBATION, "ejection over", ids.NEVER)

    def _is_still_silent(self, now: ids.Instant) -> bool:
        """
        Return whether probes show that an upstream ejected as silent is still hung.

        An attempt there would cost its request that time, and a hedge.
        """
        if now >= ids.later(self.ejected_at, ejection.MAX_EJECTION_S):
            return False
        return self.liveness.is_missing_from_probes(self.ejected_at, now)

    def may_take(self, now: ids.Instant) -> bool:
        """Return whether it may be sent one more request."""
        read_until = self.liveness.read_until
        if not self.cold.may_send(now, read_until):
            return False
        if not self.backpressure.may_send(now, read_until):
            return False
        if self.state is State.ACTIVE:
            return True
        self.tick(now)
        return self.state is State.PROBATION and not self.sent_at_by_call

    def free_at(self, now: ids.Instant) -> ids.Instant:
        """
        Return when it may be used again, NEVER if that is not known.

        Whether its slots are in use does not matter.
        """
        if self.state is State.EJECTED:
            return self.state_until
        if not self.cold.may_ever_send(now):
            return self.cold.until
        return self.backpressure.free_at(now, self.liveness.read_until)

    def slow_start_share(self) -> float:
        """Return the share of its slots that slow start allows to be used, 0 to 1."""
        return min(1.0, (1 + self.answers) / SLOW_START_ANSWERS)

    def _set_state(self, state: State, reason: str, until: ids.Instant) -> None:
        changed = state is not self.state
        self.state = state
        self.state_reason = reason
        self.state_until = until
        if changed:
            self.on_change(self)


def _ignore_change(upstream: Upstream) -> None:
    """Ignore a state change of a retired upstream."""
