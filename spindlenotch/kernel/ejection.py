"""
When an upstream is ejected and when it gets calls again.

Rules on plain values. ``upstreams.Upstream`` keeps the state that they lead to:
an ejection ends in probation, during which one call at a time is let through;
``upstream_pool`` counts the ejected upstreams and applies the rules after each result.
"""

#: Consecutive failures after which an upstream is ejected.
CONSECUTIVE_FAILURES = 3
#: Duration of the first ejection, in seconds. Each further one without a successful
#: response in between takes twice as long as the one before.
BASE_EJECTION_S = 1.0
#: Longest ejection, in seconds.
MAX_EJECTION_S = 30.0
#: Consecutive ejections are counted up to this number: the duration has long reached
#: ``MAX_EJECTION_S`` by then, and the power of two stays small.
MAX_EJECTIONS_COUNTED = 10
#: Silence after which an upstream counts as hung, as a multiple of the 95th percentile
#: of the latency.
HUNG_P95_FACTOR = 3.0
#: Shortest silence after which an upstream counts as hung, in seconds.
MIN_HUNG_SILENCE_S = 0.25
#: Reason to eject an upstream whose responses are overdue for too long.
SILENT = "silent"
#: Reason to eject an upstream whose request on probation failed, or was cancelled late.
FAILED_ON_PROBATION = "failed on probation"
#: Smallest number of usable upstreams from which any is ejected: a bad upstream is
#: better than none.
MIN_POOL_SIZE = 2
#: Seconds after which a refused caller is told to retry where no upstream is usable
#: and it is not known when one will be.
RETRY_AFTER_S = 1.0


def duration_s(ejections_in_row: int) -> float:
    """Return how many seconds the next ejection lasts."""
    return min(MAX_EJECTION_S, BASE_EJECTION_S * 2.0**ejections_in_row)


def reason_to_eject(
    *, failed: bool, failures_in_row: int, on_probation: bool
) -> str | None:
    """Return why to eject an upstream after a request ended, or None."""
    if failures_in_row >= CONSECUTIVE_FAILURES:
        return "failures in a row"
    if failed and on_probation:
        return FAILED_ON_PROBATION
    return None


def is_hung(silent_s: float, p95_s: float) -> bool:
    """Return whether only a hung upstream explains such a silence."""
    return silent_s > max(MIN_HUNG_SILENCE_S, HUNG_P95_FACTOR * p95_s)


def may_eject(ejected: int, usable: int, eject_share: float) -> bool:
    """
    Return whether one more may be ejected besides ``ejected`` of ``usable``.

    When most of a pool seems bad, the cause is rarely the upstreams, and the
    rest could not carry the load.
    """
    allowed = max(1, int(eject_share * usable))
    return ejected < allowed and usable >= MIN_POOL_SIZE
