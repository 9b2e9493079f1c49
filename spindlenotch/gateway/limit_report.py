"""
Logs how many requests this gateway sends to upstreams that advertise a rate limit.

One line per such upstream and window, so that the lines of all gateways add up to
the requests that the upstream received. Holds the counts reported last.
"""

from collections import abc

import msgspec

from spindlenotch import events, ids
from spindlenotch.decisions import balancer
from spindlenotch.forwarding import backpressure_events
from spindlenotch.kernel import named_limit, upstreams


class _Reported(msgspec.Struct):
    """The request count reported last, and when the next line is due."""

    sent: int
    window_until: ids.Instant


class LimitReport:
    """Reports on the rate-limited upstreams of one process."""

    def __init__(self) -> None:
        self._reported_by_id: dict[ids.UpstreamId, _Reported] = {}

    def update(
        self, services: abc.Iterable[balancer.Balancer], now: ids.Instant
    ) -> None:
        """Log the reports that are due."""
        limited: set[ids.UpstreamId] = set()
        for service in services:
            for upstream in service.pool.usable_order:
                if upstream.backpressure.limit.per_s is not None:
                    limited.add(upstream.spec.id)
                    self._report(service.service.name, upstream, now)
        for upstream_id in self._reported_by_id.keys() - limited:
            del self._reported_by_id[upstream_id]

    def _report(
        self, service: ids.ServiceName, upstream: upstreams.Upstream, now: ids.Instant
    ) -> None:
        limit = upstream.backpressure.limit
        reported = self._reported_by_id.get(upstream.spec.id)
        if reported is None:
            until = ids.later(now, named_limit.WINDOW.seconds)
            self._reported_by_id[upstream.spec.id] = _Reported(limit.sent, until)
            return
        if now < reported.window_until:
            return
        if limit.sent > reported.sent:
            events.emit(
                events.Event.SENT_TO_LIMITED,
                service=service,
                upstream=upstream.spec.id,
                count=limit.sent - reported.sent,
                limit_per_s=round(limit.per_s or 0.0, backpressure_events.RATE_DIGITS),
                window_s=named_limit.WINDOW.seconds,
            )
        reported.sent = limit.sent
        reported.window_until = ids.later(now, named_limit.WINDOW.seconds)
