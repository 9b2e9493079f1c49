"""
A worker leaves; the gateway that reads the store is killed a moment later.

One zone with three gateways, three workers. The store has cut that gateway's waiting
watch 3.2 s before, as the users' pages say that it may. Judged: requests that reach the
worker later than ``drainS`` after the store had taken its leaving.
"""

import asyncio
import json
import signal
import time

from review.lab2 import proxy, stage

#: Between the cut of the waiting watch and the next configuration, and between that and
#: the worker's leaving: all are in touch again, touchS is 3 s.
BEFORE_CONFIGURATION_S = 0.5
BEFORE_LEAVING_S = 2.7
#: Between the worker's leaving and the kill of the gateway that reads.
BEFORE_KILL_S = 0.7
#: The platform starts an ended process again after a short delay.
RESTART_S = 1.0
WATCHED_S = 12.0
REQUESTS_PER_S = 50
LEAVING = "w-1"


async def play(on: stage.Stage, has_trouble: bool) -> list[str]:
    """Play the case; return what was broken."""
    peek = stage.route("peek", "/peek/", "safe", "core")
    on.configure(1, [peek], ["core"])
    for name in ("w-0", LEAVING, "w-2"):
        await on.add_worker(name, "core", "hall-a", work_s=0.02)
    nodes = [f"front-{number}" for number in (1, 2, 3)]
    proxy_by_node = {node: proxy.Proxy(on.store.address) for node in nodes}
    for number, node in enumerate(nodes, 1):
        await proxy_by_node[node].start()
        on.store_by_node[node] = proxy_by_node[node].address
        await on.start_gateway(number, "hall-a")
    for node in nodes:
        await on.until_ready(node)
    await asyncio.sleep(6.0)
    stopped = asyncio.Event()
    load = asyncio.create_task(clients(on, nodes, stopped))
    await asyncio.sleep(1.0)
    reading = await reader(on, nodes)
    if has_trouble:
        count = proxy_by_node[reading].cut()
        on.record.add(f"store: cuts the watch of {reading}, {count} connections")
    await asyncio.sleep(BEFORE_CONFIGURATION_S)
    on.configure(2, [peek, stage.route("pull", "/pull/", "safe", "core")], ["core"])
    await asyncio.sleep(BEFORE_LEAVING_S)
    left_at = on.remove_worker(LEAVING)
    await asyncio.sleep(BEFORE_KILL_S)
    if has_trouble:
        on.signal(reading, signal.SIGKILL)
        await on.process_by_node[reading].wait()
    await asyncio.sleep(RESTART_S)
    if has_trouble:
        number = int(reading.rpartition("-")[2])
        await on.start_gateway(number, "hall-a", bootstrap=False)
    await asyncio.sleep(WATCHED_S)
    stopped.set()
    await load
    for one in proxy_by_node.values():
        await one.close()
    return judge(on, left_at)


async def reader(on: stage.Stage, nodes: list[str]) -> str:
    """Return the gateway that reads the store and gets no clients."""
    active = await addresses(on, nodes[0])
    for node in nodes:
        page = json.loads((await on.page(node, "control", "/state")).body)
        if page["reads_source"] and on.front(node) not in active:
            return node
    raise RuntimeError("no gateway reads")


async def addresses(on: stage.Stage, node: str) -> list[tuple[str, int]]:
    """Return the addresses that the directory tells clients to use."""
    path = f"/resolve?name={stage.HOST}&region=town&zone=hall-a"
    page = json.loads((await on.page(node, "directory", path)).body)
    pairs = (address.rpartition(":") for address in page["addresses"])
    return [(host, int(port)) for host, _, port in pairs]


async def clients(on: stage.Stage, nodes: list[str], stopped: asyncio.Event) -> None:
    """Send requests to the gateways of the directory, as it was when they asked."""
    known = await addresses(on, nodes[0])
    targets = [node for node in nodes if on.front(node) in known]
    on.record.add(f"directory: {targets}")
    sends = set()
    count = 0
    while not stopped.is_set():
        count += 1
        node = targets[count % len(targets)]
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
        f" of {time.monotonic() - left_at:.2f} s watched"
    ]


if __name__ == "__main__":
    stage.main(__file__, play)
