"""
What was known of requests as their tries were sent, until the tries have ended.

Whether one end of an upstream followed from another shows only by that: tries that ran
side by side knew nothing of each other. Pure.
"""

from spindlenotch import ids
from spindlenotch.decisions import quarantine, verdicts
from spindlenotch.forwarding import jobs

#: Marks of a try, in the order of ``Fingerprints.each``.
Marks = tuple[quarantine.Mark, quarantine.Mark]
AttemptKey = tuple[ids.CallId, ids.UpstreamId]

NO_MARKS: Marks = (quarantine.UNMARKED, quarantine.UNMARKED)


class AttemptMarks:
    """The marks of the tries under way, and the calls that have used up theirs."""

    def __init__(self, known: quarantine.Quarantine) -> None:
        self.quarantine = known
        self._marks_by_attempt: dict[AttemptKey, Marks] = {}
        #: Calls that were lost with an upstream while they were suspect already.
        self._calls_without_retry: set[ids.CallId] = set()

    def record_sent(self, job: jobs.Job, grant: verdicts.Grant) -> None:
        """Keep what is known of a request as a try of it is sent."""
        if self.quarantine.knows_target(job.target):
            content, from_caller = job.fingerprints().each()
            marks = (self.quarantine.mark(content), self.quarantine.mark(from_caller))
            self._marks_by_attempt[_key(grant)] = marks

    def record_lost(self, grant: verdicts.Grant) -> Marks:
        """Return the marks of a try that broke off."""
        marks = self._marks_by_attempt.get(_key(grant), NO_MARKS)
        if any(mark.depth for mark in marks):
            self._calls_without_retry.add(grant.call.id)
        return marks

    def may_retry(self, call_id: ids.CallId) -> bool:
        """
        Tell whether a call may be sent again after it was lost with an upstream.

        Not where upstreams had ended under its request before it was sent: each retry
        of a request that ends what runs it costs one more.
        """
        return call_id not in self._calls_without_retry

    def drop(self, grant: verdicts.Grant) -> None:
        """Drop what was kept of a try."""
        self._marks_by_attempt.pop(_key(grant), None)

    def forget(self, call_id: ids.CallId) -> None:
        """Drop what was kept of a call."""
        self._calls_without_retry.discard(call_id)


def _key(grant: verdicts.Grant) -> AttemptKey:
    return grant.call.id, grant.upstream.spec.id
