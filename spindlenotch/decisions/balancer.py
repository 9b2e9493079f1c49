"""
The balancer of one service: entry point of the decision logic.

Owns the queue, the budgets and the upstreams each call was sent to. The rules are
in the modules beside it (``admission``, ``retrying``, ``hedging``, the selection
policies); the state of the upstreams is in ``upstream_pool``. Both daemons pass in
calls, results of calls and the current instant, and carry out the grants that it
returns.
"""

import collections
import random

import msgspec

from spindlenotch import ids, selection
from spindlenotch.decisions import (
    admission,
    availability,
    hedging,
    retrying,
    silence,
    traffic_split,
    verdicts,
)
from spindlenotch.kernel import (
    copy_tracker,
    ejection,
    outcomes,
    ownership,
    service_policy,
    upstream_pool,
    upstreams,
    wait_queue,
)

#: Decisions kept for ``explain``.
DECISIONS_KEPT = 2000


class Balancer:
    """
    Decides on the calls of one service in one process.

    Invariants: a grant names an upstream that is listed, not leaving and not
    ejected; a call is never granted twice to the same upstream; each grant occupies its
    slot until ``finish`` or ``release``, even if recording its result fails; a call
    that may have run is granted again only if it is repeatable; every further grant is
    taken from a budget, except those that ``ExtraBudgets.charges_drain_retries``
    exempts. ``split`` is None unless the service is rolling out a version.
    """

    def __init__(
        self,
        service: service_policy.ServicePolicy,
        local_member: ownership.Member,
        rng: random.Random,
    ) -> None:
        self.service = service
        self.pool = upstream_pool.Pool(service, local_member, rng)
        self.policy = selection.POLICIES.get(service.selection)()
        self.queue = wait_queue.WaitQueue(service.queue_limit)
        self.admission = admission.Admission(self.pool, self.queue)
        self.extra = service.extra.create()
        self.split: traffic_split.TrafficSplit | None = None
        self.retries = self.extra.retries
        self.hedges = self.extra.hedges
        self.copies = copy_tracker.CopyTracker(self.extra)
        self.attempted_by_call: dict[ids.CallId, set[ids.UpstreamId]] = {}
        self._sent_to_by_call: dict[ids.CallId, list[upstreams.Upstream]] = {}
        self._unreached_by_call: collections.Counter[ids.CallId] = collections.Counter()
        self.decisions: collections.deque[verdicts.Decision] = collections.deque(
            maxlen=DECISIONS_KEPT
        )

    def update_service(self, service: service_policy.ServicePolicy) -> None:
        """Apply a changed policy; estimates and calls are kept."""
        if service.selection != self.service.selection:
            self.policy = selection.POLICIES.get(service.selection)()
        self.service = service
        self.pool.service = service
        self.queue.limit = service.queue_limit
        service.extra.update(self.extra)

    def offer(
        self, call: wait_queue.Call, now: ids.Instant
    ) -> verdicts.Grant | verdicts.Waiting | outcomes.Refusal:
        """Decide on a new call."""
        self.extra.earn(now)
        if call.deadline <= now:
            return outcomes.not_run(outcomes.Reason.DEADLINE_PASSED)
        if not call.may_wait_for(self._usable_at(call, now), now):
            return outcomes.not_run(
                outcomes.Reason.NO_UPSTREAM, self.pool.usable_again_at(now)
            )
        verdict = self._place(call, now)
        refused = isinstance(verdict, outcomes.Refusal)
        self.pool.refused_share.add(1.0 if refused else 0.0)
        return verdict

    def finish(
        self,
        grant: verdicts.Grant,
        result: upstreams.Result,
        report: upstreams.LoadReport | None,
        now: ids.Instant,
    ) -> list[verdicts.Settlement]:
        """Record the result of a grant and place waiting calls on the freed slot."""
        try:
            self._record(grant, result, report, now)
        finally:
            self._free(grant.call.id, grant.upstream, now)
        return self.settle(now)

    def release(
        self, call_id: ids.CallId, now: ids.Instant
    ) -> list[verdicts.Settlement]:
        """
        Free the slots of a call's grants that nobody will finish.

        Waiting calls are placed on them. Does nothing if all grants are finished.
        """
        if call_id not in self._sent_to_by_call:
            return []
        for upstream in list(self._sent_to_by_call[call_id]):
            self._free(call_id, upstream, now)
        return self.settle(now)

    def _free(
        self, call_id: ids.CallId, upstream: upstreams.Upstream, now: ids.Instant
    ) -> None:
        """Free the slot of a grant; does nothing if it is free already."""
        sent_to = self._sent_to_by_call.get(call_id)
        if sent_to is None or upstream not in sent_to:
            return
        if len(sent_to) == 1:
            del self._sent_to_by_call[call_id]
        else:
            sent_to.remove(upstream)
        self.pool.in_flight -= 1
        if call_id in upstream.sent_at_by_call:
            upstream.ended(call_id, upstreams.Result.CANCELLED, 0.0, now)

    def _record(
        self,
        grant: verdicts.Grant,
        result: upstreams.Result,
        report: upstreams.LoadReport | None,
        now: ids.Instant,
    ) -> None:
        upstream = grant.upstream
        answered = result is upstreams.Result.ANSWERED
        took_s = now - grant.sent_at
        typical_s = self.pool.latencies.typical_s(grant.call.latency_key)
        if report is not None:
            if answered:
                self._record_contention(grant, report, took_s / typical_s)
            self.pool.reported(upstream, report, now)
            self.policy.reported(self.pool, upstream, report.queued)
        # The slowdown may have changed while the call ran: take the mean of both ends.
        slowdown = (grant.slowdown + upstream.slowdown(now)) / 2
        expected_s = typical_s * slowdown
        upstream.ended(grant.call.id, result, expected_s, now)
        if result is not upstreams.Result.CANCELLED:
            self.copies.ended(grant.call.id, upstream, now)
        if result is upstreams.Result.CONNECT_FAILED:
            self._unreached_by_call[grant.call.id] += 1
        if self.split is not None:
            expected = traffic_split.ExpectedLatency(typical_s, slowdown)
            self.split.ended(grant, result, expected, now)
        if answered:
            latency_ratio = took_s / expected_s
            self.pool.latency_ratio.add(min(upstreams.MAX_LATENCY_RATIO, latency_ratio))
        self.pool.completions.add(now)
        if self.split is None or not self.split.is_canary(upstream):
            # Otherwise seven failures in a row of a canary version would stop all
            # retries of the service.
            self.pool.record_service_result(result)
        self.pool.record_result(upstream, grant.call.latency_key, result, took_s, now)

    def _record_contention(
        self, grant: verdicts.Grant, report: upstreams.LoadReport, latency_ratio: float
    ) -> None:
        self.pool.contention.add(
            slots=grant.upstream.slots,
            load_sent=grant.load,
            load_answered=report.running + report.queued + 1,
            slowdown=max(grant.slowdown, report.slowdown),
            latency_ratio=latency_ratio,
        )

    def forget(self, call_id: ids.CallId) -> None:
        """Drop the state kept for placing further attempts of a call."""
        self.attempted_by_call.pop(call_id, None)
        self._unreached_by_call.pop(call_id, None)
        self.copies.forget(call_id)

    def settle(self, now: ids.Instant) -> list[verdicts.Settlement]:
        """Refuse expired calls, then place waiting calls while there is room."""
        settled = self.admission.refuse_expired(now)
        while (call := self.queue.head()) is not None:
            grant = self._grant(call, verdicts.Kind.FIRST, now)
            if grant is None:
                break
            self.queue.take(call)
            settled.append(verdicts.Settlement(call, grant))
        settled.extend(self._place_remote(now))
        if len(self.queue) and (
            self.pool.remote_order or self._usable_at(None, now) > now
        ):
            settled.extend(self.admission.refuse_stranded(self._usable_at, now))
        return settled

    def refuse_hopeless(self, now: ids.Instant) -> list[verdicts.Settlement]:
        """
        Refuse the waiting calls that will not get a slot in time.

        Called periodically while calls wait. They get their final answer now rather
        than at the deadline, with the instant from which to retry. A call for which
        another region has room is sent there instead.
        """
        return [
            self._remote_instead(settlement, now)
            for settlement in self.admission.refuse_hopeless(now)
        ]

    def next_dispatch_at(self, now: ids.Instant) -> ids.Instant:
        """Return when the first waiting call is due to be sent; NEVER if not known."""
        schedule = self.pool.dispatch_schedule(now) if len(self.queue) else None
        return ids.NEVER if schedule is None else schedule.at(0)

    def withdraw(self, call_id: ids.CallId) -> None:
        """Remove a call from the queue after its caller has disconnected."""
        self.queue.remove(call_id)

    def retry(
        self, grant: verdicts.Grant, now: ids.Instant, *, known_not_run: bool = False
    ) -> verdicts.Grant | None:
        """
        Place another attempt of a failed call, if it is allowed one.

        ``known_not_run``: the upstream said that this attempt has not run and never
        will, or no connection to it was made.
        """
        call = grant.call
        attempts = retrying.Attempts(
            sent=len(self.attempted_by_call.get(call.id, ())),
            unreached=self._unreached_by_call[call.id],
        )
        allowed = retrying.is_allowed(
            self.pool, call, attempts, now, known_not_run=known_not_run
        )
        if not allowed:
            return None
        drains = grant.upstream.state is upstreams.State.LEAVING
        if known_not_run and drains and not self.extra.charges_drain_retries:
            return self._grant(call, verdicts.Kind.RETRY, now)
        return self._repeat(grant, verdicts.Kind.RETRY, now)

    def next_check(self, grant: verdicts.Grant, now: ids.Instant) -> ids.Instant:
        """Return when to check next whether the answer is overdue."""
        interval_s = hedging.check_interval_s(
            self.pool, grant.upstream, grant.call.latency_key
        )
        return ids.later(now, interval_s)

    def may_have_crashed(self, grant: verdicts.Grant, now: ids.Instant) -> bool:
        """Return whether a grant's upstream may have crashed while running it."""
        p95_s = self.pool.latencies.p95_s(grant.call.latency_key)
        return silence.may_have_crashed(grant.upstream, grant.sent_at, p95_s, now)

    def hedge(self, grant: verdicts.Grant, now: ids.Instant) -> verdicts.Grant | None:
        """Place a second copy of a call whose answer is overdue, if allowed."""
        self._eject_if_hung(grant, now)
        call = grant.call
        attempts = len(self.attempted_by_call.get(call.id, ()))
        if not hedging.is_allowed(self.pool, call, attempts, len(self.queue)):
            return None
        overdue = hedging.is_overdue(
            self.pool, grant.upstream, call.latency_key, grant.sent_at, now
        )
        return self._repeat(grant, verdicts.Kind.HEDGE, now) if overdue else None

    def _repeat(
        self, before: verdicts.Grant, kind: verdicts.Kind, now: ids.Instant
    ) -> verdicts.Grant | None:
        """Place one more copy of a call, if its budget allows it."""
        self.copies.settle_read(now)
        budget = self.hedges if kind is verdicts.Kind.HEDGE else self.retries
        if not budget.available(now):
            return None
        again = self._grant(before.call, kind, now)
        if again is None:
            return None
        call_id = before.call.id
        # A retry follows an attempt that has ended; a hedge runs beside one that has
        # not.
        is_read = kind is verdicts.Kind.RETRY
        self.copies.record_first(
            call_id, before.upstream, before.sent_at, is_read=is_read
        )
        self.copies.sent(call_id, again.upstream, now)
        return msgspec.structs.replace(again, taken_from=budget.spend(now))

    def _place(
        self, call: wait_queue.Call, now: ids.Instant
    ) -> verdicts.Grant | verdicts.Waiting | outcomes.Refusal:
        ahead = self.queue.ahead_of(call)
        if ahead == 0:
            grant = self._grant(call, verdicts.Kind.FIRST, now)
            if grant is not None:
                return grant
        verdict = self.admission.admit(call, ahead, now)
        if isinstance(verdict, outcomes.Refusal):
            return self._grant_remote(call, now) or verdict
        return verdict

    def _place_remote(self, now: ids.Instant) -> list[verdicts.Settlement]:
        """
        Place the waiting calls that may leave their region by now.

        Once a call finds no room, others with the same allowed regions are skipped.
        """
        sent: list[verdicts.Settlement] = []
        full: set[frozenset[ids.RegionName] | None] = set()
        for call in list(self.queue) if self.pool.remote_order else ():
            if call.cross_region_from > now or call.allowed_regions in full:
                continue
            grant = self._grant(call, verdicts.Kind.FIRST, now)
            if grant is None:
                full.add(call.allowed_regions)
                continue
            self.queue.take(call)
            sent.append(verdicts.Settlement(call, grant))
        return sent

    def _remote_instead(
        self, settlement: verdicts.Settlement, now: ids.Instant
    ) -> verdicts.Settlement:
        grant = self._grant_remote(settlement.call, now)
        if grant is None:
            return settlement
        return verdicts.Settlement(settlement.call, grant)

    def _grant_remote(
        self, call: wait_queue.Call, now: ids.Instant
    ) -> verdicts.Grant | None:
        """Place a call that its own region would refuse in another region."""
        if not self.pool.remote_order:
            return None
        may_leave = msgspec.structs.replace(call, cross_region_from=now)
        return self._grant(may_leave, verdicts.Kind.FIRST, now)

    def _eject_if_hung(self, grant: verdicts.Grant, now: ids.Instant) -> None:
        upstream = grant.upstream
        if upstream.state in (upstreams.State.EJECTED, upstreams.State.LEAVING):
            return
        if self.pool.is_hung(upstream, grant.call.latency_key, now):
            self.pool.eject(upstream, ejection.SILENT, now)

    def next_retry_at(self, call: wait_queue.Call, now: ids.Instant) -> ids.Instant:
        """Return when the caller of a call that no upstream took may retry."""
        free_at = self._usable_at(call, now)
        return availability.next_retry_at(self.pool, free_at, len(self.queue), now)

    def _usable_at(self, call: wait_queue.Call | None, now: ids.Instant) -> ids.Instant:
        """Return from when an upstream may take ``call``, or any call if None."""
        excluded = () if self.split is None else self.split.excluded(self.pool)
        return availability.usable_at(self.pool, excluded, call, now)

    def _choose(
        self,
        call: wait_queue.Call,
        kind: verdicts.Kind,
        now: ids.Instant,
        attempted: set[ids.UpstreamId],
    ) -> selection.Choice | None:
        """Choose an upstream; a canary version gets first attempts only."""
        if self.split is None:
            return self.policy.choose(self.pool, call, now, attempted)
        if kind is verdicts.Kind.FIRST:
            choice = self.split.choose_target(self.pool, call, now)
            if choice is not None:
                return choice
        excluded = self.split.excluding(self.pool, attempted)
        return self.policy.choose(self.pool, call, now, excluded)

    def _grant(
        self, call: wait_queue.Call, kind: verdicts.Kind, now: ids.Instant
    ) -> verdicts.Grant | None:
        attempted = self.attempted_by_call.get(call.id, set())
        self.pool.waiting = len(self.queue)
        choice = self._choose(call, kind, now, attempted)
        if choice is None:
            return None
        upstream = choice.upstream
        load = self.pool.estimated_load(upstream, now) + 1
        slowdown = upstream.slowdown(now)
        self.attempted_by_call.setdefault(call.id, set()).add(upstream.spec.id)
        self._sent_to_by_call.setdefault(call.id, []).append(upstream)
        self.pool.in_flight += 1
        upstream.sent(call.id, now)
        self.decisions.append(
            verdicts.Decision(
                at=now,
                call=call.id,
                kind=kind,
                upstream=upstream.spec.id,
                rule=choice.rule.value,
                candidates=choice.candidates,
            )
        )
        return verdicts.Grant(
            call=call,
            upstream=upstream,
            kind=kind,
            sent_at=now,
            slowdown=slowdown,
            load=load,
            to_cold=upstream.cold.is_cold(now),
        )
