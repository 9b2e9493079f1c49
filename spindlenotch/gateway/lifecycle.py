"""
When a gateway is ready, and how its planned stop goes.

Pure: the phases of a process and the decisions between them. ``state`` holds
the phase, ``gateway`` carries out the stop, ``ingress`` refuses what comes
late.
"""

import enum

import msgspec

#: Callers may keep an answer this many times as long as they were told.
ADDRESS_CACHE_FACTOR = 3.0
#: Added to that time, for requests on their way.
IN_TRANSIT_S = 0.5
#: End of the longest planned stop in which nothing more is taken, so that what was
#: taken comes to its end.
FINAL_DRAIN_S = 3.0
#: Left of the longest planned stop when the process ends whatever is in flight.
FORCED_STOP_MARGIN_S = 0.4


class Phase(enum.Enum):
    """Where a gateway is in its life."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class StopSchedule(msgspec.Struct, frozen=True):
    """
    Times of a planned stop, in seconds from its beginning.

    ``listen_s``: how long callers that were sent here before are still taken;
    at most zero: not at all. ``end_s``: when requests in flight are cut off.
    """

    listen_s: float
    end_s: float


def phase_after(phase: Phase, *, configured: bool, upstreams_known: bool) -> Phase:
    """Return the phase after a change: serving needs routes and upstreams."""
    if phase is Phase.STARTING and configured and upstreams_known:
        return Phase.SERVING
    return phase


def stop_schedule(hand_out_s: float, stop_limit_s: float) -> StopSchedule:
    """
    Return the times of a planned stop.

    ``hand_out_s`` is how long callers are told to keep an address,
    ``stop_limit_s`` the longest planned stop, both in seconds.
    """
    cached_s = ADDRESS_CACHE_FACTOR * hand_out_s + IN_TRANSIT_S
    return StopSchedule(
        listen_s=min(cached_s, stop_limit_s - FINAL_DRAIN_S),
        end_s=stop_limit_s - FORCED_STOP_MARGIN_S,
    )
