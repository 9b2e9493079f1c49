"""
Log events for what upstreams say with their answers of how much they will take.

Relies on ``kernel.backpressure`` for which of it is news.
"""

from collections import abc

from spindlenotch import events, ids
from spindlenotch.kernel import backpressure

#: Digits behind the point of what is told: a rate, seconds.
RATE_DIGITS = 2


def report(
    service: ids.ServiceName,
    upstream: ids.UpstreamId,
    news: abc.Iterable[backpressure.ChangeEvent],
) -> None:
    """Log what an answer of an upstream has changed."""
    for one in news:
        match one.change:
            case backpressure.Change.LIMITED:
                events.emit(
                    events.Event.UPSTREAM_LIMITED,
                    service=service,
                    upstream=upstream,
                    limit_per_s=round(one.limit_per_s, RATE_DIGITS),
                )
            case backpressure.Change.LIMIT_ENDED:
                events.emit(
                    events.Event.UPSTREAM_LIMIT_ENDED,
                    service=service,
                    upstream=upstream,
                )
            case backpressure.Change.BACKOFF:
                events.emit(
                    events.Event.UPSTREAM_RESTS,
                    service=service,
                    upstream=upstream,
                    rest_s=round(one.backoff_s, RATE_DIGITS),
                )
            case backpressure.Change.UNREADABLE if one.unreadable is not None:
                events.emit(
                    events.Event.SIGNAL_UNREADABLE,
                    service=service,
                    upstream=upstream,
                    header=one.unreadable.name,
                    value=one.unreadable.value,
                )
