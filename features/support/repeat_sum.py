"""
The sum of a fleet's repeats, as the users' rule counts it.

In any window the arrivals of requests after their first are bounded by a share of the
requests that callers sent, and a reserve. The requests count in that window, in the one
before or in the one half a window before, whichever holds the most.
"""

import bisect
import dataclasses
from collections import abc


@dataclasses.dataclass(frozen=True, slots=True)
class Worst:
    """The window with the most repeats beyond the share; ``until`` is its end."""

    beyond: float
    repeats: int
    until: float


def worst(
    requests_at: abc.Sequence[float],
    repeats_at: abc.Sequence[float],
    *,
    share: float,
    window_s: float,
) -> Worst:
    """Return the worst window of what came at these instants, both in order."""

    def found(until: float) -> Worst:
        repeats = within(repeats_at, until - window_s, until)
        requests = max(
            within(requests_at, end - window_s, end)
            for end in (until, until - window_s / 2, until - window_s)
        )
        return Worst(repeats - share * requests, repeats, until)

    ends = map(found, repeats_at)
    return max(ends, key=lambda one: one.beyond, default=Worst(0.0, 0, 0.0))


def within(instants: abc.Sequence[float], since: float, until: float) -> int:
    """Count the instants in a window, which are in order."""
    return bisect.bisect_right(instants, until) - bisect.bisect_right(instants, since)
