"""
Admission control: which calls wait, and which are refused on arrival or while queued.

Applies the rules of ``queueing`` to the queue of one service and gives each refusal its
reason and the instant from which to retry. Owns nothing: pool and queue belong to the
balancer.
"""

from collections import abc

from spindlenotch import ids
from spindlenotch.decisions import queueing, verdicts
from spindlenotch.kernel import outcomes, upstream_pool, wait_queue


class Admission:
    """Admits calls to the queue of one service and refuses the others."""

    def __init__(self, pool: upstream_pool.Pool, queue: wait_queue.WaitQueue) -> None:
        self.pool = pool
        self.queue = queue

    def admit(
        self, call: wait_queue.Call, ahead: int, now: ids.Instant
    ) -> verdicts.Waiting | outcomes.Refusal:
        """Queue a call behind ``ahead`` others, or refuse it at once."""
        rule = queueing.refusal_rule_for_new(self.pool, call, ahead, now)
        if rule is not None:
            return self._refuse_early(rule, now)
        return self._enqueue(call, now)

    def refuse_hopeless(self, now: ids.Instant) -> list[verdicts.Settlement]:
        """Refuse the waiting calls that will not get a slot in time."""
        given_up = []
        for ahead, call in enumerate(list(self.queue)):
            rule = queueing.refusal_rule_for_waiting(self.pool, call, ahead, now)
            if rule is not None:
                refusal = self._refuse_early(rule, now)
                given_up.append(verdicts.Settlement(call, refusal))
        for settlement in given_up:
            self.queue.remove(settlement.call.id)
            self.pool.refused_share.add(1.0)
        return given_up

    def refuse_expired(self, now: ids.Instant) -> list[verdicts.Settlement]:
        """Refuse the waiting calls whose deadline has passed."""
        refusal = outcomes.not_run(outcomes.Reason.DEADLINE_PASSED)
        return [
            verdicts.Settlement(call, refusal) for call in self.queue.pop_expired(now)
        ]

    def refuse_stranded(
        self,
        usable_at: abc.Callable[[wait_queue.Call, ids.Instant], ids.Instant],
        now: ids.Instant,
    ) -> list[verdicts.Settlement]:
        """
        Refuse the waiting calls for which no upstream becomes usable in time.

        ``usable_at`` is asked once for all calls with the same allowed regions.
        """
        refusal = outcomes.not_run(
            outcomes.Reason.NO_UPSTREAM, self.pool.usable_again_at(now)
        )
        usable_at_by_regions: dict[frozenset[ids.RegionName] | None, ids.Instant] = {}
        for call in self.queue:
            if call.allowed_regions not in usable_at_by_regions:
                usable_at_by_regions[call.allowed_regions] = usable_at(call, now)
        stranded = [
            call
            for call in self.queue
            if not call.may_wait_for(usable_at_by_regions[call.allowed_regions], now)
        ]
        for call in stranded:
            self.queue.remove(call.id)
        return [verdicts.Settlement(call, refusal) for call in stranded]

    def _enqueue(
        self, call: wait_queue.Call, now: ids.Instant
    ) -> verdicts.Waiting | outcomes.Refusal:
        if len(self.queue) < self.queue.limit:
            self.queue.push(call)
            return verdicts.Waiting(call)
        retry_at = queueing.retry_at(self.pool, len(self.queue), now)
        refusal = outcomes.not_run(outcomes.Reason.QUEUE_FULL, retry_at)
        displaced = queueing.displaced_by(self.queue, call)
        if displaced is None:
            return refusal
        self.queue.remove(displaced.id)
        self.queue.push(call)
        return verdicts.Waiting(call, verdicts.Settlement(displaced, refusal))

    def _refuse_early(
        self, rule: outcomes.RefusalRule, now: ids.Instant
    ) -> outcomes.Refusal:
        """Refuse a call that, by ``rule``, will not get a slot in time."""
        return outcomes.not_run(
            outcomes.Reason.DEADLINE_HOPELESS,
            queueing.retry_at(self.pool, len(self.queue), now),
            rule=rule,
        )
