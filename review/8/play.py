"""
The machines that read the store are cut off from it, just before a configuration.
"""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lab2 import rig

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
APPLY_S = 2.0
#: The kernel of a machine that is cut off ends an idle connection so long after the
#: last segment that came, by the options that the gateway sets (see the claim).
KERNEL_S = 2.0
#: From a change in the store until each gateway that reads it has its next watch there.
NEXT_WATCH_S = 0.25
#: How old the last watch of a gateway that reads the store may be.
WATCH_AGE_S = 3.0
CUT_S = 6.0
#: So many stale requests break the rule here; the rule itself allows none.
LEAST_STALE = 3


async def send_all(parts: rig.Rig, stop: asyncio.Event) -> None:
    """Send requests to all gateways by turns until ``stop``, and await the answers."""
    sent = []
    number = 0
    while not stop.is_set():
        gateway = parts.gateways[number % len(parts.gateways)]
        number += 1
        request = parts.request(gateway, "/book/x", "POST")
        sent.append(asyncio.ensure_future(request))
        await asyncio.sleep(0.01)
    await asyncio.gather(*sent)


def routes(service: str) -> list[dict[str, object]]:
    """Return the routes; the bookings go to ``service``."""
    return [
        rig.route("look", "/look/", "safe", "core"),
        rig.route("book", "/book/", "unsafe", service),
    ]


async def end_connections(parts: rig.Rig, port: int) -> None:
    """End what a gateway that is cut off has open to the store, as its kernel does."""
    idle_s = parts.record.now() - parts.store.last_watch[port]
    await asyncio.sleep(KERNEL_S - idle_s)
    parts.record.write(f"the connections to the store at port {port} have ended")
    parts.store.reset_open(port)


async def play(parts: rig.Rig) -> bool:
    """Play the case; return whether the rule was broken."""
    services = ["core", "side"]
    await parts.set_up(
        ["z1", "z2", "z3"] * 2,
        {"core": 6, "side": 6},
        rig.configuration(5, routes("core"), services),
    )
    stop = asyncio.Event()
    load = asyncio.ensure_future(send_all(parts, stop))
    await asyncio.sleep(8.0)
    since = parts.record.now() - WATCH_AGE_S
    readers = [
        one
        for one in parts.gateways
        if parts.store.last_watch.get(one.store_port, -1.0) > since
    ]
    # A worker's entry changes, so that the readers have just sent a watch.
    worker = parts.workers["i-core-5"]
    worker.slots += 1
    parts.store.put(f"servers/{worker.id}", worker.entry(), worker.id)
    await asyncio.sleep(NEXT_WATCH_S)
    cut = {one.node for one in readers} if TROUBLE else set()
    ports = {one.store_port for one in readers} if TROUBLE else set()
    parts.record.write(f"cut off from the store: {sorted(cut)}")
    parts.store.silent |= ports
    ends = [asyncio.ensure_future(end_connections(parts, port)) for port in ports]
    parts.store.put("op/config", rig.configuration(6, routes("side"), services))
    acked_at = parts.record.now()
    await asyncio.sleep(CUT_S)
    await asyncio.gather(*ends)
    parts.store.silent -= ports
    parts.record.write("the cut is over")
    stop.set()
    await load
    sent_by_id = {one[2]: one for one in parts.answers}
    stale = []
    for worker in parts.workers.values():
        for _, request_id, _ in worker.runs:
            sent_at, _, _, node, _, _ = sent_by_id[request_id]
            is_late = sent_at > acked_at + APPLY_S
            if worker.service == "core" and is_late and node not in cut:
                stale.append((sent_at - acked_at, request_id, node))
    parts.record.write(
        f"RESULT: {len(stale)} requests sent more than {APPLY_S} s after the"
        " acknowledgement, to machines that are in touch, were run by the old service"
    )
    for after_s, request_id, node in sorted(stale):
        parts.record.write(f"STALE: {request_id} sent {after_s:.3f} s after, {node}")
    return len(stale) >= LEAST_STALE


sys.exit(rig.run(play, pathlib.Path(__file__).parent, net=22))
