"""
The data path of a request from the balancer to an upstream and back.

The entry point of the package: acquires a grant for a request, makes its
attempts, and tells for every failure whether the request may have run. Used by
the callers' ports of both daemons; relies on the balancer for decisions and on
the upstream port for sending.
"""

import typing
from collections import abc

from spindlenotch import ports
from spindlenotch.decisions import quarantine, verdicts
from spindlenotch.forwarding import (
    attempts,
    crash_watch,
    exchanges,
    granting,
    jobs,
    sending,
    trials,
)
from spindlenotch.kernel import outcomes, upstreams


class PathState(
    granting.GrantState,
    attempts.UpstreamState,
    crash_watch.DetectorState,
    typing.Protocol,
):
    """The process state that the data path uses."""


class DataPath:
    """
    Forwards the requests of one process to upstreams.

    ``make_headers`` builds the headers of each attempt in the upstreams' protocol.
    ``on_drain_notice`` is called when an answer shows that an upstream is draining and
    this process did not know; None if the process announces that itself. ``known``
    holds the requests that are suspected of crashing upstreams; without it, this data
    path keeps a set of its own. ``links`` tells a crash from lost links of this host;
    without it, every broken connection may be a crash.

    Invariant: every grant that is acquired from a balancer is finished exactly
    once, however the request ends.
    """

    def __init__(
        self,
        state: PathState,
        port: ports.UpstreamPort,
        make_headers: jobs.AttemptHeadersFactory = jobs.native_attempt_headers,
        on_drain_notice: abc.Callable[[], None] | None = None,
        known: quarantine.Quarantine | None = None,
        links: crash_watch.Links | None = None,
    ) -> None:
        self.state = state
        self.port = port
        self._on_drain_notice = on_drain_notice
        known = quarantine.Quarantine() if known is None else known
        self.crash_detector = crash_watch.CrashDetector(state, port, known, links)
        self._trials = trials.Trials(state, self.crash_detector)
        self._grants = granting.Grants(state, self.crash_detector)
        self._sender = sending.Sender(state, port, make_headers)

    async def dispatch(self, job: jobs.Job) -> exchanges.Exchange | outcomes.Refusal:
        """Return the answer of a request once its head is read, or a final refusal."""
        try:
            return await self.begin(job)
        finally:
            self.forget(job)

    def release(self, job: jobs.Job) -> None:
        """Return the upstream slots of a request that failed unexpectedly."""
        self._grants.release(job)

    def forget(self, job: jobs.Job) -> None:
        """Drop the state that is kept for further attempts of a request."""
        job.balancer.forget(job.call.id)
        self.crash_detector.snapshots.forget(job.call.id)

    async def begin(self, job: jobs.Job) -> exchanges.Exchange | outcomes.Refusal:
        """
        Dispatch a request that may be continued with ``retry``.

        The caller must call ``forget`` at the end; until then all attempts of the call
        are counted together.
        """
        try:
            # Applies to first attempts too: a request that crashes its upstream each
            # time is sent again under a new id, which no retry budget limits.
            refusal = await self._trials.admit(job)
            if refusal is not None:
                return refusal
            verdict = await self._grants.acquire(job)
            if isinstance(verdict, outcomes.Refusal):
                return verdict
            # The request may have been quarantined while it waited for its grant.
            refusal = self._trials.refusal(job)
            if refusal is not None:
                self._grants.finish(job, verdict, upstreams.Result.CANCELLED, None)
                return refusal
            return await self._attempts(job).run(verdict)
        except Exception:
            self._grants.release(job)
            raise
        finally:
            self._trials.end_trial(job)

    async def retry(
        self, job: jobs.Job, failed: verdicts.Grant
    ) -> exchanges.Exchange | outcomes.Refusal:
        """
        Retry a request whose answer turned out to be bad when its body was read.

        A request with a streamed body is not retried, as its body can be read only
        once.
        """
        try:
            grant = await self._attempts(job).next_grant(failed, known_not_run=False)
            if grant is None:
                return outcomes.unknown(outcomes.Reason.CONNECTION_LOST)
            return await self._attempts(job).run(grant)
        except Exception:
            self._grants.release(job)
            raise
        finally:
            self._trials.end_trial(job)

    def _attempts(self, job: jobs.Job) -> attempts.Attempts:
        return attempts.Attempts(
            job=job,
            state=self.state,
            grants=self._grants,
            sender=self._sender,
            crash_detector=self.crash_detector,
            trials=self._trials,
            on_drain_notice=self._on_drain_notice,
        )
