"""
The values that the balancer returns to the data path.

A call that is offered gets a ``Grant``, a place in the queue (``Waiting``) or a
refusal of ``kernel.outcomes``; the verdict on a waiting call follows as a
``Settlement``. ``Decision`` is the record of a grant for ``explain``. Values only;
no decisions are made here.
"""

import enum

import msgspec

from spindlenotch import ids, selection
from spindlenotch.kernel import budgets, outcomes, upstreams, wait_queue


class Kind(enum.Enum):
    """The kind of attempt that a grant is for."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"


class Grant(msgspec.Struct, frozen=True):
    """
    Permission to send a call to one upstream now.

    The state of the upstream is that at ``sent_at``: ``slowdown`` is the factor by
    which it was slowed, ``load`` the estimated number of requests in it, this one
    included, ``to_cold`` whether it counted as cold. ``taken_from`` is the part of the
    budget that a retry or a hedge was taken from; None for a first attempt, and for a
    retry that takes nothing from a budget.
    """

    call: wait_queue.Call
    upstream: upstreams.Upstream
    kind: Kind
    sent_at: ids.Instant
    slowdown: float = 1.0
    load: float = 1.0
    to_cold: bool = False
    taken_from: budgets.Part | None = None


class Waiting(msgspec.Struct, frozen=True):
    """
    The call was queued; a settlement follows.

    ``displaced`` settles the less urgent call whose place it took in a full queue.
    """

    call: wait_queue.Call
    displaced: "Settlement | None" = None


class Settlement(msgspec.Struct, frozen=True):
    """The verdict on a call that waited."""

    call: wait_queue.Call
    verdict: Grant | outcomes.Refusal


class Decision(msgspec.Struct, frozen=True):
    """A decision as recorded for ``explain``."""

    at: ids.Instant
    call: ids.CallId
    kind: Kind
    upstream: ids.UpstreamId | None
    rule: str
    candidates: tuple[selection.Candidate, ...]
