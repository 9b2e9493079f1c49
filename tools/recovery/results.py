"""
What callers saw of a play, from their attempts.
"""

import msgspec

from tools.recovery import callers

#: Seconds after the return until which requests are sent, and from which they count.
AFTER_S, RECOVERY_S = 24.0, 15.0
#: Share served from which service counts as back, and that must be served at least.
MOST, MIN_SERVED_SHARE = 0.9, 0.25


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """
    What callers saw; times in seconds from the last start of a gateway.

    ``served`` and ``sent`` count the first attempts from ``RECOVERY_S`` on;
    ``attempts_served`` and ``attempts`` all of them.
    """

    first_served_s: float | None
    most_served_s: float | None
    served: int
    sent: int
    attempts_served: int
    attempts: int
    refused: int
    deadlines_passed: int
    served_by_second: list[tuple[int, int]]


def judge(attempts: list[callers.Attempt], returned_at: float) -> Result:
    """Return what callers saw of gateways whose last one started at that instant."""
    first = [one for one in attempts if one.number == 0]
    since = [one for one in first if one.sent_at >= returned_at]
    served_at = [one.ended_at for one in since if _is_served(one)]
    counted = [one for one in first if one.sent_at >= returned_at + RECOVERY_S]
    all_counted = [one for one in attempts if one.sent_at >= returned_at + RECOVERY_S]
    by_second = [
        [one for one in since if second <= one.sent_at - returned_at < second + 1]
        for second in range(int(AFTER_S))
    ]
    most = [
        second
        for second in range(int(AFTER_S))
        if all(
            sum(map(_is_served, later)) >= MOST * len(later)
            for later in by_second[second:]
        )
    ]
    return Result(
        first_served_s=round(min(served_at) - returned_at, 2) if served_at else None,
        most_served_s=float(most[0]) if most else None,
        served=sum(map(_is_served, counted)),
        sent=len(counted),
        attempts_served=sum(map(_is_served, all_counted)),
        attempts=len(all_counted),
        refused=sum(one.status == callers.NOT_RUN for one in all_counted),
        deadlines_passed=sum(one.status in (0, 504) for one in all_counted),
        served_by_second=[
            (sum(map(_is_served, second)), len(second)) for second in by_second
        ],
    )


def _is_served(attempt: callers.Attempt) -> bool:
    return attempt.status == callers.OK and attempt.is_stamped
