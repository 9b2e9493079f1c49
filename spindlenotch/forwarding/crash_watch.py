"""
Finds out whether an upstream ended while it ran a request, and what that tells of it.

A connection that breaks tells nothing of the process behind it. So the upstream is
asked at once over a new connection, once for all requests that broke off there; until
that is settled they are in doubt. What follows is decided in ``decisions.quarantine``.
"""

import asyncio
import collections
import typing
from collections import abc

import msgspec

from spindlenotch import clock, events, ids, metrics, ports
from spindlenotch.decisions import balancer, quarantine, verdicts
from spindlenotch.forwarding import jobs, recent_answers, try_marks
from spindlenotch.kernel import crash_notes, fingerprints, upstreams

#: Longest wait for the answer, in seconds: several round trips between regions, 16 ms
#: each, and a probe's work, 6 ms.
LIVENESS_TIMEOUT_S = 0.1
#: Seconds for which an upstream that seems to have ended may prove the contrary: its
#: load reports come several times a second.
FALSE_ALARM_WINDOW_S = 2.0
#: Seconds by which a later report's age may be off: what messages between gateways
#: take.
REPORT_AGE_ERROR_S = 0.05

#: Why an upstream that has ended is out of use.
EJECTION_REASON = "gone"

#: Called with each note that peers need to know.
NoteListener = abc.Callable[[crash_notes.CrashNote], None]


class DetectorState(typing.Protocol):
    """What the watch needs of the process that it runs in."""

    clock: clock.Clock
    metrics: metrics.Metrics


class LostRequest(msgspec.Struct, frozen=True):
    """
    A request whose connection to an upstream broke while it ran there.

    Where it was answered lately it is not what ended the upstream.
    """

    request_fingerprints: fingerprints.Fingerprints
    marks: try_marks.Marks
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
        """Return the fingerprints that may be those of the cause."""
        return () if self.answered_lately else self.request_fingerprints.each()


class CrashDetector:
    """
    The upstreams that were lost under requests of one process.

    Invariant: each request that broke off is in doubt until its upstream was asked.
    """

    def __init__(
        self,
        state: DetectorState,
        port: ports.UpstreamPort,
        known: quarantine.Quarantine,
    ) -> None:
        self.state = state
        self.port = port
        self.quarantine = known
        self.marks = try_marks.AttemptMarks(known)
        self._losses_by_upstream: dict[ids.UpstreamId, list[LostRequest]] = {}
        #: Losses whose upstream seems to have ended, the oldest first.
        self._recent_crashes: collections.deque[LostRequest] = collections.deque()
        self._answers = recent_answers.RecentAnswers()
        self._liveness_checks: set[asyncio.Task[None]] = set()
        self._listeners: list[NoteListener] = []

    def add_listener(self, listener: NoteListener) -> None:
        """Call ``listener`` with each note that is news from here."""
        self._listeners.append(listener)

    def publish_notes(self, request_fingerprints: fingerprints.Fingerprints) -> None:
        """Pass on what is known of a request."""
        for fingerprint in request_fingerprints.each():
            self._publish_note(fingerprint)

    # How a try ends

    def record_lost(self, job: jobs.Job, grant: verdicts.Grant) -> None:
        """Take in that a try broke off after it was sent."""
        loss = LostRequest(
            job.fingerprints(),
            self.marks.record_lost(grant),
            job.balancer,
            grant.upstream,
            grant.kind,
            self.state.clock.now(),
            self._answers.contains(job, self.state.clock.now()),
        )
        for fingerprint in loss.suspect_fingerprints():
            self.quarantine.doubt(fingerprint)
        losses = self._losses_by_upstream.setdefault(grant.upstream.spec.id, [])
        losses.append(loss)
        if len(losses) == 1:
            self._start_liveness_check(grant.upstream.spec)

    def record_answer(self, job: jobs.Job) -> None:
        """Take in that an upstream has answered a request: it did not end."""
        self._answers.add(job, self.state.clock.now())
        if self.quarantine.knows_target(job.target):
            self._clear(job.fingerprints())

    # What became of its upstream

    def clear_false_alarms(self) -> None:
        """
        Clear requests whose upstream has turned out to live; called now and then.

        One that is overloaded may refuse connections for a moment, and still report.
        """
        now = self.state.clock.now()
        while (
            self._recent_crashes
            and self._recent_crashes[0].at <= now - FALSE_ALARM_WINDOW_S
        ):
            self._recent_crashes.popleft()
        for loss in [one for one in self._recent_crashes if _has_reported_since(one)]:
            self._recent_crashes.remove(loss)
            self._clear(loss.request_fingerprints)

    def _start_liveness_check(self, spec: upstreams.UpstreamSpec) -> None:
        task = asyncio.ensure_future(self._check_liveness(spec))
        # Kept, or asyncio might collect it before it has ended.
        self._liveness_checks.add(task)
        task.add_done_callback(self._liveness_checks.discard)

    async def _check_liveness(self, spec: upstreams.UpstreamSpec) -> None:
        liveness = ports.Liveness.SILENT
        try:
            liveness = await self.port.liveness(spec.address, LIVENESS_TIMEOUT_S)
        finally:
            losses = self._losses_by_upstream.pop(spec.id)
            for loss in losses:
                for fingerprint in loss.suspect_fingerprints():
                    self.quarantine.settle(fingerprint)
        if liveness is ports.Liveness.GONE:
            self._handle_crash(losses)

    def _handle_crash(self, losses: list[LostRequest]) -> None:
        self.state.metrics.upstreams_ended.labels(losses[0].service).inc()
        self._eject(losses[0])
        for loss in losses:
            self._recent_crashes.append(loss)
            self._record_crash(loss)
            events.emit(
                events.Event.UPSTREAM_ENDED_UNDER_REQUEST,
                service=loss.service,
                upstream=loss.upstream.spec.id,
                fingerprint=loss.request_fingerprints.content,
                from_caller=loss.request_fingerprints.from_caller,
                kind=loss.kind.value,
                answered_lately=int(loss.answered_lately),
                depth=self.quarantine.note(loss.request_fingerprints.from_caller).depth,
            )

    def _eject(self, loss: LostRequest) -> None:
        """Take an upstream that has ended out of use, as its entry may stay."""
        now = self.state.clock.now()
        if loss.upstream.state not in (
            upstreams.State.EJECTED,
            upstreams.State.LEAVING,
        ):
            loss.balancer.pool.eject(loss.upstream, EJECTION_REASON, now)

    def _record_crash(self, loss: LostRequest) -> None:
        now = self.state.clock.now()
        for fingerprint, mark in zip(
            loss.suspect_fingerprints(), loss.marks, strict=False
        ):
            upstream_id = loss.upstream.spec.id
            if self.quarantine.strike(fingerprint, mark, upstream_id, now):
                self._publish_note(fingerprint)

    def _clear(self, request_fingerprints: fingerprints.Fingerprints) -> None:
        now = self.state.clock.now()
        for fingerprint in request_fingerprints.each():
            if self.quarantine.clear(fingerprint, now):
                self._publish_note(fingerprint)

    def _publish_note(self, fingerprint: ids.Fingerprint) -> None:
        note = self.quarantine.note(fingerprint)
        for listener in self._listeners:
            listener(note)


def _has_reported_since(loss: LostRequest) -> bool:
    return loss.upstream.report_at > loss.at + REPORT_AGE_ERROR_S
