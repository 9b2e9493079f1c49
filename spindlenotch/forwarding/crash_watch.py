"""
Finds out whether an upstream ended while it ran a request.

A connection that breaks tells nothing of the process behind it. So the upstream is
asked at once over a new connection, once for all requests that broke off there.
"""

import asyncio
import typing

import msgspec

from spindlenotch import events, ids, metrics, ports
from spindlenotch.decisions import verdicts
from spindlenotch.forwarding import jobs
from spindlenotch.kernel import upstreams

#: Longest wait for the answer, in seconds: several round trips between regions, 16 ms
#: each, and a probe's work, 6 ms.
ANSWER_LIMIT_S = 0.1


class WatchState(typing.Protocol):
    """What the watch needs of the process that it runs in."""

    metrics: metrics.Metrics


class Loss(msgspec.Struct, frozen=True):
    """A request whose connection to an upstream broke while it ran there."""

    job: jobs.Job
    grant: verdicts.Grant


class CrashWatch:
    """The upstreams that were lost under requests of one process."""

    def __init__(self, state: WatchState, port: ports.UpstreamPort) -> None:
        self.state = state
        self.port = port
        self._losses_by_upstream: dict[ids.UpstreamId, list[Loss]] = {}
        self._asking: set[asyncio.Task[None]] = set()

    def lost(self, job: jobs.Job, grant: verdicts.Grant) -> None:
        """Take in that a try broke off after it was sent."""
        spec = grant.upstream.spec
        losses = self._losses_by_upstream.setdefault(spec.id, [])
        losses.append(Loss(job, grant))
        if len(losses) == 1:
            task = asyncio.ensure_future(self._ask(spec))
            # Kept, or asyncio might collect it before it has ended.
            self._asking.add(task)
            task.add_done_callback(self._asking.discard)

    async def _ask(self, spec: upstreams.UpstreamSpec) -> None:
        liveness = await self.port.liveness(spec.address, ANSWER_LIMIT_S)
        losses = self._losses_by_upstream.pop(spec.id)
        if liveness is ports.Liveness.GONE:
            self._report(losses)

    def _report(self, losses: list[Loss]) -> None:
        self.state.metrics.upstreams_ended.labels(
            losses[0].job.balancer.service.name
        ).inc()
        for loss in losses:
            known = loss.job.fingerprints()
            events.emit(
                events.Event.UPSTREAM_ENDED_UNDER_REQUEST,
                service=loss.job.balancer.service.name,
                upstream=loss.grant.upstream.spec.id,
                fingerprint=known.content,
                from_caller=known.from_caller,
                kind=loss.grant.kind.value,
            )
