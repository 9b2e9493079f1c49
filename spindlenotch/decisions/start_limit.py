"""
How long a request may wait for an upstream, and whether it can meet its latency target.

A request meets its target if it is answered within the target of its route, counted
from its caller's first attempt. While it can, it may wait until the target would be
missed, and it goes before requests that can't. Performs no I/O and reads no clock. Used
by the gateway, whose routes have targets.
"""

import msgspec

from spindlenotch import ids

#: Share of the target for which a request may wait that can't meet it any more. Short,
#: so that its caller learns soon that there is no room, and retries when there is.
LATE_WAIT_SHARE = 0.2
#: Minimum of that wait in seconds, for targets too short to be met at all.
MIN_LATE_WAIT_S = 0.01
#: Seconds for which a request may wait if its route has no target.
WAIT_WITHOUT_TARGET_S = 0.1
#: Seconds allowed for an answer to reach its caller: a one-way delay of some
#: milliseconds, and the time to process it.
RESPONSE_TRANSIT_S = 0.01


#: Seconds after the start of a process for which it holds requests that it can't serve
#: yet. Most gateways can serve 0.02 to 0.35 s after their ports are open; callers retry
#: only twice, and refusals 0.05 s apart used up both retries before that.
STARTUP_HOLD_S = 0.6


def hold_until(started_at: ids.Instant) -> ids.Instant:
    """
    Return until when a gateway that started at ``started_at`` holds requests.

    Handles a restart of the whole fleet after a power loss: callers retry as soon as
    the hosts are back, and the first gateways learn routes and upstreams a little
    later.
    """
    return ids.later(started_at, STARTUP_HOLD_S)


class StartLimit(msgspec.Struct, frozen=True):
    """
    The instant at which a request is refused if no upstream has had room.

    ``late``: its answer will miss the target even if it is sent at once.
    """

    wait_until: ids.Instant
    late: bool


def for_request(
    now: ids.Instant, *, target_s: float | None, age_s: float, typical_s: float
) -> StartLimit:
    """
    Return the start limit of a request that arrives now.

    ``target_s`` is the route's target, ``age_s`` the time since the caller's first
    attempt, ``typical_s`` the typical latency of such requests; all in seconds.

    The wait is what remains of the target after the typical latency.
    """
    if target_s is None:
        return StartLimit(ids.later(now, WAIT_WITHOUT_TARGET_S), late=False)
    used_s = age_s + typical_s + RESPONSE_TRANSIT_S
    if used_s < target_s:
        return StartLimit(ids.later(now, target_s - used_s), late=False)
    wait_s = max(MIN_LATE_WAIT_S, LATE_WAIT_SHARE * target_s)
    return StartLimit(ids.later(now, wait_s), late=True)
