"""
What the balancer returns: the messages between it and the data path.

A call that is offered gets a ``Grant``, a place in the queue (``Waiting``) or a
refusal of ``kernel.outcomes``; what becomes of a waiting call follows as a
``Settlement``. ``Decision`` is what is kept of each grant for ``explain``. Values
only; nothing here decides.
"""

import enum

import msgspec

from spindlenotch import ids, selection
from spindlenotch.kernel import budgets, outcomes, upstreams, wait_queue


class Kind(enum.Enum):
    """Which try of a call a grant is."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"


class Grant(msgspec.Struct, frozen=True):
    """
    Permission to send a call to one upstream now.

    What is told of the upstream is of the moment it was granted: ``slowdown`` is how
    many times its typical time work takes there, ``load`` the number of
    requests in the upstream, this one included, ``to_cold`` whether it was taken to be
    cold. ``taken_from`` is the part of the budget that a retry or a hedge was taken
    from; None for a first try.
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
    The call waits in the queue; a settlement follows.

    ``displaced`` settles a less urgent call whose place it took.
    """

    call: wait_queue.Call
    displaced: "Settlement | None" = None


class Settlement(msgspec.Struct, frozen=True):
    """What became of a call that waited."""

    call: wait_queue.Call
    verdict: Grant | outcomes.Refusal


class Decision(msgspec.Struct, frozen=True):
    """A decision as remembered for ``explain``."""

    at: ids.Instant
    call: ids.CallId
    kind: Kind
    upstream: ids.UpstreamId | None
    rule: str
    candidates: tuple[selection.Candidate, ...]
