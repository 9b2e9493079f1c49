"""
Orders for new versions of the upstreams, good ones and bad ones.

The new upstreams start beside the old ones. Who ends afterwards depends on what is
read back of the order; where nothing is said by its deadline, it is the new ones.
"""

import asyncio
import contextlib
import random
import time

from features.support import worker_records
from tools.soak_processes import faults, ledger, world as worlds

Mode = worker_records.Mode
#: Time over which an order spreads its move, and what it may take beyond, in seconds.
RAMP_S, SLACK_S = 8.0, 6.0
#: Time for which new upstreams serve on after the order was given up, in seconds.
NEW_DRAIN_AFTER_S = 3.0
#: How often the operator reads what is said of an order, in seconds.
READ_EVERY_S = 0.1
#: Versions that are bad, each in its manner: at once, in part, late, under load, on
#: one route only, and by being slow.
BAD_VERSIONS = (
    worker_records.VersionFault(Mode.ERROR),
    worker_records.VersionFault(Mode.ERROR, share=0.4),
    worker_records.VersionFault(Mode.CUT, share=0.5, after_s=2.0),
    worker_records.VersionFault(Mode.ERROR, least_running=2),
    worker_records.VersionFault(Mode.ERROR, prefix="/book/"),
    worker_records.VersionFault(Mode.SLOW, share=0.6),
)


@faults.FAULTS.register("version-ordered")
async def version_ordered(
    world: worlds.World, rng: random.Random, for_s: float
) -> None:
    """A service's traffic is asked to move to a new version."""
    old = world.upstreams_of("core")
    version = f"v{rng.randrange(2, 10**6)}"
    is_bad = rng.random() < 0.6
    if is_bad:
        world.fleet.fault_by_version[version] = rng.choice(BAD_VERSIONS)
    kind = "bad version" if is_bad else "good version"
    with world.trouble(kind, "core", of="version", excuses=False):
        new = [f"{upstream}-{version}" for upstream in old]
        for upstream, beside in zip(new, old, strict=True):
            zone = world.zone_by_upstream[beside]
            await world.add_upstream(upstream, "core", zone, version)
        now = time.monotonic()
        order = ledger.Order("core", version, is_bad, frozenset(new), now, now + RAMP_S)
        world.ledger.orders.append(order)
        world.fleet.store.order_version("core", version, RAMP_S)
        await _read_state(world, order)
        if order.state == "completed":
            await _replace(world, old, version)
        await _drain(world, new)


async def _read_state(world: worlds.World, order: ledger.Order) -> None:
    """Read what is said of an order until it is over."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(RAMP_S + SLACK_S):
            while order.state not in {"completed", "rolled_back"}:
                await asyncio.sleep(READ_EVERY_S)
                store = world.fleet.store
                order.state = store.order_state(order.service, order.version)


async def _replace(world: worlds.World, old: list[str], version: str) -> None:
    """
    Stop the old upstreams at once; they start again with the new version.

    Those that another step has in hand, and lets drain, are started by that step.
    """
    free = [upstream for upstream in old if not world.is_in_hand(upstream)]
    for upstream in old:
        world.fleet.worker_by_id[upstream].version = version
    # No other step may take them meanwhile: one would list anew what the other ends.
    with world.trouble("version replaced", *free, of="life", excuses=False):
        for upstream in free:
            await world.fleet.worker_by_id[upstream].close()
            world.fleet.store.remove(f"servers/{upstream}")
        await asyncio.sleep(NEW_DRAIN_AFTER_S)
        for upstream in free:
            await world.restart_upstream(upstream, is_cold=False)


async def _drain(world: worlds.World, new: list[str]) -> None:
    """Let the new upstreams leave as planned."""
    await asyncio.sleep(NEW_DRAIN_AFTER_S)
    with contextlib.ExitStack() as stack:
        for upstream in new:
            world.list_upstream(upstream, "draining")
            stack.enter_context(world.closed(upstream, "drains", "drainS"))
        await asyncio.sleep(faults.LEAVES_AFTER_S)
        for upstream in new:
            await world.fleet.worker_by_id[upstream].close()
            world.fleet.store.remove(f"servers/{upstream}")
