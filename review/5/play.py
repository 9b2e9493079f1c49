"""
A worker leaves without a notice some seconds after the store has cut the watches.

Three zones with a gateway each, three workers. Judged: requests that reach the worker
later than ``drainS`` after the store had taken its leaving.
"""

import asyncio

from review.lab2 import proxy, stage

#: Between the cut of the waiting watches and the worker's leaving: all machines are in
#: touch again, touchS is 3 s.
BEFORE_LEAVING_S = 3.2
WATCHED_S = 6.0
REQUESTS_PER_S = 100
LEAVING = "w-1"


async def play(on: stage.Stage, has_trouble: bool) -> list[str]:
    """Play the case; return what was broken."""
    on.configure(1, [stage.route("peek", "/peek/", "safe", "core")], ["core"])
    for name, zone in zip(("w-0", LEAVING, "w-2"), stage.ZONES, strict=True):
        await on.add_worker(name, "core", zone, work_s=0.02)
    path_to_store = proxy.Proxy(on.store.address)
    await path_to_store.start()
    nodes = [f"front-{number}" for number in (1, 2, 3)]
    for number, node in enumerate(nodes, 1):
        on.store_by_node[node] = path_to_store.address
        await on.start_gateway(number)
    for node in nodes:
        await on.until_ready(node)
    await asyncio.sleep(6.0)
    stopped = asyncio.Event()
    load = asyncio.create_task(clients(on, nodes, stopped))
    await asyncio.sleep(1.0)
    if has_trouble:
        on.record.add(f"store: cuts the watches, {path_to_store.cut()} connections")
    await asyncio.sleep(BEFORE_LEAVING_S)
    left_at = on.remove_worker(LEAVING)
    await asyncio.sleep(WATCHED_S)
    stopped.set()
    await load
    await path_to_store.close()
    return judge(on, left_at)


async def clients(on: stage.Stage, nodes: list[str], stopped: asyncio.Event) -> None:
    """Send requests to all gateways, each of which the directory names."""
    sends = set()
    count = 0
    while not stopped.is_set():
        count += 1
        node = nodes[count % len(nodes)]
        send = asyncio.create_task(on.send(node, f"/peek/{count}", on.new_id()))
        sends.add(send)
        send.add_done_callback(sends.discard)
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*sends)


def judge(on: stage.Stage, left_at: float) -> list[str]:
    """Return the requests that reached the worker too late."""
    late = [
        run.at - left_at
        for run in on.worker_by_id[LEAVING].runs
        if run.at > left_at + stage.DRAIN_S
    ]
    if not late:
        return []
    return [
        f"DRAIN: {len(late)} requests reached {LEAVING} later than {stage.DRAIN_S} s"
        f" after the store had taken its leaving, the last after {max(late):.2f} s"
    ]


if __name__ == "__main__":
    stage.main(__file__, play)
