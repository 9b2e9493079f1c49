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
from spindlenotch.decisions import verdicts
from spindlenotch.forwarding import (
    crash_watch,
    exchanges,
    granting,
    jobs,
    race,
    sending,
)
from spindlenotch.kernel import outcomes


class PathState(granting.GrantState, race.UpstreamState, typing.Protocol):
    """What the data path needs of the process that it runs in."""


class DataPath:
    """
    Carries the requests of one process.

    ``label`` names each try in the upstreams' protocol. ``on_drain_notice`` is
    called when an answer shows that an upstream is draining and this process
    did not know; None where the process announces that by itself.

    Invariant: every grant that is taken from a balancer is finished exactly
    once, whatever ends the request.
    """

    def __init__(
        self,
        state: PathState,
        port: ports.UpstreamPort,
        label: jobs.Labeller = jobs.own_labels,
        on_drain_notice: abc.Callable[[], None] | None = None,
    ) -> None:
        self.state = state
        self.port = port
        self._on_drain_notice = on_drain_notice
        self._grants = granting.Grants(state)
        self._sender = sending.Sender(state, port, label)
        self._watch = crash_watch.CrashWatch(state, port)

    async def dispatch(self, job: jobs.Job) -> exchanges.Exchange | outcomes.Refusal:
        """Get a request its answer's head, or a final refusal."""
        try:
            return await self.begin(job)
        finally:
            job.balancer.forget(job.call.id)

    async def begin(self, job: jobs.Job) -> exchanges.Exchange | outcomes.Refusal:
        """
        Do the same for a request that may go on with ``again``.

        The caller ends it with ``forget`` of the job's balancer: until then
        the tries of the call count together.
        """
        verdict = await self._grants.take(job)
        if isinstance(verdict, outcomes.Refusal):
            return verdict
        return await self._race(job).run(verdict)

    async def again(
        self, job: jobs.Job, failed: verdicts.Grant
    ) -> exchanges.Exchange | outcomes.Refusal:
        """
        Retry a request whose answer was no good once its body was read.

        A request whose own body was streamed is not retried: its body is spent.
        """
        grant = None
        if job.body_is_whole:
            grant = job.balancer.retry(failed, self.state.clock.now())
        if grant is None:
            return outcomes.unknown(outcomes.Reason.CONNECTION_LOST)
        return await self._race(job).run(grant)

    def _race(self, job: jobs.Job) -> race.Race:
        return race.Race(
            job=job,
            state=self.state,
            grants=self._grants,
            sender=self._sender,
            watch=self._watch,
            on_drain_notice=self._on_drain_notice,
        )
