"""
Records what was known of each request when an attempt of it was sent.

The snapshots tell whether one crash followed another: concurrent attempts were sent
without knowledge of each other's crashes. They are dropped when the attempt ends.
Performs no I/O and reads no clock.
"""

from spindlenotch import ids
from spindlenotch.decisions import quarantine, verdicts
from spindlenotch.forwarding import jobs

#: Snapshots of an attempt, in the order of ``Fingerprints.as_tuple``.
Snapshots = tuple[quarantine.CrashSnapshot, quarantine.CrashSnapshot]
AttemptKey = tuple[ids.CallId, ids.UpstreamId]

EMPTY_SNAPSHOTS: Snapshots = (quarantine.EMPTY_SNAPSHOT, quarantine.EMPTY_SNAPSHOT)


class AttemptSnapshots:
    """
    The snapshots of the attempts in flight, and the calls that may not be retried.
    """

    def __init__(self, known: quarantine.Quarantine) -> None:
        self.quarantine = known
        self._snapshots_by_attempt: dict[AttemptKey, Snapshots] = {}
        #: Calls that lost their upstream when they were suspect already.
        self._calls_without_retry: set[ids.CallId] = set()

    def record_sent(self, job: jobs.Job, grant: verdicts.Grant) -> None:
        """Record the snapshots of a request when an attempt of it is sent."""
        if self.quarantine.knows_target(job.target):
            content, from_caller = job.fingerprints().as_tuple()
            snapshots = (
                self.quarantine.snapshot(content),
                self.quarantine.snapshot(from_caller),
            )
            self._snapshots_by_attempt[_key(grant)] = snapshots

    def record_lost(self, grant: verdicts.Grant) -> Snapshots:
        """Record that an attempt lost its connection; return its snapshots."""
        snapshots = self._snapshots_by_attempt.get(_key(grant), EMPTY_SNAPSHOTS)
        if any(snapshot.depth for snapshot in snapshots):
            self._calls_without_retry.add(grant.call.id)
        return snapshots

    def may_retry(self, call_id: ids.CallId) -> bool:
        """
        Return whether a call may be retried after it lost its upstream.

        It may not if upstreams had crashed under the same request before the attempt
        was sent: each retry of a request that crashes upstreams costs one more.
        """
        return call_id not in self._calls_without_retry

    def drop(self, grant: verdicts.Grant) -> None:
        """Drop the snapshots of an attempt."""
        self._snapshots_by_attempt.pop(_key(grant), None)

    def forget(self, call_id: ids.CallId) -> None:
        """Drop what was recorded of a call."""
        self._calls_without_retry.discard(call_id)


def _key(grant: verdicts.Grant) -> AttemptKey:
    return grant.call.id, grant.upstream.spec.id
