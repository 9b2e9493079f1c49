"""
Logs the backpressure signals that upstreams send with their answers.

Relies on ``kernel.backpressure`` to tell which signals are a change.
"""

from collections import abc

from spindlenotch import events, ids
from spindlenotch.kernel import backpressure

#: Decimal places of logged rates and seconds.
RATE_DIGITS = 2


def report(
    service: ids.ServiceName,
    upstream: ids.UpstreamId,
    changes: abc.Iterable[backpressure.ChangeEvent],
) -> None:
    """Log the changes that an answer of an upstream has made."""
    for one in changes:
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
                    events.Event.UPSTREAM_BACKOFF,
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
