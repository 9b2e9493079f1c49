"""
A process of upstream stand-ins, as many as named.

``python -m tools.recovery.upstreams PREFIX COUNT WORK_S`` prints the address of each
by its id as one line of JSON, and serves until its standard input ends.
"""

import asyncio
import sys

import msgspec
import uvloop

from features.support import platform_worker

SLOTS = 6


async def serve(prefix: str, count: int, work_s: float) -> None:
    """Serve until standard input ends."""
    workers = [
        platform_worker.PlatformWorker(f"{prefix}-{number}", work_s)
        for number in range(count)
    ]
    for worker in workers:
        worker.slots = SLOTS
        await worker.start()
    addresses = {worker.id: worker.address for worker in workers}
    print(msgspec.json.encode(addresses).decode(), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    for worker in workers:
        await worker.close()


if __name__ == "__main__":
    uvloop.run(serve(sys.argv[1], int(sys.argv[2]), float(sys.argv[3])))
