"""
When a failed call is sent to another upstream.

The rule on one call; ``Balancer`` adds the budget of the service and the choice
of an upstream that the call has not been sent to. Relies on ``overload`` for
the state of the service as a whole.
"""

import msgspec

from spindlenotch import ids
from spindlenotch.decisions import overload
from spindlenotch.kernel import upstream_pool, wait_queue

#: Tries that reached nobody and leave a call its others: each takes a moment, and where
#: many upstreams have ended the news of that is sooner there.
MOST_UNREACHED = 3


class Tries(msgspec.Struct, frozen=True):
    """The tries of a call: ``unreached`` of those ``sent`` found nobody there."""

    sent: int
    unreached: int

    @property
    def counted(self) -> int:
        """Return how many count: those that may have reached an upstream."""
        return self.sent - min(self.unreached, MOST_UNREACHED)


def is_allowed(
    pool: upstream_pool.Pool,
    call: wait_queue.Call,
    tries: Tries,
    now: ids.Instant,
    *,
    known_not_run: bool,
) -> bool:
    """
    Tell whether a call may get another try.

    Where it is positively known that the failed try has not run and never
    will, another try cannot run the call twice and adds no work, so neither
    ``repeatable`` nor failures of the whole service matter. A try that reached nobody
    is none of the call's: beside upstreams that end, 23 of 1,920 requests were lost,
    22 of them as their retry found one that had just ended (real gateways).
    """
    if call.deadline <= now or tries.counted >= call.most_tries:
        return False
    if known_not_run:
        return True
    return call.repeatable and not overload.is_failing(pool)
