"""
What an upstream that names a limit may get, and what it got.

It takes so many requests a second from all gateways together. From ``TOUCH_S`` after it
named a limit it may get, in any ``WINDOW_S``, half as many again as that allows and
``SLACK``, of the gateways that were told ``TOLD_S`` before or earlier.
"""

import dataclasses
import math
from collections import abc

TOUCH_S, WINDOW_S, TOLD_S = 3.0, 4.0, 0.5
OVERSHOOT, SLACK = 1.5, 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Naming:
    """From ``at`` on an upstream names this limit a second; None: it names none."""

    at: float
    per_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request from one life of a gateway, and when the upstream read it."""

    at: float
    node: str
    life: int


@dataclasses.dataclass(frozen=True, slots=True)
class Worst:
    """The window in which an upstream got most beyond what it allows."""

    upstream: str = ""
    until: float = 0.0
    count: int = 0
    allowed: float = math.inf


def worst(
    upstream: str,
    namings: abc.Sequence[Naming],
    arrivals: abc.Sequence[Arrival],
    told_at: abc.Mapping[tuple[str, int], float],
) -> Worst:
    """
    Return the worst window of an upstream.

    ``told_at`` is when a life of a gateway first passed on an answer that names a
    limit; ``arrivals`` are in order.
    """
    found = Worst()
    told = [
        arrival.at
        for arrival in arrivals
        if arrival.at - TOLD_S >= told_at.get((arrival.node, arrival.life), math.inf)
    ]
    for begin, since in enumerate(told):
        allowed = _allowed(namings, since, since + WINDOW_S)
        if allowed is None:
            continue
        count = sum(at <= since + WINDOW_S for at in told[begin:])
        if count - allowed > found.count - found.allowed:
            found = Worst(upstream, since + WINDOW_S, count, allowed)
    return found


def _allowed(namings: abc.Sequence[Naming], since: float, until: float) -> float | None:
    """Return what it may get between two instants; None: as much as comes."""
    limits = [naming.per_s for naming in namings if since < naming.at <= until]
    before = [naming for naming in namings if naming.at <= since]
    if not before or before[-1].per_s is None or None in limits:
        return None
    first_at = _named_since(before)
    if since < first_at + TOUCH_S:
        return None
    most = max(before[-1].per_s, *(limit or 0.0 for limit in limits), 0.0)
    return OVERSHOOT * WINDOW_S * most + SLACK


def _named_since(namings: abc.Sequence[Naming]) -> float:
    """Return since when a limit is named without a break."""
    since = namings[-1].at
    for naming in reversed(namings):
        if naming.per_s is None:
            break
        since = naming.at
    return since
