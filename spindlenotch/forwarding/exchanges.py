"""
An upstream's answer while its body is being read.

Holds the upstream slot of its attempt until the body has ended in any way, and
then releases it with the result.
"""

import asyncio

import msgspec

from spindlenotch import ports
from spindlenotch.decisions import verdicts
from spindlenotch.forwarding import classification, crash_watch, granting, jobs
from spindlenotch.kernel import upstreams


class Exchange(msgspec.Struct):
    """
    An answer whose head is good; its upstream slot is held until ``end``.

    Invariant: its grant is finished exactly once.
    """

    grants: granting.Grants
    crash_detector: crash_watch.CrashDetector
    job: jobs.Job
    grant: verdicts.Grant
    answer: ports.UpstreamAnswer
    ended: bool = False

    async def chunk(self) -> bytes | ports.UpstreamFault:
        """Return the next chunk of the body; the last one ends the exchange."""
        try:
            body_chunk = await self.answer.chunk()
        except asyncio.CancelledError:
            self.end(upstreams.Result.CANCELLED)
            raise
        if isinstance(body_chunk, ports.UpstreamFault):
            self.crash_detector.record_lost(self.job, self.grant)
        elif not body_chunk:
            self.crash_detector.record_answer(self.job)
        if not body_chunk or isinstance(body_chunk, ports.UpstreamFault):
            self.end(classification.classify_body(self.answer, body_chunk))
        return body_chunk

    def end(self, result: upstreams.Result) -> None:
        """Release the slot; calls after the first do nothing."""
        if self.ended:
            return
        self.ended = True
        if result is not upstreams.Result.ANSWERED:
            self.answer.abandon()
        self.grants.finish(self.job, self.grant, result, self.answer.report)
