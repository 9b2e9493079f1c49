"""
Readiness of a gateway and the schedule of its planned stop.

Pure: the phases of a process and the transitions between them. ``state`` holds
the phase, ``gateway`` performs the stop, and ``ingress`` rejects requests that
arrive late in it.
"""

import enum

import msgspec

#: Callers may cache a directory response for up to this multiple of its validity.
ADDRESS_CACHE_FACTOR = 3.0
#: Seconds added to that time for requests in transit.
IN_TRANSIT_S = 0.5
#: Seconds at the end of the longest planned stop during which no new requests are
#: accepted, so that those accepted before can complete.
FINAL_DRAIN_S = 3.0
#: Seconds before the limit of a planned stop at which requests still in flight are
#: aborted, so that the process exits in time.
FORCED_STOP_MARGIN_S = 0.4


class Phase(enum.Enum):
    """The lifecycle phase of a gateway."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class StopSchedule(msgspec.Struct, frozen=True):
    """
    Times of a planned stop, in seconds from its start.

    ``listen_s``: when the gateway stops accepting requests from callers that still
    have its address; zero or less: at once. ``end_s``: when requests in flight are
    aborted.
    """

    listen_s: float
    end_s: float


def phase_after(phase: Phase, *, configured: bool, upstreams_known: bool) -> Phase:
    """Return the phase after a change; serving requires routes and upstreams."""
    if phase is Phase.STARTING and configured and upstreams_known:
        return Phase.SERVING
    return phase


def stop_schedule(hand_out_s: float, stop_limit_s: float) -> StopSchedule:
    """
    Return the times of a planned stop.

    ``hand_out_s`` is the validity of directory responses, ``stop_limit_s`` the
    maximum duration of a planned stop, both in seconds.
    """
    cached_s = ADDRESS_CACHE_FACTOR * hand_out_s + IN_TRANSIT_S
    return StopSchedule(
        listen_s=min(cached_s, stop_limit_s - FINAL_DRAIN_S),
        end_s=stop_limit_s - FORCED_STOP_MARGIN_S,
    )
