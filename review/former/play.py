"""
A version that fails on one of many routes is completed.

The claim is in ``claim.txt``. Ends with 1 if the rule was broken, 0 if it held and 2 if
the case could not run.
"""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lab2 import client, fleet, record, store, worker

IP = "127.0.0.1"
ZONES = ("hall-a", "hall-b", "hall-c")
SERVICE = "content-hub"
#: ``exposureShare``, ``exposureSlack`` and ``rollbackS`` of the settings.
SHARE, SLACK, ROLLBACK_S = 0.1, 50, 5.0
#: Seconds that the order has.
RAMP_S = 30.0
#: Seconds for which requests go on after the deadline.
AFTER_S = 5.0
ROUTES = 100
PER_S = 160.0
#: The route on which the version is bad.
BAD_ROUTE = "/route27/"


async def add(
    platform: store.Store, workers: list[worker.Worker], version: str, *, bad: bool
) -> list[worker.Worker]:
    """Start workers of a version, two in each zone."""
    added = [worker.Worker(SERVICE, z, version=version) for z in ZONES for _ in "12"]
    for one in added:
        if bad:
            one.fault = lambda request_id, path: (
                "error" if path.startswith(BAD_ROUTE) else None
            )
        await one.start(IP)
        one.enter(platform)
    workers.extend(added)
    return added


async def play(notes: record.Record) -> tuple[int, str]:
    """Play the case once."""
    platform = store.Store()
    await platform.start(IP)
    workers: list[worker.Worker] = []
    first = await add(platform, workers, "v1", bad=False)
    routes = [
        fleet.route(f"/route{n}/", SERVICE, "unsafe" if n % 3 == 0 else "safe")
        for n in range(ROUTES)
    ]
    platform.put("op/config", fleet.configuration(7, [SERVICE], routes))
    machines = fleet.Fleet(platform.address, ZONES, per_zone=2)
    machines.bounds |= {
        "exposureShare": f"{SHARE:g}",
        "exposureSlack": f"{SLACK}",
        "rollbackS": f"{ROLLBACK_S:g}",
    }
    machines.write_settings()
    states: list[str] = []
    try:
        machines.start()
        if not await machines.until_ready():
            return record.UNABLE, "the gateways were not ready in time"

        def pick() -> tuple[str, str]:
            number = random.randrange(ROUTES)
            method = "GET" if number % 3 else "POST"
            return method, f"/route{number}/{random.randrange(10**9)}"

        fronts = [gateway.at("front") for gateway in machines.gateways]
        callers = client.Steady(fronts, PER_S, pick)
        callers.start()
        await asyncio.sleep(4.0)
        second = await add(platform, workers, "v2", bad=notes.trouble)
        ordered_at = platform.put(
            f"op/rollout/{SERVICE}",
            {"service": SERVICE, "targetVersion": "v2", "rampS": RAMP_S},
        )
        notes.note(f"version v2 is ordered, rampS {RAMP_S:g}", ordered_at)
        if notes.trouble:
            notes.note(f"v2 answers every request on {BAD_ROUTE} with 500")
        deadline = ordered_at + RAMP_S
        while time.monotonic() < deadline:
            status = platform.value(f"status/rollout/{SERVICE}") or {}
            state = str(status.get("state", ""))
            if state not in ("", *states[-1:]):
                states.append(state)
                notes.note(f"the status of v2 is {state}")
                if state == "completed":
                    for one in first:
                        one.end()
                        platform.remove(one.key)
            await asyncio.sleep(0.02)
        await asyncio.sleep(AFTER_S)
        await callers.stop()
    finally:
        machines.close()
        for one in workers:
            one.end()

    def reached(group: list[worker.Worker]) -> int:
        return sum(
            ordered_at <= arrival.at <= deadline
            for one in group
            for arrival in one.arrivals
        )

    at_second, at_all = reached(second), reached(workers)
    most = SHARE * at_all + SLACK
    late = [
        got
        for got in callers.got
        if got.sent_at > deadline and got.path.startswith(BAD_ROUTE)
    ]
    statuses: dict[int, int] = {}
    for got in callers.got:
        statuses[got.status] = statuses.get(got.status, 0) + 1
    notes.note(f"answers by status (0: none): {dict(sorted(statuses.items()))}")
    notes.note(
        f"after the deadline {sum(got.status == 500 for got in late)} of {len(late)}"
        f" requests on {BAD_ROUTE} got 500"
    )
    notes.note(f"{at_all} requests reached the service, {at_second} of them v2")
    is_broken = notes.trouble and at_second > most
    text = (
        f"{at_second} requests reached v2 between the order and its deadline, of a bad"
        f" version {most:.0f} may; its status: {' '.join(states)}"
    )
    return (record.BROKEN if is_broken else record.HELD), text


if __name__ == "__main__":
    notes_of_this_run = record.Record(__file__)
    notes_of_this_run.play(play(notes_of_this_run))
