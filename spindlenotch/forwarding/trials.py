"""
Admits suspect requests, which may crash their upstream, one call at a time.

While a request is suspect, one call of it in this process is on trial and identical
calls wait for the result. Mostly the upstream has crashed for another reason; the trial
is then answered, which clears all of them. A quarantined request is refused at once.
``decisions.quarantine`` decides which requests are suspect or quarantined.
"""

import asyncio
import typing

import msgspec

from spindlenotch import clock, ids
from spindlenotch.decisions import quarantine
from spindlenotch.forwarding import crash_watch, jobs
from spindlenotch.kernel import outcomes

#: Seconds for which a trial holds up identical calls; after that the next one is
#: admitted beside it. Requests that crashed upstreams did so within 0.15 s, and a slow
#: trial must not delay the others.
EXCLUSIVE_TRIAL_S = 0.5
#: Upper bound of the retry delay given to callers of a quarantined request, in seconds:
#: it may be released at any time, and a refusal costs little.
MAX_RETRY_AFTER_S = 60.0
#: Interval at which a waiting call checks its state again, in seconds: a liveness check
#: is answered within a few milliseconds, which may end the wait.
TRIAL_CHECK_INTERVAL_S = 0.02


class TrialState(typing.Protocol):
    """The process state that trials use."""

    clock: clock.Clock


class Trial(msgspec.Struct):
    """The call on trial; ``ended`` is set when the trial has ended."""

    call: ids.CallId
    until: ids.Instant
    ended: asyncio.Event
    #: Whether this is the recheck, the one further call of a quarantined request.
    is_recheck: bool = False


class Trials:
    """
    The trials of one process, by the content fingerprint of the request.

    Invariant: the next call of a suspect request is admitted only once the trial before
    it has ended or ``EXCLUSIVE_TRIAL_S`` has passed.
    """

    def __init__(
        self, state: TrialState, crash_detector: crash_watch.CrashDetector
    ) -> None:
        self.state = state
        self.crash_detector = crash_detector
        self.quarantine = crash_detector.quarantine
        self._trial_by_content: dict[ids.Fingerprint, Trial] = {}
        self._content_by_call: dict[ids.CallId, ids.Fingerprint] = {}

    def status(self, job: jobs.Job) -> quarantine.CrashStatus:
        """Return whether a request is clear, suspect or quarantined."""
        if not self.quarantine.knows_target(job.target):
            return quarantine.CrashStatus.CLEAR
        return self.quarantine.status(job.fingerprints())

    async def admit(self, job: jobs.Job) -> outcomes.Refusal | None:
        """Wait until a call may be sent, or return why it may not."""
        while (status := self.status(job)) is not quarantine.CrashStatus.CLEAR:
            now = self.state.clock.now()
            if status is quarantine.CrashStatus.QUARANTINED:
                return self._recheck_or_refuse(job, now)
            trial = self._trial_by_content.get(job.fingerprints().content)
            if trial is None or trial.until <= now or trial.call == job.call.id:
                self._start_trial(job, now)
                return None
            wait_until = min(job.call.wait_until, job.call.deadline)
            if wait_until <= now:
                return outcomes.not_run(outcomes.Reason.ON_TRIAL, trial.until)
            await _wait(trial, min(TRIAL_CHECK_INTERVAL_S, wait_until - now))
        return None

    def refusal(self, job: jobs.Job) -> outcomes.Refusal | None:
        """Return the refusal of a quarantined request, or None if it may be sent."""
        if self.status(job) is not quarantine.CrashStatus.QUARANTINED:
            return None
        request_fingerprints = job.fingerprints()
        trial = self._trial_by_content.get(request_fingerprints.content)
        if trial is not None and trial.is_recheck and trial.call == job.call.id:
            return None
        latest = ids.later(self.state.clock.now(), MAX_RETRY_AFTER_S)
        until = min(latest, self.quarantine.until(request_fingerprints))
        return outcomes.not_run(outcomes.Reason.QUARANTINED, until)

    def _recheck_or_refuse(
        self, job: jobs.Job, now: ids.Instant
    ) -> outcomes.Refusal | None:
        request_fingerprints = job.fingerprints()
        if self.quarantine.take_recheck(request_fingerprints, now):
            self.crash_detector.publish_records(request_fingerprints)
            self._start_trial(job, now, is_recheck=True)
        return self.refusal(job)

    def _start_trial(
        self, job: jobs.Job, now: ids.Instant, *, is_recheck: bool = False
    ) -> None:
        until = ids.later(now, EXCLUSIVE_TRIAL_S)
        content = job.fingerprints().content
        trial = Trial(job.call.id, until, asyncio.Event(), is_recheck)
        self._trial_by_content[content] = trial
        self._content_by_call[job.call.id] = content

    def end_trial(self, job: jobs.Job) -> None:
        """End the trial of a call, if it is on one, so that the next may start."""
        content = self._content_by_call.pop(job.call.id, None)
        if content is None:
            return
        trial = self._trial_by_content.get(content)
        if trial is not None and trial.call == job.call.id:
            del self._trial_by_content[content]
            trial.ended.set()


async def _wait(trial: Trial, limit_s: float) -> None:
    try:
        async with asyncio.timeout(limit_s):
            await trial.ended.wait()
    except TimeoutError:
        # The caller of this function checks the request's state again.
        return
