"""
Upstreams that stand still, and read what came meanwhile when they go on.

Registers its fault. What arrives late is judged by the sums: of repeats, of what cold
upstreams get.
"""

import asyncio
import random

from tools.soak_processes import faults, world as worlds

#: Seconds for which they stand still beyond the step's time: with it, up to the window
#: of the budget of retries and more.
BEYOND_S = 8.0


@faults.FAULTS.register("upstreams-stand-still")
async def stand_still(world: worlds.World, rng: random.Random, for_s: float) -> None:
    """One upstream, or half of them, stand still, perhaps a second time."""
    most = len(world.upstreams)
    hit = rng.sample(world.upstreams, rng.choice((1, most // 2)))
    with world.trouble("upstreams-stand-still", *hit, of="mode"):
        for _ in range(rng.randint(1, 2)):
            workers = [world.fleet.worker_by_id[upstream] for upstream in hit]
            for worker in workers:
                worker.stall()
            try:
                await asyncio.sleep(for_s + rng.uniform(0.0, BEYOND_S))
            finally:
                for worker in workers:
                    worker.go_on()
            await asyncio.sleep(1.0)
