"""
A planned stop with ``graceS`` 10 cuts off requests that were taken late in it.

The claim is in ``claim.txt``. Ends with 1 if the rule was broken, 0 if it held and 2 if
the case could not run.
"""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lab2 import client, fleet, record, store, worker

IP = "127.0.0.1"
ZONES = ("hall-a", "hall-b", "hall-c")
SERVICE = "resv-core"
GRACE_S = 10.0
#: The bounds of the large deployment that differ from those of a small one.
BOUNDS = {"graceS": "10", "touchS": "4", "drainS": "3", "configApplyS": "3"}
TOUCH_S = 4.0
#: Work of a booking; the deadline, which is the route's ``timeoutS`` too, is far off.
WORK_S = 5.0
DEADLINE_S = 30.0
#: Seconds between two bookings, and their number.
PERIOD_S = 0.5
BOOKINGS = 15
#: Requests sent up to here after the SIGTERM may be cut while the worker is at work in
#: the last sixth of ``graceS``.
EXCUSED_UNTIL_S = 3.0


async def play(notes: record.Record) -> tuple[int, str]:
    """Play the case once."""
    platform = store.Store()
    await platform.start(IP)
    workers = [
        worker.Worker(SERVICE, zone, work_s=WORK_S) for zone in ZONES for _ in "ab"
    ]
    for one in workers:
        await one.start(IP)
        one.enter(platform)
    route = fleet.route(
        "/book/", SERVICE, "unsafe", timeoutS=DEADLINE_S, targetLatencyS=3.0
    )
    platform.put("op/config", fleet.configuration(7, [SERVICE], [route]))
    machines = fleet.Fleet(platform.address, ZONES)
    machines.bounds |= BOUNDS
    machines.write_settings()
    stopped = machines.gateways[0]
    got: list[client.Got] = []

    async def book(number: int) -> None:
        await asyncio.sleep(number * PERIOD_S)
        got.append(
            await client.once(
                stopped.at("front"),
                "POST",
                f"/book/{number}",
                deadline_ms=int(1000 * DEADLINE_S),
                body=b"a room for two",
                limit_s=DEADLINE_S,
            )
        )

    code = None
    try:
        machines.start()
        if not await machines.until_ready():
            return record.UNABLE, "the gateways were not ready in time"
        await asyncio.sleep(TOUCH_S + 1.0)
        began_at = time.monotonic()
        if notes.trouble:
            stopped.send(signal.SIGTERM)
            notes.note(f"SIGTERM to {stopped.name}; graceS is {GRACE_S:g}", began_at)
        await asyncio.gather(*(book(number) for number in range(BOOKINGS)))
        if notes.trouble:
            code = await stopped.ended(GRACE_S)
            notes.note(f"{stopped.name} has ended with {code}")
    finally:
        machines.close()
        for one in workers:
            one.end()
    ran = {a.request_id for one in workers for a in one.arrivals if a.ran}
    cut = []
    for one_got in got:
        sent_s, ended_s = one_got.sent_at - began_at, one_got.ended_at - began_at
        has_run = one_got.request_id in ran
        notes.note(
            f"{one_got.path} sent {sent_s:.2f} s after that:"
            f" {one_got.status or 'closed, no answer'} after {ended_s - sent_s:.2f} s;"
            f" {'run' if has_run else 'not run'}",
            one_got.sent_at,
        )
        is_counted = sent_s > EXCUSED_UNTIL_S and ended_s < GRACE_S + 1.0
        if is_counted and has_run and one_got.status == 0:
            cut.append(one_got.path)
    text = (
        f"{len(cut)} of {len(got)} bookings were sent later than {EXCUSED_UNTIL_S:g} s"
        " after the SIGTERM, passed on to a worker, and closed without an answer"
    )
    return (record.BROKEN if cut else record.HELD), text


if __name__ == "__main__":
    notes_of_this_run = record.Record(__file__)
    notes_of_this_run.play(play(notes_of_this_run))
