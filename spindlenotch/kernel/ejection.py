"""
When an upstream is taken out of use and when it gets calls again.

Rules on plain values. ``upstreams.Upstream`` keeps the state they lead to:
an ejection ends in probation, on which one call at a time decides; ``upstream_pool``
counts how many are out and applies the rules after each answer.
"""

#: Failures in a row after which an upstream is ejected.
CONSECUTIVE_FAILURES = 3
#: The first ejection, in seconds; each further one without an answer between takes
#: twice as long as the one before.
BASE_EJECTION_S = 1.0
#: The longest ejection, in seconds.
MAX_EJECTION_S = 30.0
#: Ejections in a row are counted up to this: the pause has long reached
#: ``MAX_EJECTION_S`` then, and the power of two stays small.
MAX_EJECTIONS_COUNTED = 10
#: Silence after which an upstream counts as frozen, as a multiple of the 95th
#: percentile of the latency.
FROZEN_P95_FACTOR = 3.0
#: And at least this long, in seconds.
FROZEN_MIN_S = 0.25
#: Why an upstream is ejected that owes answers for too long.
SILENT = "silent"
#: And one whose request on probation failed, or was broken off late.
FAILED_ON_PROBATION = "failed on probation"
#: A pool with fewer upstreams than this ejects none of them: a bad upstream is better
#: than no upstream.
MIN_POOL_SIZE = 2
#: Wait in seconds that a refused caller is asked to keep where no upstream is usable
#: and none is due back.
RETRY_AFTER_S = 1.0


def duration_s(ejections_in_row: int) -> float:
    """Return how many seconds the next ejection lasts."""
    return min(MAX_EJECTION_S, BASE_EJECTION_S * 2.0**ejections_in_row)


def reason_to_eject(
    *, failed: bool, failures_in_row: int, on_probation: bool
) -> str | None:
    """Return why an upstream is ejected after a request ended, or None."""
    if failures_in_row >= CONSECUTIVE_FAILURES:
        return "failures in a row"
    if failed and on_probation:
        return FAILED_ON_PROBATION
    return None


def is_frozen(silent_s: float, p95_s: float) -> bool:
    """Tell whether an upstream's silence can only mean that it has stopped."""
    return silent_s > max(FROZEN_MIN_S, FROZEN_P95_FACTOR * p95_s)


def may_eject(ejected: int, usable: int, eject_share: float) -> bool:
    """
    Tell whether one more may be ejected besides ``ejected`` of ``usable``.

    Where most of a pool seems bad the cause is rarely the upstreams, and the
    rest could not carry the load.
    """
    allowed = max(1, int(eject_share * usable))
    return ejected < allowed and usable >= MIN_POOL_SIZE
