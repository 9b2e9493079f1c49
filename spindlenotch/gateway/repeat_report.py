"""
Tells what this gateway's retries and hedges come to, so that a fleet's sum can be read.

One line a service for each window in which there were any, and one for each upstream
that has read copies late; the same as metrics. Holds what was told last.
"""

import collections
from collections import abc

import msgspec

from spindlenotch import events, ids, metrics
from spindlenotch.decisions import balancer
from spindlenotch.kernel import budgets

#: Digits behind the point of seconds that are told.
AGE_DIGITS = 3


class _Told(msgspec.Struct):
    """What of a service's budget was told, and when its next window ends."""

    window_until: ids.Instant
    earned: int = 0
    metric_earned: int = 0
    taken_by_part: collections.Counter[budgets.Part] = msgspec.field(
        default_factory=collections.Counter
    )


class RepeatReport:
    """Reports on the budgets of one process."""

    def __init__(self, process_metrics: metrics.Metrics) -> None:
        self.metrics = process_metrics
        self._told_by_service: dict[ids.ServiceName, _Told] = {}

    def update(
        self, services: abc.Iterable[balancer.Balancer], now: ids.Instant
    ) -> None:
        """Tell what is new."""
        for service in services:
            service.copies.settle_read(now)
            self._tell_late(service)
            for budget in service.extra.sliding_budgets():
                self._tell_budget(service, budget, now)

    def _tell_late(self, service: balancer.Balancer) -> None:
        name = service.service.name
        for late in service.copies.take_late_reads():
            self.metrics.read_late.labels(name).inc(late.count)
            events.emit(
                events.Event.LATE_COPIES_READ,
                service=name,
                upstream=late.upstream,
                count=late.count,
                after_s=round(late.after_s, AGE_DIGITS),
            )

    def _tell_budget(
        self,
        service: balancer.Balancer,
        budget: budgets.SlidingShareBudget,
        now: ids.Instant,
    ) -> None:
        name = service.service.name
        told = self._told_by_service.get(name)
        if told is None:
            told = _Told(ids.later(now, budget.window_s))
            self._told_by_service[name] = told
        earned = budget.earned_count - told.metric_earned
        if earned:
            self.metrics.extra_earning.labels(name).inc(earned)
            told.metric_earned = budget.earned_count
        if budget.taken_by_part:
            self.metrics.extra_unread.labels(name).set(budget.unsettled)
        if now >= told.window_until:
            self._tell_window(name, budget, told)
            told.window_until = ids.later(now, budget.window_s)

    def _tell_window(
        self,
        name: ids.ServiceName,
        budget: budgets.SlidingShareBudget,
        told: _Told,
    ) -> None:
        taken = budget.taken_by_part - told.taken_by_part
        requests = budget.earned_count - told.earned
        told.taken_by_part = budget.taken_by_part.copy()
        told.earned = budget.earned_count
        if not taken and not budget.unsettled:
            return
        events.emit(
            events.Event.EXTRA_SENDS_IN_WINDOW,
            service=name,
            requests=requests,
            from_share=taken[budgets.Part.SHARE],
            from_reserve=taken[budgets.Part.RESERVE],
            unread=budget.unsettled,
            window_s=budget.window_s,
        )
