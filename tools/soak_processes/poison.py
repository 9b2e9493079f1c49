"""
A request that ends each upstream that runs it, sent again and again; what must hold.

The upstreams come back some seconds later under their ids, cold. Registers a fault and
its check.
"""

import asyncio
import random
import time
from collections import abc

from features.support import worker_records
from tools.soak_processes import checks, faults, ledger as ledgers, world as worlds

#: Time between two sends, and for how many seconds they go on beyond the step's time:
#: gateways have that of ``touchS`` to take notice.
GAP_S, BEYOND_S = 0.15, worlds.BOUNDS["touchS"] + 3.0
#: Upstreams that have ended under a request that gateways must know, and how often it
#: may be sent after that.
TELLING_ENDS, MOST_LATER = 3, 3
#: Routes of such requests: one may be repeated, the other may not.
ROUTES = ("read", "book")


@faults.FAULTS.register("poison-request")
async def poison_request(world: worlds.World, rng: random.Random, for_s: float) -> None:
    """Callers send a request that ends what runs it; each time it has another id."""
    route = world.route_by_name[rng.choice(ROUTES)]
    target = f"/{route.name}/poison-{rng.randrange(10**6)}?a=%2F"
    with world.trouble("poison-request", target, of="request", excuses=False):
        body = b"x" if route.runs_once else b""
        world.fleet.poisons.add(worker_records.Poison(target, body))
        world.ledger.poisons.append(target)
        end = time.monotonic() + for_s + BEYOND_S
        while time.monotonic() < end:
            world.send_again(route, target)
            await asyncio.sleep(GAP_S)


@checks.CHECKS.register("few sends of a request that ends upstreams")
def few_sends(ledger: ledgers.Ledger) -> abc.Iterator[str]:
    """Once it has ended three, gateways in touch send it three times more at most."""
    touch_s = worlds.BOUNDS["touchS"]
    for poison in ledger.poisons:
        ends = sorted(
            at
            for worker in ledger.workers
            for at, target in worker.crashes
            if target == poison
        )
        if len(ends) < TELLING_ENDS:
            continue
        known_at = ends[TELLING_ENDS - 1] + touch_s
        later = [
            f"{at:.3f} to {upstream} through {request.node}"
            for at, upstream, request, _ in ledger.arrivals
            if request.target == poison
            and at > known_at
            and not ledger.troubled({request.node}, at - touch_s, at)
        ]
        if len(later) > MOST_LATER:
            yield f"{poison}: known at {known_at:.3f}, sent {', '.join(later)}"
