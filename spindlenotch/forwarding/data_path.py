"""
The way of one request from the balancer to an upstream and back.

The front of the package: gets a request its grant, then its tries, and says
of every failure whether the request ran. Used by the callers' ports of both
daemons; relies on the balancer for decisions and on the upstream port for
sending.
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
    """What the data path needs of the process that it runs in."""


class DataPath:
    """
    Carries the requests of one process.

    ``make_headers`` names each try in the upstreams' protocol. ``on_drain_notice`` is
    called when an answer shows that an upstream is draining and this process
    did not know; None where the process announces that by itself. ``known`` are the
    requests that end upstreams; those that this path meets where none are passed in.

    Invariant: every grant that is taken from a balancer is finished exactly
    once, whatever ends the request.
    """

    def __init__(
        self,
        state: PathState,
        port: ports.UpstreamPort,
        make_headers: jobs.AttemptHeadersFactory = jobs.native_attempt_headers,
        on_drain_notice: abc.Callable[[], None] | None = None,
        known: quarantine.Quarantine | None = None,
    ) -> None:
        self.state = state
        self.port = port
        self._on_drain_notice = on_drain_notice
        known = quarantine.Quarantine() if known is None else known
        self.crash_detector = crash_watch.CrashDetector(state, port, known)
        self._trials = trials.Trials(state, self.crash_detector)
        self._grants = granting.Grants(state, self.crash_detector)
        self._sender = sending.Sender(state, port, make_headers)

    async def dispatch(self, job: jobs.Job) -> exchanges.Exchange | outcomes.Refusal:
        """Get a request its answer's head, or a final refusal."""
        try:
            return await self.begin(job)
        finally:
            self.forget(job)

    def forget(self, job: jobs.Job) -> None:
        """Drop what was kept to place further tries of a request."""
        job.balancer.forget(job.call.id)
        self.crash_detector.marks.forget(job.call.id)

    async def begin(self, job: jobs.Job) -> exchanges.Exchange | outcomes.Refusal:
        """
        Do the same for a request that may go on with ``retry``.

        The caller ends it with ``forget``: until then the tries of the call count
        together.
        """
        try:
            # First tries too: what ends an upstream each time comes again under a new
            # id, and no budget of retries bounds it.
            refusal = await self._trials.admit(job)
            if refusal is not None:
                return refusal
            verdict = await self._grants.acquire(job)
            if isinstance(verdict, outcomes.Refusal):
                return verdict
            # It may have become known while the request waited for its grant.
            refusal = self._trials.refusal(job)
            if refusal is not None:
                self._grants.finish(job, verdict, upstreams.Result.CANCELLED, None)
                return refusal
            return await self._attempts(job).run(verdict)
        finally:
            self._trials.end_trial(job)

    async def retry(
        self, job: jobs.Job, failed: verdicts.Grant
    ) -> exchanges.Exchange | outcomes.Refusal:
        """
        Retry a request whose answer was no good once its body was read.

        A request whose own body was streamed is not retried: its body is spent.
        """
        try:
            grant = await self._attempts(job).next_grant(failed, known_not_run=False)
            if grant is None:
                return outcomes.unknown(outcomes.Reason.CONNECTION_LOST)
            return await self._attempts(job).run(grant)
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
