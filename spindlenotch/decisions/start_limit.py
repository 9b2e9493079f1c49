"""
Until when a request may wait for an upstream, and whether it can still be in time.

A request is in time where it is answered within its route's target of its caller's
first try. While it can be, it waits as long as that lasts and goes before those
that can't. Pure; used by the gateway, whose routes have targets.
"""

import msgspec

from spindlenotch import ids

#: Share of the target that a request may wait which can't be in time any more. Short:
#: its caller learns soon that there is no room and comes back when there is.
LATE_WAIT_SHARE = 0.2
#: Seconds that a request may wait where its route has no target.
WAIT_WITHOUT_TARGET_S = 0.1
#: Seconds that an answer is taken to need back to its caller: one way of some
#: milliseconds, and what handling it takes.
RESPONSE_TRANSIT_S = 0.01


#: Seconds after the start of a process until which requests are held where it can't
#: serve yet. Most gateways can 0.02 to 0.35 s after their ports are open; callers come
#: back twice only, and had spent both tries by then on refusals 0.05 s apart.
STARTUP_HOLD_S = 0.6


def hold_until(started_at: ids.Instant) -> ids.Instant:
    """
    Return until when a gateway that started at ``started_at`` holds requests.

    Answers a fleet that lost power: callers try again at once when the hosts are
    back, and the first gateways learn routes and upstreams some moments later.
    """
    return ids.later(started_at, STARTUP_HOLD_S)


class StartLimit(msgspec.Struct, frozen=True):
    """
    When a request is refused if no upstream had room until then.

    ``late``: its answer will come after the target even if it is sent at once.
    """

    wait_until: ids.Instant
    late: bool


def for_request(
    now: ids.Instant, *, target_s: float | None, age_s: float, typical_s: float
) -> StartLimit:
    """
    Return the limit of a request that arrives now.

    ``target_s`` is the route's target, ``age_s`` how long ago the caller began to
    ask, ``typical_s`` the typical latency of such requests; all in seconds.

    The wait is what the target leaves beside the work.
    """
    if target_s is None:
        return StartLimit(ids.later(now, WAIT_WITHOUT_TARGET_S), late=False)
    used_s = age_s + typical_s + RESPONSE_TRANSIT_S
    if used_s < target_s:
        return StartLimit(ids.later(now, target_s - used_s), late=False)
    return StartLimit(ids.later(now, LATE_WAIT_SHARE * target_s), late=True)
