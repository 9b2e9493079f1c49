"""
Detects upstreams that crash while running a request.

A broken connection does not tell whether the process behind it has crashed. The
upstream's liveness is therefore checked at once over a new connection, with one check
for all requests that lost their connection to it. Until the check ends, these requests
are suspect. ``decisions.quarantine`` decides what follows from a crash.
"""

import asyncio
import collections
import typing
from collections import abc

import msgspec

from spindlenotch import clock, events, ids, metrics, ports
from spindlenotch.decisions import balancer, quarantine, verdicts
from spindlenotch.forwarding import jobs, recent_answers, try_marks
from spindlenotch.kernel import crash_records, fingerprints, upstreams

#: Timeout of a liveness check, in seconds: several round trips between regions, 16 ms
#: each, and the 6 ms that an upstream needs to answer a probe.
LIVENESS_TIMEOUT_S = 0.1
#: Seconds after an apparent crash in which a load report from the upstream revokes it:
#: a live upstream sends several load reports per second.
FALSE_ALARM_WINDOW_S = 2.0
#: Error of a later load report's age, in seconds: the delay of messages between
#: gateways.
REPORT_AGE_ERROR_S = 0.05

#: What a liveness check finds if no process is there to respond.
NO_PROCESS = (ports.Liveness.GONE, ports.Liveness.REFUSED)

#: Logged reason for ejecting a crashed upstream.
EJECTION_REASON = "gone"

#: Called with each crash record that must be sent to peers.
CrashRecordListener = abc.Callable[[crash_records.CrashRecord], None]


class DetectorState(typing.Protocol):
    """The process state that the crash detector uses."""

    clock: clock.Clock
    metrics: metrics.Metrics


class Links(typing.Protocol):
    """What is known of the links between this host and the upstreams."""

    async def is_isolated_since(self, since: ids.Instant) -> bool:
        """Return whether this host is isolated from the upstreams, checked since."""


class LostRequest(msgspec.Struct, frozen=True):
    """
    A request whose connection to an upstream broke while it ran there.

    A request that was ``answered_lately`` is not suspected of causing the crash.
    """

    request_fingerprints: fingerprints.Fingerprints
    snapshots: try_marks.Snapshots
    balancer: balancer.Balancer
    upstream: upstreams.Upstream
    kind: verdicts.Kind
    at: ids.Instant
    answered_lately: bool

    @property
    def service(self) -> ids.ServiceName:
        """Return the name of the upstream's service."""
        return self.balancer.service.name

    def suspect_fingerprints(self) -> tuple[ids.Fingerprint, ...]:
        """Return the fingerprints of this request if it may have caused the crash."""
        return () if self.answered_lately else self.request_fingerprints.as_tuple()


