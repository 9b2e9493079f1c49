"""
A part of a split route has its weight set to 0, and still gets requests later.

The claim is in ``claim.txt``. Ends with 1 if the rule was broken, 0 if it held and 2 if
the case could not run.
"""

import asyncio
import pathlib
import random
import sys
import time
import typing

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lab2 import client, fleet, record, store, worker

IP = "127.0.0.1"
ZONES = ("hall-a", "hall-b", "hall-c")
#: ``configApplyS`` of the settings.
APPLY_S = 2.0
ROUTES = 10
#: The parts of each route: services and their weights before and after the change.
PARTS = {"core-new": (8, 1), "core-old": (8, 0), "core-spare": (2, 3)}
OLD = "core-old"
#: Requests on each route at each gateway before the change, and after it.
BEFORE, AFTER = (5, 40), 6


def configuration(version: int, number: int) -> dict[str, typing.Any]:
    """Return a configuration with the weights of that number."""
    routes = []
    for n in range(ROUTES):
        route = fleet.route(f"/book{n}/", "", "unsafe")
        del route["service"]
        route["backends"] = [
            {"service": name, "weight": weights[number]}
            for name, weights in PARTS.items()
        ]
        routes.append(route)
    return fleet.configuration(version, list(PARTS), routes)


async def send(
    gateway: fleet.Gateway, number: int, count: int, got: list[client.Got]
) -> None:
    """Send requests on one route to one gateway, one after the other."""
    for n in range(count):
        path = f"/book{number}/{n}"
        got.append(await client.once(gateway.at("front"), "POST", path, body=b"x"))


async def play(notes: record.Record) -> tuple[int, str]:
    """Play the case once."""
    platform = store.Store()
    await platform.start(IP)
    workers = [
        worker.Worker(name, zone, work_s=0.005) for name in PARTS for zone in ZONES
    ]
    for one in workers:
        await one.start(IP)
        one.enter(platform)
    first = 0 if notes.trouble else 1
    platform.put("op/config", configuration(7, first))
    weights = {name: pair[first] for name, pair in PARTS.items()}
    notes.note(f"the store has taken version 7, with weights {weights}")
    machines = fleet.Fleet(platform.address, ZONES, per_zone=2)
    before: list[client.Got] = []
    after: list[client.Got] = []
    try:
        machines.start()
        if not await machines.until_ready():
            return record.UNABLE, "the gateways were not ready in time"
        await asyncio.sleep(2.0)
        for gateway in machines.gateways:
            counts = [random.randint(*BEFORE) for _ in range(ROUTES)]
            await asyncio.gather(
                *(send(gateway, n, count, before) for n, count in enumerate(counts))
            )
        taken_at = platform.put("op/config", configuration(9, 1))
        weights = {name: pair[1] for name, pair in PARTS.items()}
        notes.note(f"the store has taken version 9, with weights {weights}", taken_at)
        await asyncio.sleep(APPLY_S + 1.0)
        notes.note(f"{time.monotonic() - taken_at:.1f} s later requests begin again")
        for gateway in machines.gateways:
            await asyncio.gather(
                *(send(gateway, n, AFTER, after) for n in range(ROUTES))
            )
    finally:
        machines.close()
        for one in workers:
            one.end()
    service_by_id = {
        arrival.request_id: one.service
        for one in workers
        for arrival in one.arrivals
        if arrival.ran
    }
    for name, got in (("before", before), ("after", after)):
        runs: dict[str, int] = {}
        for one_got in got:
            service = service_by_id.get(one_got.request_id, "nowhere")
            runs[service] = runs.get(service, 0) + 1
        notes.note(f"{len(got)} requests {name} it ran at {dict(sorted(runs.items()))}")
    late = [got for got in after if service_by_id.get(got.request_id) == OLD]
    for got in late:
        notes.note(
            f"POST {got.path} as {got.request_id}, sent {got.sent_at - taken_at:.3f} s"
            f" after version 9 to {got.gateway}, ran at {OLD}",
            got.sent_at,
        )
    text = f"{len(late)} of {len(after)} requests ran at {OLD}, whose weight is 0"
    return (record.BROKEN if late else record.HELD), text


if __name__ == "__main__":
    notes_of_this_run = record.Record(__file__)
    notes_of_this_run.play(play(notes_of_this_run))
