"""
When a service's calls move to the target of an order, and when that is completed.

Performs no I/O and reads no clock. Promotion is as late as possible: until then a
target that turns bad has had no more than its share. It is early enough for the others'
calls in flight to end within the order's time.
"""

import enum
import math
from collections import abc

import msgspec

from spindlenotch import ids
from spindlenotch.peers import rollout_notes

#: Seconds before an order's end that promotion takes beyond the calls in flight: the
#: order arrived late, the phase and the records propagate, the store is written.
PROPAGATION_S = 2.0
#: Greatest part of an order's time that promotion may take.
MAX_PROMOTION_SHARE = 0.35
#: Multiple of its typical time that a call in flight may take.
LONG_CALL_FACTOR = 3.0
#: Seconds before an order's end until which unreachable gateways are waited for.
FINAL_WINDOW_S = 0.8
#: Answers of the target that suffice, however many calls it was allowed.
MIN_ANSWERS = 10.0
#: Share of its allowed calls that it must have answered otherwise: a service with few
#: requests must still be able to change its version.
MIN_ANSWERED_SHARE = 0.5
#: Least slots of the target relative to the others': fewer would not carry the load.
MIN_SLOTS_SHARE = 0.7
#: Seconds for which the target is watched after promotion, with all requests, before
#: the others are given up: twice the greatest age of records.
WATCH_S = 0.4
#: Seconds after promotion in which evidence from some upstreams blocks completion;
#: after that it takes most of them, as a few may look bad permanently.
STRICT_WATCH_S = 1.2
#: Suspicion, as a share of that of a finding, from which the target is not promoted.
MAX_SUSPICION = 0.4
#: The suspicion without the worst upstreams, from which the others are not given up:
#: with all requests the evidence is soon there, and a few bad upstreams block nothing.
MAX_RESIDUAL_SUSPICION = 0.3
#: Log-likelihood ratio of "it fails more often than the others have since the order",
#: from which the target is not promoted. A finding needs evidence in single moments;
#: while the others fail too, less of it is left there than in the sums.
MAX_EXCESS = 4.0
#: Least difference between the two shares of failures that counts.
MIN_EXCESS_SHARE = 0.1
#: Bounds of the others' share of failures, so that logarithms stay finite.
MIN_EXPECTED_SHARE, MAX_EXPECTED_SHARE = 0.02, 0.9


class Blocker(enum.Enum):
    """Why an order is not promoted or completed yet."""

    NONE = "none"
    EARLY = "early"
    NO_UPSTREAMS = "no-upstreams-of-the-target"
    TOO_FEW_SLOTS = "too-few-slots-of-the-target"
    FEW_ANSWERS = "few-answers-of-the-target"
    SUSPECTED = "suspected"
    NO_QUORUM = "no-quorum"
    UNDER_WAY = "work-under-way"
    GATEWAYS_GONE = "gateways-gone"


class Readiness(msgspec.Struct, frozen=True):
    """
    Inputs of the decision to promote; only usable, warm slots count.

    ``suspicion`` is 1 if the target is known to be bad. It answered ``answers`` of the
    ``allowed`` calls that it might have had. ``excess`` is by how much it fails more
    often than the others, as a log-likelihood ratio (``failure_excess``).
    """

    target_slots: int
    other_slots: int
    answers: int
    allowed: float
    suspicion: float
    excess: float = 0.0


class DrainProgress(msgspec.Struct, frozen=True):
    """Gateways that must have left the other versions, that have, and are reachable."""

    required: frozenset[ids.HostId]
    drained: frozenset[ids.HostId]
    reachable: frozenset[ids.HostId]


def lead_s(by_s: float, typical_s: abc.Iterable[float]) -> float:
    """
    Return how many seconds before its end an order is promoted.

    ``typical_s`` are the typical times of the service's routes in seconds.
    """
    longest_s = LONG_CALL_FACTOR * max(typical_s, default=0.0)
    return min(MAX_PROMOTION_SHARE * by_s, PROPAGATION_S + longest_s)


def failure_excess(target: rollout_notes.Counts, others: rollout_notes.Counts) -> float:
    """
    Return the log-likelihood ratio of the target's share of failures to the others'.

    0 if the target's share is not higher by ``MIN_EXCESS_SHARE`` at least.
    """
    if not target.judged:
        return 0.0
    expected = others.failed / max(1, others.judged)
    expected = min(MAX_EXPECTED_SHARE, max(MIN_EXPECTED_SHARE, expected))
    seen = target.failed / target.judged
    if seen < expected + MIN_EXCESS_SHARE:
        return 0.0
    passed = target.judged - target.failed
    likelihood = target.failed * math.log(seen / expected)
    if passed:
        likelihood += passed * math.log((1.0 - seen) / (1.0 - expected))
    return likelihood


def promotion_blocker(
    readiness: Readiness, promote_at: ids.Instant, now: ids.Instant
) -> Blocker:
    """Return why an order is not promoted now."""
    if now < promote_at:
        return Blocker.EARLY
    if not readiness.target_slots:
        return Blocker.NO_UPSTREAMS
    if readiness.target_slots < MIN_SLOTS_SHARE * readiness.other_slots:
        return Blocker.TOO_FEW_SLOTS
    if readiness.answers < min(MIN_ANSWERS, MIN_ANSWERED_SHARE * readiness.allowed):
        return Blocker.FEW_ANSWERS
    if readiness.suspicion >= MAX_SUSPICION or readiness.excess >= MAX_EXCESS:
        return Blocker.SUSPECTED
    return Blocker.NONE


def completion_blocker(
    progress: DrainProgress,
    end_at: ids.Instant,
    now: ids.Instant,
    *,
    has_quorum: bool,
    residual_suspicion: float,
) -> Blocker:
    """
    Return why a promoted order is not completed now.

    ``has_quorum``: more than half of the fleet is reachable. A gateway that is
    partitioned can't know which ones still use the other versions.
    """
    if residual_suspicion >= MAX_RESIDUAL_SUSPICION:
        return Blocker.SUSPECTED
    if not has_quorum:
        return Blocker.NO_QUORUM
    missing = progress.required - progress.drained
    if missing & progress.reachable:
        return Blocker.UNDER_WAY
    if missing and now < end_at - FINAL_WINDOW_S:
        return Blocker.GATEWAYS_GONE
    return Blocker.NONE
