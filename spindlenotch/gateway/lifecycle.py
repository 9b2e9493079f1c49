"""
Readiness of a gateway and the schedule of its planned stop.

Pure: the phases of a process and the transitions between them. ``state`` holds
the phase, ``gateway`` performs the stop, and ``ingress`` rejects requests that
arrive late in it.
"""

import enum

import msgspec

from spindlenotch import ids

#: Callers may cache a directory response for up to this multiple of its validity.
ADDRESS_CACHE_FACTOR = 3.0
#: Seconds added to that time for requests in transit.
IN_TRANSIT_S = 0.5
#: Seconds at the end of the longest planned stop during which no new requests are
#: accepted, so that those accepted before can complete.
FINAL_DRAIN_S = 3.0
#: Longest time in seconds from the start of a planned stop for which requests are
#: accepted whatever their deadline. The platform tolerates that requests are aborted at
#: the end of a stop if they were sent in its first 3 s; a signal may be handled late.
UNCONDITIONAL_ACCEPT_S = 2.8
#: Seconds before the limit of a planned stop at which requests still in flight are
#: aborted, so that the process exits in time.
FORCED_STOP_MARGIN_S = 0.4
#: Maximum of that margin as a share of the limit. The platform tolerates that requests
#: are aborted in the last sixth of a stop, not earlier.
MAX_FORCED_STOP_SHARE = 0.15
#: Seconds allowed for sending the response to a request that reached its deadline.
RESPONSE_S = 0.1


class Phase(enum.Enum):
    """The lifecycle phase of a gateway."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class StopSchedule(msgspec.Struct, frozen=True):
    """
    The instants of a planned stop.

    ``accept_any_until``: until when requests are accepted whatever their deadline.
    ``listen_until``: until when those are accepted whose deadline is before the end.
    ``end``: when requests in flight are aborted.

    Invariant: a request accepted after ``accept_any_until`` is not aborted.
    """

    accept_any_until: ids.Instant
    listen_until: ids.Instant
    end: ids.Instant

    def accepts(self, now: ids.Instant, deadline: ids.Instant) -> bool:
        """Return whether a request with this deadline may be sent to an upstream."""
        return now < self.accept_any_until or self.covers(deadline)

    def covers(self, deadline: ids.Instant) -> bool:
        """Return whether a request with this deadline gets its response in the stop."""
        return ids.later(deadline, RESPONSE_S) <= self.end


def phase_after(phase: Phase, *, configured: bool, upstreams_known: bool) -> Phase:
    """Return the phase after a change; serving requires routes and upstreams."""
    if phase is Phase.STARTING and configured and upstreams_known:
        return Phase.SERVING
    return phase


def stop_schedule(
    started_at: ids.Instant, hand_out_s: float, stop_limit_s: float
) -> StopSchedule:
    """
    Return the instants of a planned stop that starts at ``started_at``.

    ``hand_out_s`` is the validity of directory responses, ``stop_limit_s`` the
    maximum duration of a planned stop, both in seconds.
    """
    cached_s = ADDRESS_CACHE_FACTOR * hand_out_s + IN_TRANSIT_S
    listen_s = max(0.0, min(cached_s, stop_limit_s - FINAL_DRAIN_S))
    margin_s = min(FORCED_STOP_MARGIN_S, MAX_FORCED_STOP_SHARE * stop_limit_s)
    return StopSchedule(
        accept_any_until=ids.later(started_at, min(listen_s, UNCONDITIONAL_ACCEPT_S)),
        listen_until=ids.later(started_at, listen_s),
        end=ids.later(started_at, stop_limit_s - margin_s),
    )
