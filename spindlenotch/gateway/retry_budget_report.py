"""
Reports this gateway's retries and hedges, so that they can be summed fleet-wide.

One line per service for each window with retries or hedges, and one per upstream that
has read copies of a request late; the metrics show the same. Holds the counts reported
last.
"""

import collections
from collections import abc

import msgspec

from spindlenotch import events, ids, metrics
from spindlenotch.decisions import balancer
from spindlenotch.kernel import budgets

#: Decimal places of reported seconds.
AGE_DIGITS = 3


class _Reported(msgspec.Struct):
    """The budget counts of a service reported last, and the end of its window."""

    window_until: ids.Instant
    earned: int = 0
    metric_earned: int = 0
    taken_by_part: collections.Counter[budgets.Part] = msgspec.field(
        default_factory=collections.Counter
    )


class RetryBudgetReport:
    """Reports on the retry and hedge budgets of one process."""

    def __init__(self, process_metrics: metrics.Metrics) -> None:
        self.metrics = process_metrics
        self._reported_by_service: dict[ids.ServiceName, _Reported] = {}

    def update(
        self, services: abc.Iterable[balancer.Balancer], now: ids.Instant
    ) -> None:
        """Update the metrics and log the reports that are due."""
        for service in services:
            service.copies.settle_read(now)
            self._report_late_reads(service)
            for budget in service.extra.sliding_budgets():
                self._report_budget(service, budget, now)

    def _report_late_reads(self, service: balancer.Balancer) -> None:
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

    def _report_budget(
        self,
        service: balancer.Balancer,
        budget: budgets.SlidingShareBudget,
        now: ids.Instant,
    ) -> None:
        name = service.service.name
        reported = self._reported_by_service.get(name)
        if reported is None:
            reported = _Reported(ids.later(now, budget.window_s))
            self._reported_by_service[name] = reported
        earned = budget.earned_count - reported.metric_earned
        if earned:
            self.metrics.extra_earning.labels(name).inc(earned)
            reported.metric_earned = budget.earned_count
        if budget.taken_by_part:
            self.metrics.extra_unread.labels(name).set(budget.unsettled)
        if now >= reported.window_until:
            self._report_window(name, budget, reported)
            reported.window_until = ids.later(now, budget.window_s)

    def _report_window(
        self,
        name: ids.ServiceName,
        budget: budgets.SlidingShareBudget,
        reported: _Reported,
    ) -> None:
        taken = budget.taken_by_part - reported.taken_by_part
        requests = budget.earned_count - reported.earned
        reported.taken_by_part = budget.taken_by_part.copy()
        reported.earned = budget.earned_count
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
