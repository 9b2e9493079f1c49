"""
A route whose ``targetLatencyS`` is 0 is added: its whole service is refused for good.

The claim is in ``claim.txt``. Ends with 1 if the rule was broken, 0 if it held and 2 if
the case could not run.
"""

import asyncio
import itertools
import pathlib
import sys
import typing

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lab2 import client, fleet, record, store, worker

IP = "127.0.0.1"
ZONES = ("hall-a", "hall-b", "hall-c")
#: ``configApplyS`` of the settings.
APPLY_S = 2.0
SERVICES = ["resv-core", "content-hub"]
#: Requests on the new route that the rule asks for, and the share that it allows.
LEAST_REQUESTS, LEAST_SHARE = 20, 0.25
#: Seconds for which requests go on after the change.
WATCHED_S = 12.0


class Served(typing.NamedTuple):
    """How many of so many requests got a success."""

    count: int
    sent: int

    @property
    def share(self) -> float:
        """Return the share that was served."""
        return self.count / max(1, self.sent)

    def __str__(self) -> str:
        return f"{self.count} of {self.sent}"


def served(
    got: typing.Iterable[client.Got], prefixes: tuple[str, ...], since: float
) -> Served:
    """Count the requests on some routes that were sent after an instant."""
    found = [g for g in got if g.path.startswith(prefixes) and g.sent_at > since]
    return Served(sum(g.status == 200 for g in found), len(found))


async def play(notes: record.Record) -> tuple[int, str]:
    """Play the case once."""
    platform = store.Store()
    await platform.start(IP)
    workers = [worker.Worker(name, zone) for name in SERVICES for zone in ZONES]
    for one in workers:
        await one.start(IP)
        one.enter(platform)
    first = [
        fleet.route("/avail/", "resv-core"),
        fleet.route("/rates/", "content-hub"),
        fleet.route("/push/", "content-hub", "unsafe"),
    ]
    platform.put("op/config", fleet.configuration(7, SERVICES, first))
    machines = fleet.Fleet(platform.address, ZONES, per_zone=2)
    try:
        machines.start()
        if not await machines.until_ready():
            return record.UNABLE, "the gateways were not ready in time"
        await asyncio.sleep(2.0)
        numbers = itertools.count()
        is_added = False

        def pick() -> tuple[str, str]:
            number = next(numbers)
            paths = ["GET /avail/", "GET /avail/", "GET /rates/", "POST /push/"]
            if is_added:
                paths.append("POST /quote/")
            method, prefix = paths[number // 6 % len(paths)].split()
            return method, f"{prefix}{number}"

        fronts = [gateway.at("front") for gateway in machines.gateways]
        callers = client.Steady(fronts, 120.0, pick)
        callers.start()
        await asyncio.sleep(4.0)
        target_s = 0 if notes.trouble else 0.6
        added = fleet.route("/quote/", "content-hub", "unsafe", targetLatencyS=target_s)
        config = fleet.configuration(9, SERVICES, [*first, added])
        taken_at = platform.put("op/config", config)
        notes.note(
            f"the store has taken version 9; it adds the route /quote/ of content-hub,"
            f" with targetLatencyS {target_s}",
            taken_at,
        )
        is_added = True
        await asyncio.sleep(WATCHED_S)
        await callers.stop()
    finally:
        machines.close()
        for one in workers:
            one.end()
    before = [got for got in callers.got if got.sent_at < taken_at]
    for prefix in ("/avail/", "/rates/", "/push/"):
        notes.note(f"{prefix} before: {served(before, (prefix,), 0.0)} served")
    for since_s in (0.0, APPLY_S, WATCHED_S / 2, WATCHED_S - 2.0):
        since = taken_at + since_s
        parts = [
            f"{prefix} {served(callers.got, (prefix,), since)}"
            for prefix in ("/avail/", "/rates/", "/push/", "/quote/")
        ]
        notes.note(f"served from here on: {', '.join(parts)}", since)
    ran = {a.request_id for one in workers for a in one.arrivals if a.ran}
    lost = [
        got
        for got in callers.got
        if got.path.startswith("/quote/")
        and got.request_id in ran
        and got.status != 200
    ]
    notes.note(
        f"{len(lost)} requests on /quote/ ran at a worker, whose answer 200 did not"
        f" reach the client; statuses instead: {sorted({got.status for got in lost})}"
    )
    statuses: dict[int, int] = {}
    for got in callers.got:
        statuses[got.status] = statuses.get(got.status, 0) + 1
    notes.note(f"answers by status (0: none): {dict(sorted(statuses.items()))}")
    bound_at = taken_at + APPLY_S
    later = served(callers.got, ("/quote/",), bound_at)
    earlier = served(callers.got, ("/avail/", "/rates/", "/push/"), bound_at)
    is_broken = (
        later.sent >= LEAST_REQUESTS and later.share < LEAST_SHARE * earlier.share
    )
    text = (
        f"{later} requests on the added route were served, {earlier} on the first ones"
    )
    return (record.BROKEN if is_broken else record.HELD), text


if __name__ == "__main__":
    notes_of_this_run = record.Record(__file__)
    notes_of_this_run.play(play(notes_of_this_run))