class CrashDetector:
    """
    Tracks requests of one process that lost their upstream while running.

    Invariant: a request that lost its connection stays suspect until the liveness check
    of its upstream has ended.
    """

    def __init__(
        self,
        state: DetectorState,
        port: ports.UpstreamPort,
        known: quarantine.Quarantine,
        links: Links | None = None,
    ) -> None:
        self.state = state
        self.port = port
        self.links = links
        self.quarantine = known
        self.snapshots = try_marks.AttemptSnapshots(known)
        self._lost_requests_by_upstream: dict[ids.UpstreamId, list[LostRequest]] = {}
        #: Lost requests whose upstream appears to have crashed, the oldest first.
        self._recent_crashes: collections.deque[LostRequest] = collections.deque()
        self._answers = recent_answers.RecentAnswers()
        self._liveness_checks: set[asyncio.Task[None]] = set()
        self._listeners: list[CrashRecordListener] = []

    def add_listener(self, listener: CrashRecordListener) -> None:
        """Call ``listener`` with each record that this process changes."""
        self._listeners.append(listener)

    def publish_records(self, request_fingerprints: fingerprints.Fingerprints) -> None:
        """Pass the crash records of a request to the listeners."""
        for fingerprint in request_fingerprints.as_tuple():
            self._publish_record(fingerprint)

    # Results of attempts

    def record_lost(self, job: jobs.Job, grant: verdicts.Grant) -> None:
        """Record that an attempt lost its connection after it was sent."""
        lost_request = LostRequest(
            job.fingerprints(),
            self.snapshots.record_lost(grant),
            job.balancer,
            grant.upstream,
            grant.kind,
            self.state.clock.now(),
            self._answers.contains(job, self.state.clock.now()),
        )
        for fingerprint in lost_request.suspect_fingerprints():
            self.quarantine.begin_check(fingerprint)
        lost_requests = self._lost_requests_by_upstream.setdefault(
            grant.upstream.spec.id, []
        )
        lost_requests.append(lost_request)
        if len(lost_requests) == 1:
            self._start_liveness_check(grant.upstream.spec)

    def record_answer(self, job: jobs.Job) -> None:
        """Record that an upstream answered a request, so it did not crash."""
        self._answers.add(job, self.state.clock.now())
        if self.quarantine.knows_target(job.target):
            self._clear(job.fingerprints())

    # Liveness of the upstream

    def clear_false_alarms(self) -> None:
        """
        Clear requests whose upstream turns out to be alive; called periodically.

        An overloaded upstream may refuse connections for a moment and still send load
        reports.
        """
        now = self.state.clock.now()
        while (
            self._recent_crashes
            and self._recent_crashes[0].at <= now - FALSE_ALARM_WINDOW_S
        ):
            self._recent_crashes.popleft()
        for lost_request in [
            one for one in self._recent_crashes if _has_reported_since(one)
        ]:
            self._recent_crashes.remove(lost_request)
            self._clear(lost_request.request_fingerprints)

    def _start_liveness_check(self, spec: upstreams.UpstreamSpec) -> None:
        task = asyncio.ensure_future(self._check_liveness(spec))
        # asyncio holds only weak references to tasks; without this one the task may be
        # garbage-collected before it ends.
        self._liveness_checks.add(task)
        task.add_done_callback(self._liveness_checks.discard)

    async def _check_liveness(self, spec: upstreams.UpstreamSpec) -> None:
        liveness = ports.Liveness.SILENT
        try:
            liveness = await self.port.liveness(spec.address, LIVENESS_TIMEOUT_S)
            if liveness in NO_PROCESS and await self._is_isolated(spec.id):
                # The connection broke with the links of this host.
                liveness = ports.Liveness.SILENT
        finally:
            lost_requests = self._lost_requests_by_upstream.pop(spec.id)
            for lost_request in lost_requests:
                for fingerprint in lost_request.suspect_fingerprints():
                    self.quarantine.end_check(fingerprint)
        if liveness in NO_PROCESS:
            self._handle_crash(lost_requests)

    async def _is_isolated(self, upstream: ids.UpstreamId) -> bool:
        if self.links is None:
            return False
        first = self._lost_requests_by_upstream[upstream][0]
        return await self.links.is_isolated_since(first.at)

    def _handle_crash(self, lost_requests: list[LostRequest]) -> None:
        self.state.metrics.upstreams_ended.labels(lost_requests[0].service).inc()
        self._eject(lost_requests[0])
        for lost_request in lost_requests:
            self._recent_crashes.append(lost_request)
            self._record_crash(lost_request)
            events.emit(
                events.Event.UPSTREAM_ENDED_UNDER_REQUEST,
                service=lost_request.service,
                upstream=lost_request.upstream.spec.id,
                fingerprint=lost_request.request_fingerprints.content,
                from_caller=lost_request.request_fingerprints.from_caller,
                kind=lost_request.kind.value,
                answered_lately=int(lost_request.answered_lately),
                depth=self.quarantine.record_of(
                    lost_request.request_fingerprints.from_caller
                ).depth,
            )

    def _eject(self, lost_request: LostRequest) -> None:
        """Eject a crashed upstream, as service discovery may go on listing it."""
        now = self.state.clock.now()
        if lost_request.upstream.state not in (
            upstreams.State.EJECTED,
            upstreams.State.LEAVING,
        ):
            lost_request.balancer.pool.eject(
                lost_request.upstream, EJECTION_REASON, now
            )

    def _record_crash(self, lost_request: LostRequest) -> None:
        now = self.state.clock.now()
        for fingerprint, snapshot in zip(
            lost_request.suspect_fingerprints(), lost_request.snapshots, strict=False
        ):
            upstream_id = lost_request.upstream.spec.id
            if self.quarantine.record_crash(fingerprint, snapshot, upstream_id, now):
                self._publish_record(fingerprint)

    def _clear(self, request_fingerprints: fingerprints.Fingerprints) -> None:
        now = self.state.clock.now()
        for fingerprint in request_fingerprints.as_tuple():
            if self.quarantine.clear(fingerprint, now):
                self._publish_record(fingerprint)

    def _publish_record(self, fingerprint: ids.Fingerprint) -> None:
        record = self.quarantine.record_of(fingerprint)
        for listener in self._listeners:
            listener(record)


def _has_reported_since(lost_request: LostRequest) -> bool:
    return lost_request.upstream.report_at > lost_request.at + REPORT_AGE_ERROR_S
