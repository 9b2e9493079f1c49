"""
When a failed call is sent to another upstream.

The rule on one call; ``Balancer`` adds the budget of the service and the choice
of an upstream that the call has not been sent to. Relies on ``overload`` for
the state of the service as a whole.
"""

from spindlenotch import ids
from spindlenotch.decisions import overload
from spindlenotch.kernel import upstream_pool, waiting


def is_allowed(
    pool: upstream_pool.Pool,
    call: waiting.Call,
    tries: int,
    now: ids.Instant,
    *,
    known_not_run: bool,
) -> bool:
    """
    Tell whether a call that was sent to ``tries`` upstreams may get another.

    Where it is positively known that the failed try has not run and never
    will, another try cannot run the call twice and adds no work, so neither
    ``repeatable`` nor failures of the whole service matter.
    """
    if call.deadline <= now or tries >= call.most_tries:
        return False
    if known_not_run:
        return True
    return call.repeatable and not overload.is_failing(pool)
