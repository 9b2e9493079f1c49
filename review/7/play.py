"""
The settings files change while machines are stopped and started in turn.

Three gateways. Each is stopped by SIGTERM in its turn and started again; a SIGHUP, by
which the platform says that the settings file has changed, reaches each shortly after
its start. Judged: a program that is started goes on running.
"""

import asyncio
import signal

from review.lab2 import stage

#: Between a start and the SIGHUP.
AFTER_START_S = 0.15
#: The platform starts an ended process again after a short delay.
RESTART_S = 0.5


async def play(on: stage.Stage, has_trouble: bool) -> list[str]:
    """Play the case; return what was broken."""
    on.configure(1, [stage.route("peek", "/peek/", "safe", "core")], ["core"])
    for name, zone in zip(("w-0", "w-1", "w-2"), stage.ZONES, strict=True):
        await on.add_worker(name, "core", zone, work_s=0.02)
    nodes = [await on.start_gateway(number) for number in (1, 2, 3)]
    for node in nodes:
        await on.until_ready(node)
    await asyncio.sleep(2.0)
    broken = []
    for number, node in enumerate(nodes, 1):
        on.signal(node, signal.SIGTERM)
        await on.process_by_node[node].wait()
        await asyncio.sleep(RESTART_S)
        await on.start_gateway(number, bootstrap=False)
        await asyncio.sleep(AFTER_START_S)
        if has_trouble:
            on.signal(node, signal.SIGHUP)
        await asyncio.sleep(2.0)
        code = on.process_by_node[node].returncode
        on.record.add(f"{node}: exit code {code}")
        if code is not None:
            broken.append(f"Fault: {node} did not start, it ended with code {code}")
    return broken


if __name__ == "__main__":
    stage.main(__file__, play)
